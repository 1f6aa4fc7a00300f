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

// ErrUnknown reports a request that no log names.
var ErrUnknown = errors.New("story: no line names the request")

// Story is what the logs tell of one request.
type Story struct {
	Request string
	Way     []Line // the lines that name it, in the order of its way
	Beside  []Line // what its process believed, lost and regained
	Others  []Line // what other processes say of its endpoints
	Cause   string
}

// Tell returns the story of a request from the lines of all logs.
func Tell(lines []Line, request string) (*Story, error) {
	s := &Story{Request: request}
	for _, l := range lines {
		if l.Get("request") == request {
			s.Way = append(s.Way, l)
		}
	}
	if len(s.Way) == 0 {
		return nil, ErrUnknown
	}
	s.beside(lines)
	s.others(lines)
	s.Cause = s.cause()
	return s, nil
}

// first and last are the ends of the request's way by its process's clock.
func (s *Story) first() *Line { return &s.Way[0] }
func (s *Story) last() *Line  { return &s.Way[len(s.Way)-1] }

// endpoints are those that the request was sent to.
func (s *Story) endpoints() []string {
	var out []string
	for _, l := range s.Way {
		if e := l.Get("endpoint"); e != "" && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

func (s *Story) beside(lines []Line) {
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
		s.Beside = append(s.Beside, l)
	}
}

func (s *Story) others(lines []Line) {
	endpoints := s.endpoints()
	for _, l := range lines {
		if l.Instance == s.first().Instance || l.Get("request") != "" || !slices.Contains(endpoints, l.Get("endpoint")) {
			continue
		}
		if l.Time < s.first().Time-around || l.Time > s.last().Time+around || len(s.Others) >= maxOthers {
			continue
		}
		s.Others = append(s.Others, l)
	}
}

// latest returns the last line beside the request with one of the events, up to a time.
func (s *Story) latest(until time.Duration, events ...event.Number) *Line {
	for i := len(s.Beside) - 1; i >= 0; i-- {
		if l := &s.Beside[i]; l.Time <= until && slices.Contains(events, l.Event) {
			return l
		}
	}
	return nil
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	p := printer{w: w}
	p.printf("request %s at %s, process %s\n\n", s.Request, s.first().Instance, s.first().Process)
	p.printf("its way:\n")
	p.lines(s.Way, false)
	if len(s.Beside) > 0 {
		p.printf("\nwhat its process believed, lost and regained:\n")
		p.lines(s.Beside, false)
	}
	if len(s.Others) > 0 {
		p.printf("\nother processes on the same endpoints (their clocks may differ):\n")
		p.lines(s.Others, true)
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
