package callerconn

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Limits of the fuzz test.
const (
	fuzzHeadBytes   = 2 << 10
	fuzzHeadTimeout = 100 * time.Millisecond
	// maxReadOfHead is how many bytes of an unfinished head a connection takes in: the limit, its slack and one buffer of net/http.
	maxReadOfHead = fuzzHeadBytes + headSlack + 4<<10
	// maxChargeOfHead is what such a head may be charged: that of one that has only line ends.
	maxChargeOfHead = maxReadOfHead * (costPerHeadByte + costPerHeadField)
)

var fuzzSeeds = []string{
	request,
	request + request,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + request,
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + request,
	"\r\n\r\n\r\n" + request,
	"POST / HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r\n\r\n" + request,
	"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3*fuzzHeadBytes) + "\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4*fuzzHeadBytes),
	"GET /" + strings.Repeat("x", 16*fuzzHeadBytes),
	"GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
	"G",
	"",
}

// FuzzHead checks that whatever a caller sends, and in whatever pieces: the handler gets only heads that net/http reads from the same
// bytes, in their order, within the limit; the bytes taken in and charged for one head stay within their bounds, and nothing stays
// charged after the connection.
func FuzzHead(f *testing.F) {
	for i, s := range fuzzSeeds {
		f.Add([]byte(s), uint16(i))
		f.Add([]byte(s), uint16(40*i+1))
	}
	f.Fuzz(func(t *testing.T, sent []byte, piece uint16) { checkHeads(t, sent, int(piece)) })
}

// TestRandomHeads is FuzzHead with random changes of its seeds.
func TestRandomHeads(t *testing.T) {
	r := rand.New(rand.NewPCG(20261206, 1))
	for range 300 {
		text := []byte(fuzzSeeds[r.IntN(len(fuzzSeeds))] + fuzzSeeds[r.IntN(len(fuzzSeeds))])
		for range r.IntN(4) {
			if len(text) > 0 {
				text[r.IntN(len(text))] = "\r\n :\x00ax"[r.IntN(7)]
			}
		}
		checkHeads(t, text, r.IntN(2000))
	}
}

// checkHeads sends bytes on one connection, in two pieces.
func checkHeads(t *testing.T, sent []byte, piece int) {
	memory := &Budget{Bytes: maxChargeOfHead} // a head that is charged more is refused for it
	var got []string
	var over bool
	s := startServerWith(t, func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Method+" "+r.RequestURI)
		if c := r.Context().Value(connKey{}).(*Conn); c.exceeds() {
			over = true
		}
		answerOK(w, r)
	}, func(l *Listener) {
		l.SetLimits(Limits{HeadBytes: fuzzHeadBytes, HeadTimeout: fuzzHeadTimeout})
		l.SetBudgets(4, memory)
	})
	c := s.dial()
	go func() {
		_, _ = c.Write(sent[:min(piece, len(sent))])
		runtime.Gosched()
		_, _ = c.Write(sent[min(piece, len(sent)):])
		_ = c.Conn.(*net.TCPConn).CloseWrite() // ends the connection after the last answer
	}()
	_, _ = io.Copy(io.Discard, c) // a reset is allowed
	_ = c.Close()
	s.awaitOpen(0)
	s.awaitNoCharge(memory)
	if over || s.listener.Closed(Memory) > 0 {
		t.Error("more of a head was taken in, or charged, than its limit allows")
	}
	if want := readHeads(sent); len(got) > len(want) || strings.Join(got, "\n") != strings.Join(want[:len(got)], "\n") {
		t.Errorf("requests %q, want the first ones of %q", got, want)
	}
}

// exceeds reports whether more of a head was taken in, or charged, than its limit allows.
func (c *Conn) exceeds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incoming.bytes > maxReadOfHead || c.incoming.headCharge > maxChargeOfHead
}

// readHeads returns the requests that net/http reads from bytes without a connection.
func readHeads(sent []byte) []string {
	r := bufio.NewReader(bytes.NewReader(sent))
	var out []string
	method := ""
	for {
		if method == http.MethodPost { // line ends behind the body of a POST are skipped
			begin, _ := r.Peek(4)
			_, _ = r.Discard(len(begin) - len(bytes.TrimLeft(begin, "\r\n")))
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return out
		}
		method = req.Method
		out = append(out, req.Method+" "+req.RequestURI)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return out
		}
	}
}
