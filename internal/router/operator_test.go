package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOperatorListenerBoundsRequests checks that the listener for operators refuses large heads,
// and responds to a request whose body does not arrive.
func TestOperatorListenerBoundsRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		request string
		status  int
	}{
		"large head":   {"GET /none HTTP/1.1\r\nHost: h\r\nX-One: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"stalled body": {"GET /none HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			srv := (&process{}).operatorServer()
			srv.ReadTimeout = min(srv.ReadTimeout, 300*time.Millisecond)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(conn, tc.request)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != tc.status {
				t.Errorf("%+v, %v; want status %d", resp, err, tc.status)
			}
		})
	}
}

// TestLongProfileIsNotCutShort guards against a read timeout that ends a long response.
func TestLongProfileIsNotCutShort(t *testing.T) {
	srv := (&process{opts: Options{Profiling: true}}).operatorServer()
	srv.ReadTimeout = 100 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	start := time.Now()
	resp, err := client.Get("http://" + l.Addr().String() + "/debug/pprof/profile?seconds=1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || time.Since(start) < time.Second {
		t.Errorf("a profile of a second took %v, %v", time.Since(start), err)
	}
}
