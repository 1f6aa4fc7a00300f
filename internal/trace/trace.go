package trace

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

const (
	// processLineLookback is how far before the request other events of its process are included:
	// twice the default of bounds.revoke_ms, which bounds the age of the configuration with which a
	// process accepts API keys.
	processLineLookback = 10 * time.Second
	// maxClockSkew extends the time range of the request for lines of other processes, whose
	// clocks may differ. Events of its own process are included for as long after its end.
	maxClockSkew = 5 * time.Second
	// maxPeerLines bounds the lines of other processes.
	maxPeerLines = 12
)

// ErrNotFound is returned for a request that does not occur in the logs.
var ErrNotFound = errors.New("trace: no log line contains the request id")

// Trace holds the log lines about one request and the cause of its outcome.
type Trace struct {
	Request      string
	RequestLines []Line // the lines with its id, in log order
	ProcessLines []Line // other events of its process around that time
	PeerLines    []Line // events of other processes about its endpoints
	BlockLines   []Line // beginnings of blocks whose evidence names an endpoint process that ended under the request
	Cause        string
}

// Reconstruct returns the trace of a request from the lines of all logs.
func Reconstruct(lines []Line, request string) (*Trace, error) {
	t := &Trace{Request: request}
	for _, l := range lines {
		if l.Get("request") == request {
			t.RequestLines = append(t.RequestLines, l)
		}
	}
	if len(t.RequestLines) == 0 {
		return nil, ErrNotFound
	}
	t.addProcessLines(lines)
	t.addPeerLines(lines)
	t.addBlockLines(lines)
	t.Cause = t.cause()
	return t, nil
}

// firstLine and lastLine bound the request in time, by its process's clock.
func (t *Trace) firstLine() *Line { return &t.RequestLines[0] }

// lastLine returns the last line that tells the outcome: event.CallerCut follows such a line.
func (t *Trace) lastLine() *Line {
	last := len(t.RequestLines) - 1
	if last > 0 && t.RequestLines[last].Event == event.CallerCut {
		last--
	}
	return &t.RequestLines[last]
}

// endpoints returns the endpoints that the request was sent to.
func (t *Trace) endpoints() []string {
	var endpoints []string
	for _, l := range t.RequestLines {
		if e := l.Get("endpoint"); e != "" && !slices.Contains(endpoints, e) {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

func (t *Trace) addProcessLines(lines []Line) {
	endpoints := t.endpoints()
	for _, l := range lines {
		if l.Instance != t.firstLine().Instance || l.Get("request") != "" {
			continue
		}
		if l.Time < t.firstLine().Time-processLineLookback || l.Time > t.lastLine().Time+maxClockSkew {
			continue
		}
		if e := l.Get("endpoint"); e != "" && !slices.Contains(endpoints, e) {
			continue
		}
		t.ProcessLines = append(t.ProcessLines, l)
	}
}

func (t *Trace) addPeerLines(lines []Line) {
	endpoints := t.endpoints()
	for _, l := range lines {
		if l.Instance == t.firstLine().Instance || l.Get("request") != "" || !slices.Contains(endpoints, l.Get("endpoint")) {
			continue
		}
		if l.Time < t.firstLine().Time-maxClockSkew || l.Time > t.lastLine().Time+maxClockSkew || len(t.PeerLines) >= maxPeerLines {
			continue
		}
		t.PeerLines = append(t.PeerLines, l)
	}
}

// lastProcessLine returns the last of ProcessLines up to a time with one of the events, or nil.
func (t *Trace) lastProcessLine(until time.Duration, events ...event.Number) *Line {
	for i := len(t.ProcessLines) - 1; i >= 0; i-- {
		if l := &t.ProcessLines[i]; l.Time <= until && slices.Contains(events, l.Event) {
			return l
		}
	}
	return nil
}

// Write prints the trace.
func (t *Trace) Write(w io.Writer) error {
	p := printer{w: w}
	p.printf("request %s at %s, process %s\n\n", t.Request, t.firstLine().Instance, t.firstLine().Process)
	p.printf("events of the request:\n")
	p.lines(t.RequestLines, false)
	if len(t.ProcessLines) > 0 {
		p.printf("\nother events of its process:\n")
		p.lines(t.ProcessLines, false)
	}
	if len(t.PeerLines) > 0 {
		p.printf("\nother processes on the same endpoints (their clocks may differ):\n")
		p.lines(t.PeerLines, true)
	}
	if len(t.BlockLines) > 0 {
		p.printf("\nblocks of requests that ended the same endpoint processes:\n")
		p.lines(t.BlockLines, true)
	}
	p.printf("\ncause: %s\n", t.Cause)
	return p.err
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) lines(ls []Line, withInstance bool) {
	for _, l := range ls {
		if withInstance {
			p.printf("  %s", l.Instance)
		}
		p.printf("  %s\n", l.Text)
	}
}
