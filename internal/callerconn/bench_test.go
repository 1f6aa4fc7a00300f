package callerconn

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkSweep examines 4,000 connections that are kept.
func BenchmarkSweep(b *testing.B) {
	l := NewListener(nil)
	now := time.Now()
	for range 4000 {
		c := &Conn{listener: l, phase: Waiting, reading: true, since: now, announced: time.Hour}
		l.conns[c] = struct{}{}
	}
	for b.Loop() {
		l.Sweep(Idle, time.Hour)
	}
}

// BenchmarkRequest measures one request on a kept connection, plain and wrapped.
func BenchmarkRequest(b *testing.B) {
	b.Run("plain", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(answerOK), ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		s := &testServer{t: b, listener: NewListener(l.(*net.TCPListener))}
		benchmarkRequests(b, s.dial())
	})
	b.Run("wrapped", func(b *testing.B) { benchmarkRequests(b, startServer(b, answerOK).dial()) })
}

func benchmarkRequests(b *testing.B, c *client) {
	_ = c.SetDeadline(time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		c.send(b, request)
		c.expectAnswer(b)
	}
}
