package event

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queuedLines bounds the lines that wait for a slow reader of the log.
const queuedLines = 1024

// writer passes lines on to another writer without ever waiting for it. Lines that do
// not fit the queue are counted, and the count goes out with the next line that fits.
type writer struct {
	queue   chan []byte
	dropped atomic.Int64
}

func newWriter(w io.Writer) *writer {
	q := &writer{queue: make(chan []byte, queuedLines)}
	go q.drain(w)
	return q
}

// Write implements io.Writer. It never fails.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *writer) drain(to io.Writer) {
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = to.Write([]byte("log lines dropped for a slow reader: " + strconv.FormatInt(n, 10) + "\n"))
		}
		_, _ = to.Write(line) // there is nowhere to report to
	}
}

// LogTo sends all lines to w, which may block: lines that it does not take in time are
// dropped and counted. It must be called once, before the first line.
func LogTo(w io.Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			panic("event: klog has no flag " + name)
		}
	}
	klog.SetOutput(newWriter(w))
}
