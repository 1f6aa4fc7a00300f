package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/callerconn"
)

// TestBudgets checks, for instances of all sizes, that connections leave descriptors for endpoints and the process itself, and that
// connections and what is charged stay within a quarter of the memory.
func TestBudgets(t *testing.T) {
	for _, tc := range []struct {
		memoryMB float64
		maxFDs   int
	}{{184, 4100}, {48, 256}, {64, 256}, {512, 1024}, {64, 1 << 20}, {4096, 1 << 20}, {0, 0}} {
		b := newBudgets(tc.memoryMB, tc.maxFDs)
		memory, fds := tc.memoryMB, tc.maxFDs
		if memory == 0 {
			memory, fds = usualMemoryMB, usualMaxFDs
		}
		internal := b.control + b.ready + b.operator
		if used := 2*b.callers + internal + ownFDs/2; used > fds {
			t.Errorf("%+v: %d descriptors of %d", tc, used, fds)
		}
		if used := b.memory.Bytes + int64(b.callers+internal)*connBytes; used > int64(memory*(1<<20)/4) {
			t.Errorf("%+v: %d KiB of memory, more than a quarter", tc, used>>10)
		}
		if b.memory.Bytes < int64(memory*(1<<20)/16) || b.callers < 16 || b.control < 8 {
			t.Errorf("%+v: too little is left: %d callers, %d peers, %d KiB", tc, b.callers, b.control, b.memory.Bytes>>10)
		}
	}
	if b := newBudgets(1, 1); b.callers < 1 || b.control < 1 || b.memory.Bytes <= 0 {
		t.Errorf("a process that serves nobody: %+v", b)
	}
}

// TestInternalListenerMakesRoom guards against connections without a request that lock out the balancer, peers or operators.
func TestInternalListenerMakesRoom(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := callerconn.NewListener(tcp.(*net.TCPListener))
	l.SetBudgets(2, nil)
	srv := newInternalServer(newTestProcess(t).controlHandler())
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	for _, part := range []string{"", "GET / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", ""} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, part)
		time.Sleep(20 * time.Millisecond)
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if answer, err := io.ReadAll(conn); err != nil || len(answer) == 0 {
		t.Errorf("no answer: %q, %v", answer, err)
	}
}
