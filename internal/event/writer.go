package event

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// queuedLines bounds the lines that wait for a slow reader of the log.
const queuedLines = 1024

// writer passes lines on to another writer without ever waiting for it. Lines that do
// not fit the queue are counted, and the count goes out with the next line that fits.
type writer struct {
	queue   chan queued
	dropped atomic.Int64
}

// queued is a line, or a question whether all lines before it are written.
type queued struct {
	line    []byte
	written chan<- struct{}
}

func newWriter(w io.Writer) *writer {
	q := &writer{queue: make(chan queued, queuedLines)}
	go q.drain(w)
	return q
}

// Write implements io.Writer. It never fails.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- queued{line: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *writer) drain(to io.Writer) {
	for q := range w.queue {
		if q.written != nil {
			close(q.written)
			continue
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = to.Write([]byte("log lines dropped for a slow reader: " + strconv.FormatInt(n, 10) + "\n"))
		}
		_, _ = to.Write(q.line) // there is nowhere to report to
	}
}

// flush waits until all lines are written that the reader takes before the end of time.
func (w *writer) flush(timeout time.Duration) {
	end := time.After(timeout)
	written := make(chan struct{})
	select {
	case w.queue <- queued{written: written}:
	case <-end:
		return
	}
	select {
	case <-written:
	case <-end:
	}
}

// output is what LogTo set.
var output *writer

// Flush waits, at most for a time, until the lines so far are written.
func Flush(timeout time.Duration) {
	klog.Flush()
	if output != nil {
		output.flush(timeout)
	}
}

// SetOutput sends all lines to w, which may block: lines that it does not take in time are
// dropped and counted. It must be called once, before the first line.
func SetOutput(w io.Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			panic("event: klog has no flag " + name)
		}
	}
	output = newWriter(w)
	klog.SetOutput(output)
}
