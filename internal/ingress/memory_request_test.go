package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// allowBodies publishes a limit on the bodies of requests.
func allowBodies(ts *testServer, bytes int64) {
	config := testConfig()
	config.Version++
	config.Limits.MaxBodyBytes = bytes
	item := publishedtest.Config(config)
	item.Revision = 1000
	ts.control.Do(func(s *control.State, now boottime.Instant) {
		s.ReadDone(now, published.Update{Revision: item.Revision, Confirmed: now, Items: []published.Item{item}})
	})
}

// sendHeldRequest sends a request with a part of its body, and returns the response.
func sendHeldRequest(t *testing.T, ts *testServer, part []byte, length int) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	if err != nil {
		t.Error(err)
		return nil
	}
	defer conn.Close()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /non-idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nX-Wait-Ms: 2000\r\nContent-Length: %d\r\n\r\n", length)
		_, _ = conn.Write(part)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	return resp
}

// TestMemoryWithRequestsThatDoNotEnd: 200 callers that send large parts of their bodies and then
// nothing leave the process below the memory of the smallest instance. Those for which there is no
// memory are refused at once, with the time after which they may come back.
func TestMemoryWithRequestsThatDoNotEnd(t *testing.T) {
	const partBytes = 2 << 20
	ts := startTestServer(t, func(_ int, conn net.Conn, _ *http.Request) { writeCompleteResponse(conn, "good") })
	allowBodies(ts, 2*partBytes)
	part := bytes.Repeat([]byte("x"), partBytes) // shared, a string would be copied for each connection
	var mu sync.Mutex
	statuses := map[int]int{}
	peak := peakMemory(func() {
		var wg sync.WaitGroup
		for range answersAtOnce {
			wg.Go(func() {
				resp := sendHeldRequest(t, ts, part, partBytes+1)
				if resp == nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[resp.StatusCode]++
				if refused := resp.StatusCode == http.StatusServiceUnavailable; refused != (resp.Header.Get("Retry-After") != "") {
					t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
				}
			})
		}
		wg.Wait()
	})
	t.Logf("peak %d MiB, statuses %v", peak>>20, statuses)
	if peak > instanceBytes {
		t.Errorf("peak of %d MiB with %d requests at once, an instance has %d MiB", peak>>20, answersAtOnce, instanceBytes>>20)
	}
	if statuses[http.StatusServiceUnavailable]+statuses[http.StatusRequestTimeout] != answersAtOnce || ts.arrivals() != 0 {
		t.Errorf("statuses %v, %d requests at endpoints", statuses, ts.arrivals())
	}
	if g := ts.send(http.MethodPost, "non-idempotent", string(part)); g.status != http.StatusOK {
		t.Errorf("afterwards: status %d, %v", g.status, g.err)
	}
}
