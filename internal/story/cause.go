package story

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// cause says in a sentence or two why the request ended as it did.
func (s *Trace) cause() string {
	end := s.last()
	switch end.Event {
	case event.RequestAnswered:
		return s.answered()
	case event.RequestRejected:
		return fmt.Sprintf("the caller got %s (%s) by the configuration at revision %s, which was %s ms old; the request was not passed on",
			end.Get("status"), end.Get("why"), end.Get("revision"), end.Get("age_ms"))
	case event.RequestRefused:
		return s.refused()
	case event.RequestUnknown:
		return s.unknown()
	case event.CallerLeft:
		return fmt.Sprintf("the caller closed its connection after %s ms; %s", end.Get("after_ms"), s.lastAttempt())
	default:
		return s.unfinished()
	}
}

func (s *Trace) answered() string {
	if status := s.last().Get("status"); status >= "500" {
		return fmt.Sprintf("the endpoint itself answered %s, and its answer was passed on; %s", status, s.lastAttempt())
	}
	if s.last().Int("sends") > 1 {
		return "answered, after the first endpoint failed; " + s.firstFailure()
	}
	return "answered at the first attempt"
}

func (s *Trace) refused() string {
	end := s.last()
	again := fmt.Sprintf("; it did not run, and the caller was told to return in %s ms", end.Get("retry_after_ms"))
	switch end.Get("reason") {
	case control.ReasonStale.String():
		text := fmt.Sprintf("the process last had the store's state confirmed %s ms before, too long ago to accept a key", end.Get("age_ms"))
		if l := s.latest(end.Time, event.PlatformUnreadable); l != nil {
			text += fmt.Sprintf("; its own reads had failed since (%s), and no peer knew better", l.Get("err"))
		}
		return text + again
	case control.ReasonNoConfig.String():
		return "the process had just started and knew no configuration yet" + again
	case control.ReasonNoEndpoint.String():
		return "no endpoint of the service could take it; " + s.lastAttempt() + again
	default:
		return fmt.Sprintf("refused for %s; %s%s", end.Get("reason"), s.lastAttempt(), again)
	}
}

func (s *Trace) unknown() string {
	end := s.last()
	text := "it may have run, so that nobody may say that it did not"
	if s.has(event.RequestOverdue) {
		text = fmt.Sprintf("its time of %s ms passed", s.way(event.RequestOverdue).Get("limit_ms"))
	}
	if end.Int("events") > 0 {
		text = fmt.Sprintf("the stream broke off after %s events", end.Get("events"))
	}
	text += "; " + s.lastAttempt()
	if end.Get("why") == control.ReasonMayHaveRun.String() {
		text += "; its route does not allow another attempt"
	}
	return text
}

// way returns the last line of the request's way with an event, or nil.
func (s *Trace) way(n event.Number) *Line {
	for i := len(s.RequestLines) - 1; i >= 0; i-- {
		if s.RequestLines[i].Event == n {
			return &s.RequestLines[i]
		}
	}
	return nil
}

func (s *Trace) has(n event.Number) bool { return s.way(n) != nil }

// unfinished is for a request whose last line is no end.
func (s *Trace) unfinished() string {
	if l := s.latest(s.last().Time+around, event.ProcessStopped, event.ProcessStarted); l != nil && l.Time >= s.first().Time {
		if l.Event == event.ProcessStarted {
			return "the process ended without a planned stop while the request was in progress, and the next one of the instance started; " + s.lastAttempt()
		}
		return "the process ended while the request was in progress; " + s.lastAttempt()
	}
	return "the log ends while the request was in progress: the process was killed, or its last lines are missing; " + s.lastAttempt()
}

func (s *Trace) firstFailure() string {
	for i := range s.RequestLines {
		if l := &s.RequestLines[i]; l.Event == event.AttemptEnded && l.Get("result") != control.ResponseComplete.String() {
			return s.attempt(l)
		}
	}
	return s.lastAttempt()
}

// lastAttempt describes the last result at an endpoint, or the placing without one.
func (s *Trace) lastAttempt() string {
	for i := len(s.RequestLines) - 1; i >= 0; i-- {
		switch l := &s.RequestLines[i]; l.Event {
		case event.AttemptEnded:
			return s.attempt(l)
		case event.AttemptPlaced:
			return fmt.Sprintf("it had gone to endpoint %s, which had not answered", l.Get("endpoint"))
		}
	}
	return "it was sent to no endpoint"
}

func (s *Trace) attempt(l *Line) string {
	text := fmt.Sprintf("endpoint %s ended the attempt as %s after %s ms", l.Get("endpoint"), l.Get("result"), l.Get("took_ms"))
	if e := l.Get("err"); e != "" {
		text += " (" + e + ")"
	}
	if d := s.downLine(l.Get("endpoint")); d != nil {
		text += fmt.Sprintf("; %s found it down (silent=%s)", d.Instance, d.Get("silent"))
	}
	return text
}

// downLine returns a line that says that an endpoint is down, or nil.
func (s *Trace) downLine(endpoint string) *Line {
	for _, ls := range [][]Line{s.ProcessLines, s.PeerLines} {
		for i := range ls {
			if ls[i].Event == event.EndpointDown && ls[i].Get("endpoint") == endpoint {
				return &ls[i]
			}
		}
	}
	return nil
}
