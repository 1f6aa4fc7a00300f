package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startInternal starts a server of internal listeners with the control handler, and returns a
// connection to it. Its times are short for the test if they are set at all.
func startInternal(t *testing.T) net.Conn {
	p := newTestProcess(t)
	srv := newInternalServer(p.controlHandler())
	for _, limit := range []*time.Duration{&srv.ReadTimeout, &srv.ReadHeaderTimeout, &srv.WriteTimeout} {
		*limit = min(*limit, 300*time.Millisecond)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = srv.Close()
	})
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	return conn
}

// TestInternalListenerRefusesLargeHeads checks the bound on the head of a request of a peer.
func TestInternalListenerRefusesLargeHeads(t *testing.T) {
	conn := startInternal(t)
	_, _ = io.WriteString(conn, "GET /v1/items?after=0&max_bytes=1 HTTP/1.1\r\nHost: h\r\nX-One: "+strings.Repeat("x", 2*maxInternalHeadBytes)+"\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("%+v, %v", resp, err)
	}
}

// TestInternalListenerClosesStalledRequests checks that the connection of a peer whose request
// stops midway is closed, so that such requests do not pile up.
func TestInternalListenerClosesStalledRequests(t *testing.T) {
	for name, part := range map[string]string{
		"head": "POST /v1/members HTTP/1.1\r\nHost: h\r\n",
		"body": "POST /v1/members HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			conn := startInternal(t)
			_, _ = io.WriteString(conn, part)
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Errorf("still open: %v", err)
			}
		})
	}
}

// TestInternalListenerClosesRequestsWithoutEnd checks that a body without end is cut off.
func TestInternalListenerClosesRequestsWithoutEnd(t *testing.T) {
	conn := startInternal(t)
	_, _ = io.WriteString(conn, "POST /v1/members HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	piece := []byte(strings.Repeat("8\r\n        \r\n", 1<<10))
	for sent := 0; sent < 32<<20; sent += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
	t.Error("32 MiB were sent on an open connection")
}
