package story

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

const (
	// before is how long before a request what its process lost and regained may matter:
	// twice the age at which knowledge of the store no longer counts.
	before = 10 * time.Second
	// around is how far lines of other processes on the same endpoint may lie from the
	// request by clocks that differ.
	around = 5 * time.Second
	// maxOthers bounds the lines of other processes.
	maxOthers = 12
)

// ErrNotFound reports a request that no log names.
var ErrNotFound = errors.New("story: no line names the request")

// Trace is what the logs tell of one request.
type Trace struct {
	Request      string
	RequestLines []Line // the lines that name it, in the order of its way
	ProcessLines []Line // what its process believed, lost and regained
	PeerLines    []Line // what other processes say of its endpoints
	Cause        string
}

// Reconstruct returns the story of a request from the lines of all logs.
func Reconstruct(lines []Line, request string) (*Trace, error) {
	s := &Trace{Request: request}
	for _, l := range lines {
		if l.Get("request") == request {
			s.RequestLines = append(s.RequestLines, l)
		}
	}
	if len(s.RequestLines) == 0 {
		return nil, ErrNotFound
	}
	s.beside(lines)
	s.others(lines)
	s.Cause = s.cause()
	return s, nil
}

// first and last are the ends of the request's way by its process's clock.
func (s *Trace) first() *Line { return &s.RequestLines[0] }
func (s *Trace) last() *Line  { return &s.RequestLines[len(s.RequestLines)-1] }

// endpoints are those that the request was sent to.
func (s *Trace) endpoints() []string {
	var out []string
	for _, l := range s.RequestLines {
		if e := l.Get("endpoint"); e != "" && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

func (s *Trace) beside(lines []Line) {
	endpoints := s.endpoints()
	for _, l := range lines {
		if l.Instance != s.first().Instance || l.Get("request") != "" {
			continue
		}
		if l.Time < s.first().Time-before || l.Time > s.last().Time+around {
			continue
		}
		if e := l.Get("endpoint"); e != "" && !slices.Contains(endpoints, e) {
			continue
		}
		s.ProcessLines = append(s.ProcessLines, l)
	}
}

func (s *Trace) others(lines []Line) {
	endpoints := s.endpoints()
	for _, l := range lines {
		if l.Instance == s.first().Instance || l.Get("request") != "" || !slices.Contains(endpoints, l.Get("endpoint")) {
			continue
		}
		if l.Time < s.first().Time-around || l.Time > s.last().Time+around || len(s.PeerLines) >= maxOthers {
			continue
		}
		s.PeerLines = append(s.PeerLines, l)
	}
}

// latest returns the last line beside the request with one of the events, up to a time.
func (s *Trace) latest(until time.Duration, events ...event.Number) *Line {
	for i := len(s.ProcessLines) - 1; i >= 0; i-- {
		if l := &s.ProcessLines[i]; l.Time <= until && slices.Contains(events, l.Event) {
			return l
		}
	}
	return nil
}

// Write prints the story.
func (s *Trace) Write(w io.Writer) error {
	p := printer{w: w}
	p.printf("request %s at %s, process %s\n\n", s.Request, s.first().Instance, s.first().Process)
	p.printf("its way:\n")
	p.lines(s.RequestLines, false)
	if len(s.ProcessLines) > 0 {
		p.printf("\nwhat its process believed, lost and regained:\n")
		p.lines(s.ProcessLines, false)
	}
	if len(s.PeerLines) > 0 {
		p.printf("\nother processes on the same endpoints (their clocks may differ):\n")
		p.lines(s.PeerLines, true)
	}
	p.printf("\ncause: %s\n", s.Cause)
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

func (p *printer) lines(ls []Line, named bool) {
	for _, l := range ls {
		if named {
			p.printf("  %s", l.Instance)
		}
		p.printf("  %s\n", l.Text)
	}
}
