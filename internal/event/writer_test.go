package event

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestLogReaderThatStalls checks that a pipe without a reader does not block logging, and
// that the number of dropped lines is written once the pipe is read.
func TestLogReaderThatStalls(t *testing.T) {
	r, pipe := io.Pipe()
	defer r.Close()
	w := newAsyncWriter(pipe)
	done := make(chan struct{})
	const lines = 3 * maxQueuedLines
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("writing a line blocks on its reader")
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

// TestFlush checks that flush waits until queued lines are read, and times out on a stalled reader.
func TestFlush(t *testing.T) {
	r, pipe := io.Pipe()
	w := newAsyncWriter(pipe)
	_, _ = w.Write([]byte("first\n"))
	_, _ = w.Write([]byte("last\n"))
	flushed := make(chan struct{})
	go func() {
		w.flush(20 * time.Second)
		close(flushed)
	}()
	got := make([]byte, 64)
	for _, want := range []string{"first\n", "last\n"} {
		select {
		case <-flushed:
			t.Errorf("flushed before %q was read", want)
		default:
		}
		if n, err := r.Read(got); err != nil || string(got[:n]) != want {
			t.Errorf("read %q, %v", got[:n], err)
		}
	}
	<-flushed
	_, _ = w.Write([]byte("never read\n"))
	w.flush(time.Millisecond)
	_ = r.Close()
	close(w.queue)
}

// BenchmarkRecord measures a line that is written and a line that is suppressed.
func BenchmarkRecord(b *testing.B) {
	r, pipe := io.Pipe()
	defer r.Close()
	go func() { _, _ = io.Copy(io.Discard, r) }()
	SetOutput(pipe)
	record := func() {
		LogFields(AttemptPlaced, "request", "9c41d07be2a35f68", "endpoint", "i-7f3a91c2", "addr", "10.1.0.9:8080", "load", 3, "mean", 2.5, "of", 9)
	}
	for name, fresh := range map[string]bool{"written": true, "suppressed": false} {
		b.Run(name, func(b *testing.B) {
			lineLimiter = newLimiter()
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if fresh && n%100 == 0 {
					lineLimiter = newLimiter()
				}
				record()
			}
		})
	}
}
