package event

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestLogReaderThatStalls: a pipe that nobody reads holds up nobody who logs; what was
// dropped is counted in the next line that is read.
func TestLogReaderThatStalls(t *testing.T) {
	r, pipe := io.Pipe()
	defer r.Close()
	w := newWriter(pipe)
	done := make(chan struct{})
	const lines = 3 * queuedLines
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a line waits for its reader")
	}
	got := make([]byte, 1<<16)
	text := ""
	for !strings.Contains(text, "dropped") {
		n, err := r.Read(got)
		if err != nil {
			t.Fatal(err)
		}
		text += string(got[:n])
	}
	close(w.queue)
}

func BenchmarkRecord(b *testing.B) {
	r, pipe := io.Pipe()
	defer r.Close()
	go func() { _, _ = io.Copy(io.Discard, r) }()
	LogTo(pipe)
	lines = newLimiter()
	b.ReportAllocs()
	for b.Loop() {
		Record(AttemptPlaced, "request", "9c41d07be2a35f68", "endpoint", "i-7f3a91c2", "addr", "10.1.0.9:8080", "load", 3, "mean", 2.5, "of", 9)
	}
}
