package event

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// maxQueuedLines bounds the lines that are buffered for a slow reader of the log.
const maxQueuedLines = 1024

// asyncWriter writes lines to another writer from a goroutine and never blocks its caller.
// Lines that do not fit the queue are dropped; their number is written before the next line.
type asyncWriter struct {
	queue   chan queueEntry
	dropped atomic.Int64
}

// queueEntry is a line, or a flush marker whose channel is closed once all lines before it are written.
type queueEntry struct {
	line    []byte
	written chan<- struct{}
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	aw := &asyncWriter{queue: make(chan queueEntry, maxQueuedLines)}
	go aw.drain(w)
	return aw
}

// Write implements io.Writer. It never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- queueEntry{line: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) drain(dst io.Writer) {
	for q := range w.queue {
		if q.written != nil {
			close(q.written)
			continue
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = dst.Write([]byte("log lines dropped for a slow reader: " + strconv.FormatInt(n, 10) + "\n"))
		}
		_, _ = dst.Write(q.line) // an error of the log output cannot be logged
	}
}

// flush waits until all queued lines are written or the timeout expires.
func (w *asyncWriter) flush(timeout time.Duration) {
	expired := time.After(timeout)
	written := make(chan struct{})
	select {
	case w.queue <- queueEntry{written: written}:
	case <-expired:
		return
	}
	select {
	case <-written:
	case <-expired:
	}
}

// output is the writer set by SetOutput, or nil.
var output *asyncWriter

// Flush waits until all lines logged so far are written or the timeout expires.
func Flush(timeout time.Duration) {
	klog.Flush()
	if output != nil {
		output.flush(timeout)
	}
}

// SetOutput writes all lines to w. If w blocks, lines that do not fit a bounded queue are
// dropped and counted. SetOutput must be called once, before the first line is logged.
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
	output = newAsyncWriter(w)
	klog.SetOutput(output)
}
