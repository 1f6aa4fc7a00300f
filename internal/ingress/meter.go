package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// Meter counts what becomes of requests.
type Meter struct{ scope tally.Scope }

// NewMeter returns a meter that reports to a scope.
func NewMeter(scope tally.Scope) *Meter { return &Meter{scope: scope.SubScope("gateway")} }

// requestEnded counts a request by its outcome.
func (m *Meter) requestEnded(c *call, outcome string) {
	tags := map[string]string{"outcome": outcome, "service": string(c.admission.Service)}
	if r := c.admission.Route; r != nil {
		tags["kind"] = r.Kind.String()
	}
	s := m.scope.Tagged(tags)
	s.Counter("requests").Inc(1)
	s.Histogram("request_seconds", latencyBuckets).RecordDuration(time.Since(c.arrivedAt))
}

// streamStarted records the time to the first event of a stream.
func (m *Meter) streamStarted(c *call) {
	m.scope.Tagged(map[string]string{"service": string(c.admission.Service)}).
		Histogram("first_event_seconds", latencyBuckets).RecordDuration(time.Since(c.arrivedAt))
}

// attemptEnded counts an attempt by its endpoint and result.
func (m *Meter) attemptEnded(a *attempt) {
	m.scope.Tagged(map[string]string{"endpoint": string(a.ticket.Endpoint), "result": a.result.String()}).Counter("attempts").Inc(1)
}
