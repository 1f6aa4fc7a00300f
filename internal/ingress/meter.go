package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// latencyBuckets are the upper bounds of the latency histograms' buckets.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// Meter records the metrics of requests and attempts.
type Meter struct{ scope tally.Scope }

// NewMeter returns a meter that records in the sub-scope "gateway" of a scope.
func NewMeter(scope tally.Scope) *Meter { return &Meter{scope: scope.SubScope("gateway")} }

// requestEnded counts a request by its outcome and records its latency.
func (m *Meter) requestEnded(c *call, outcome string) {
	tags := map[string]string{"outcome": outcome, "service": string(c.admission.Service)}
	if r := c.admission.Route; r != nil {
		tags["kind"] = r.Kind.String()
	}
	s := m.scope.Tagged(tags)
	s.Counter("requests").Inc(1)
	s.Histogram("request_seconds", latencyBuckets).RecordDuration(time.Since(c.arrivedAt))
}

// refusedByContention counts a request that was refused because its service is contended, by the deciding rule.
func (m *Meter) refusedByContention(c *call) {
	m.scope.Tagged(map[string]string{"service": string(c.admission.Service), "reason": c.admission.Contention.String()}).Counter("contention_refusals").Inc(1)
}

// streamStarted records the time until the head of a stream is sent: with the first event, or at
// the end of a resumed stream without further events.
func (m *Meter) streamStarted(c *call) {
	m.scope.Tagged(map[string]string{"service": string(c.admission.Service)}).
		Histogram("first_event_seconds", latencyBuckets).RecordDuration(time.Since(c.arrivedAt))
}

// callersEnded counts n connections of callers that end without a complete answer, or while idle, for the same cause.
func (m *Meter) callersEnded(cause EndCause, n int) {
	m.scope.Tagged(map[string]string{"cause": cause.String()}).Counter("callers_ended").Inc(int64(n))
}

// RecordRefused records the connections of a listener that were closed, or whose requests were refused, for a limit or a budget
// since the last call, with one line for each reason. listener names it.
func (m *Meter) RecordRefused(l *callerconn.Listener, listener string) {
	for why := callerconn.Connections; why <= callerconn.Refused; why++ {
		n := l.Closed(why)
		if n == 0 {
			continue
		}
		event.LogFields(event.CallersRefused, "listener", listener, "cause", why, "connections", n, "open", l.Len())
		m.scope.Tagged(map[string]string{"listener": listener, "cause": why.String()}).Counter("callers_refused").Inc(int64(n))
	}
}

// attemptEnded counts an attempt by endpoint and result.
func (m *Meter) attemptEnded(a *attempt) {
	m.scope.Tagged(map[string]string{"endpoint": string(a.placed.Endpoint), "result": a.result.String()}).Counter("attempts").Inc(1)
}
