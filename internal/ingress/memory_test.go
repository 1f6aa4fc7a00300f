package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	instanceBytes   = 184 << 20 // memory of the smallest instance
	answersAtOnce   = 200
	heldAnswerBytes = 2 << 20 // of each endpoint, which then keeps the connection open
)

// memoryInUse returns the bytes that the Go runtime has mapped and not returned to the system,
// that is, the resident memory of the process without the pages of its program file.
func memoryInUse() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64() - s[1].Value.Uint64())
}

// peakMemory returns the highest memoryInUse while f runs.
func peakMemory(f func()) int64 {
	// As a gateway's process sets it for its instance.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(instanceBytes * 3 / 4))
	debug.FreeOSMemory()
	done := make(chan struct{})
	var peak int64
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			peak = max(peak, memoryInUse())
			select {
			case <-time.After(time.Millisecond):
			case <-done:
				return
			}
		}
	})
	f()
	close(done)
	wg.Wait()
	return max(peak, memoryInUse())
}

// sendHeld sends heldAnswerBytes of an answer and then keeps the connection open until the other
// end closes it, so that many such answers are in memory at once.
func sendHeld(conn net.Conn, begin, piece string) {
	_, _ = io.WriteString(conn, begin)
	many := repeated(piece)
	for sent := 0; sent < heldAnswerBytes; sent += len(many) {
		if _, err := conn.Write(many); err != nil {
			return
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // returns when the other end closes
}

// repeatedPieces holds the results of repeated, so that the endpoints of a test hardly add to its memory.
var repeatedPieces sync.Map

// repeated returns a piece repeated to about 16 KiB.
func repeated(piece string) []byte {
	many, ok := repeatedPieces.Load(piece)
	if !ok {
		many, _ = repeatedPieces.LoadOrStore(piece, bytes.Repeat([]byte(piece), 16<<10/len(piece)+1))
	}
	return many.([]byte)
}

// sendAtOnce sends answersAtOnce requests at once and returns how many had each status.
func sendAtOnce(ts *testServer, route, body string, headers ...string) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for range answersAtOnce {
		wg.Go(func() {
			g := ts.send(http.MethodPost, route, body, headers...)
			mu.Lock()
			defer mu.Unlock()
			statuses[g.status]++
		})
	}
	wg.Wait()
	return statuses
}

// TestMemoryWithAnswersWithoutEnd: 200 answers without end at once leave the process, in this test
// together with its endpoints and callers, below the memory of the smallest instance.
func TestMemoryWithAnswersWithoutEnd(t *testing.T) {
	for name, answer := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, func(_ int, conn net.Conn, _ *http.Request) { sendHeld(conn, answer.begin, answer.piece) })
			var statuses map[int]int
			peak := peakMemory(func() { statuses = sendAtOnce(ts, "idempotent", "body", "X-Wait-Ms", "1500") })
			if peak > instanceBytes {
				t.Errorf("peak of %d MiB with %d answers at once, an instance has %d MiB", peak>>20, answersAtOnce, instanceBytes>>20)
			}
			t.Logf("peak %d MiB, statuses %v", peak>>20, statuses)
			if ts.server.memory.responses.Reserved() != 0 || ts.server.memory.requests.Reserved() != 0 {
				t.Errorf("%d and %d bytes are still reserved", ts.server.memory.responses.Reserved(), ts.server.memory.requests.Reserved())
			}
		})
	}
}

// TestSmallAnswersBesideAnswersWithoutEnd: while answers without end take up the memory for large
// bodies, small answers of other endpoints arrive.
func TestSmallAnswersBesideAnswersWithoutEnd(t *testing.T) {
	small := strings.Repeat("x", freeBodyBytes/2)
	ts := startTestServer(t, func(_ int, conn net.Conn, r *http.Request) {
		if r.Header.Get("X-Small") != "" {
			writeCompleteResponse(conn, small)
			return
		}
		sendHeld(conn, responseBegin+"\r\n", "x")
	})
	var wg sync.WaitGroup
	wg.Go(func() { sendAtOnce(ts, "non-idempotent", "body", "X-Wait-Ms", "2000") })
	for ts.server.memory.responses.Reserved() < responseBudgetBytes/2 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 {
		if g := ts.send(http.MethodPost, "non-idempotent", "body", "X-Small", "1"); g.status != http.StatusOK || g.body != small {
			t.Errorf("answer %d: status %d, %d bytes, %v", i, g.status, len(g.body), g.err)
		}
	}
	wg.Wait()
}

// TestLargeAnswer: an answer of the largest allowed size arrives whole, a larger one is an error,
// and the announced length of a response to HEAD counts for nothing.
func TestLargeAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		method, framing string
		bytes, status   int
	}{
		"with a length":          {http.MethodPost, "Content-Length: " + strconv.Itoa(maxBufferedResponseBytes), maxBufferedResponseBytes, 200},
		"without a length":       {http.MethodPost, "Connection: close", maxBufferedResponseBytes, 200},
		"a byte more":            {http.MethodPost, "Connection: close", maxBufferedResponseBytes + 1, 502},
		"a byte more, announced": {http.MethodPost, "Content-Length: " + strconv.Itoa(maxBufferedResponseBytes+1), maxBufferedResponseBytes + 1, 502},
		"HEAD":                   {http.MethodHead, "Content-Length: " + strconv.Itoa(maxBufferedResponseBytes+1), 0, 200},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, func(_ int, conn net.Conn, _ *http.Request) {
				writeStampedHead(conn, 200, tc.framing)
				_, _ = io.WriteString(conn, strings.Repeat("x", tc.bytes))
			})
			g := ts.send(tc.method, "non-idempotent", "")
			if g.status != tc.status || g.err != nil || tc.status == 200 && len(g.body) != tc.bytes {
				t.Errorf("status %d, %d bytes, %v; want %d and %d", g.status, len(g.body), g.err, tc.status, tc.bytes)
			}
		})
	}
}
