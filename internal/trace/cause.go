package trace

import (
	"fmt"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/contention"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// cause describes in one or two sentences why the request ended as it did.
func (t *Trace) cause() string {
	end := t.lastLine()
	switch end.Event {
	case event.RequestAnswered:
		return t.answeredCause()
	case event.RequestRejected:
		return fmt.Sprintf("the caller got %s (%s) according to the configuration at revision %s, which was %s ms old; the request was not forwarded",
			end.Get("status"), end.Get("why"), end.Get("revision"), end.Get("age_ms"))
	case event.RequestRefused:
		return t.refusedCause()
	case event.RequestUnknown:
		return t.unknownCause()
	case event.RequestBlocked:
		return t.blockedCause()
	case event.CallerLeft:
		return fmt.Sprintf("the caller closed its connection after %s ms; %s", end.Get("after_ms"), t.describeLastAttempt())
	case event.HandlerPanicked:
		return "a fault of the gateway ended it: " + end.Get("panic")
	default:
		return t.unfinishedCause()
	}
}

func (t *Trace) answeredCause() string {
	if status := t.lastLine().Get("status"); status >= "500" {
		return fmt.Sprintf("the endpoint itself answered %s, and its response was forwarded; %s", status, t.describeLastAttempt())
	}
	if t.lastLine().Int("sends") > 1 {
		return "answered after the first endpoint failed; " + t.describeFirstFailure()
	}
	return "answered at the first attempt"
}

func (t *Trace) refusedCause() string {
	end := t.lastLine()
	retryText := fmt.Sprintf("; it did not run, and the caller was told to retry after %s ms", end.Get("retry_after_ms"))
	switch end.Get("reason") {
	case control.ReasonStale.String():
		cause := fmt.Sprintf("the process last had the store's state confirmed %s ms before, too long ago to accept a key", end.Get("age_ms"))
		if l := t.lastProcessLine(end.Time, event.PlatformUnreadable); l != nil {
			cause += fmt.Sprintf("; its own reads had failed since (%s), and no peer had newer data", l.Get("err"))
		}
		return cause + retryText
	case control.ReasonNoConfig.String():
		return "the process had just started and had no configuration yet" + retryText
	case control.ReasonOnTrial.String():
		return t.onTrialCause() + retryText
	case control.ReasonContention.String():
		return t.contentionCause() + retryText
	case control.ReasonNoEndpoint.String():
		return "no endpoint of the service could accept it; " + t.describeLastAttempt() + retryText
	default:
		return fmt.Sprintf("refused for %s; %s%s", end.Get("reason"), t.describeLastAttempt(), retryText)
	}
}

// contentionCause describes why a request was refused while its service was contended.
func (t *Trace) contentionCause() string {
	end := t.lastLine()
	cause := fmt.Sprintf("refused under contention (%s), workspace %s, route %s, priority %s", end.Get("contention"), end.Get("workspace"), end.Get("route"), end.Get("urgency"))
	switch end.Get("contention") {
	case contention.ReasonShare.String():
		cause += ": its workspace had more requests than its share"
	case contention.ReasonOrder.String():
		cause += ": there was no room for all requests at its place in the order"
	case contention.ReasonDeadline.String():
		cause += ": it would have started after its deadline, or after its caller's patience"
	}
	if l := t.lastContentionLine(end.Get("service"), end.Time); l != nil {
		cause += fmt.Sprintf("; service %s had been contended since (utilization %s, target %s)", l.Get("service"), l.Get("utilization"), l.Get("target"))
	}
	return cause
}

// lastContentionLine returns the last line up to a time that says that contention of a service began, or nil if there is none or
// it has ended since.
func (t *Trace) lastContentionLine(service string, until time.Duration) *Line {
	for i := len(t.ProcessLines) - 1; i >= 0; i-- {
		if l := &t.ProcessLines[i]; l.Time <= until && l.Event == event.ContentionChanged && l.Get("service") == service {
			if l.Get("contended") == "true" {
				return l
			}
			return nil
		}
	}
	return nil
}

func (t *Trace) unknownCause() string {
	end := t.lastLine()
	cause := "it may have run, and its outcome is unknown"
	if t.hasEvent(event.RequestOverdue) {
		cause = fmt.Sprintf("its timeout of %s ms expired", t.lastRequestLine(event.RequestOverdue).Get("limit_ms"))
	}
	if end.Int("events") > 0 {
		cause = fmt.Sprintf("the stream broke off after %s events", end.Get("events"))
	}
	cause += "; " + t.describeLastAttempt()
	if end.Get("why") == control.ReasonMayHaveRun.String() {
		cause += "; its route does not allow another attempt"
	}
	return cause
}

// lastRequestLine returns the request's last line with the given event, or nil.
func (t *Trace) lastRequestLine(n event.Number) *Line {
	for i := len(t.RequestLines) - 1; i >= 0; i-- {
		if t.RequestLines[i].Event == n {
			return &t.RequestLines[i]
		}
	}
	return nil
}

func (t *Trace) hasEvent(n event.Number) bool { return t.lastRequestLine(n) != nil }

// unfinishedCause covers a request whose last line is not a final event.
func (t *Trace) unfinishedCause() string {
	if l := t.lastProcessLine(t.lastLine().Time+maxClockSkew, event.ProcessStopped, event.ProcessStarted); l != nil && l.Time >= t.firstLine().Time {
		if l.Event == event.ProcessStarted {
			return "the process ended without a planned stop while the request was in progress, and the instance was restarted; " + t.describeLastAttempt()
		}
		return "the process ended while the request was in progress; " + t.describeLastAttempt()
	}
	if end := &t.RequestLines[len(t.RequestLines)-1]; end.Event == event.CallerCut {
		return fmt.Sprintf("the caller's connection was closed before the answer was complete (%s); %s", end.Get("cause"), t.describeLastAttempt())
	}
	return "the log ends while the request was in progress: the process was killed, or its last lines are missing; " + t.describeLastAttempt()
}

func (t *Trace) describeFirstFailure() string {
	for i := range t.RequestLines {
		if l := &t.RequestLines[i]; l.Event == event.AttemptEnded && l.Get("result") != control.ResponseComplete.String() {
			return t.describeAttempt(l)
		}
	}
	return t.describeLastAttempt()
}

// describeLastAttempt describes the last attempt that ended or, if none did, the endpoint that was chosen last.
func (t *Trace) describeLastAttempt() string {
	for i := len(t.RequestLines) - 1; i >= 0; i-- {
		switch l := &t.RequestLines[i]; l.Event {
		case event.AttemptEnded:
			return t.describeAttempt(l)
		case event.AttemptPlaced:
			return fmt.Sprintf("it had been sent to endpoint %s, which had not answered", l.Get("endpoint"))
		}
	}
	return "it was sent to no endpoint"
}

func (t *Trace) describeAttempt(l *Line) string {
	text := fmt.Sprintf("endpoint %s ended the attempt as %s after %s ms", l.Get("endpoint"), l.Get("result"), l.Get("took_ms"))
	if e := l.Get("err"); e != "" {
		text += " (" + e + ")"
	}
	if d := t.endpointDownLine(l.Get("endpoint")); d != nil {
		text += fmt.Sprintf("; %s reported it down (silent=%s)", d.Instance, d.Get("silent"))
	}
	return text + t.describeProcessEnd(l)
}

// endpointDownLine returns a line that reports an endpoint as down, or nil.
func (t *Trace) endpointDownLine(endpoint string) *Line {
	for _, ls := range [][]Line{t.ProcessLines, t.PeerLines} {
		for i := range ls {
			if ls[i].Event == event.EndpointDown && ls[i].Get("endpoint") == endpoint {
				return &ls[i]
			}
		}
	}
	return nil
}
