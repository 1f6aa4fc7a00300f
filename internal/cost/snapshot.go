package cost

import (
	"cmp"
	"math"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Snapshot is what a model has learned, for operators.
type Snapshot struct {
	Services []ServiceSnapshot `json:"services"` // by ID
	Routes   int               `json:"routes"`   // pairs of service and route in memory
}

// ServiceSnapshot is what a model has learned about one service. Times are those of an endpoint of
// usual speed, except that of HoldMS.
type ServiceSnapshot struct {
	Service            fleet.ServiceID `json:"service"`
	Observations       uint64          `json:"observations"`
	Learned            bool            `json:"learned"` // the prefill time is not the prior's
	PrefillMSPerKToken float64         `json:"prefill_ms_per_1000_tokens"`
	FixedMS            float64         `json:"fixed_ms"`
	EventMS            float64         `json:"event_ms"`
	RequestMS          float64         `json:"request_ms"` // of requests without token counts, to the first byte
	HoldMS             float64         `json:"hold_ms"`    // mean time for which a slot is held; 0: unknown
	FirstEventError    ErrorSnapshot   `json:"first_event_error"`
}

// ErrorSnapshot holds quantiles of the relative error of the estimated time to the first event, over
// about the last thousand requests that did not wait in a queue. All are 0 without observations.
type ErrorSnapshot struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
}

// Snapshot returns what the model has learned.
func (m *Model) Snapshot() Snapshot {
	out := Snapshot{Services: make([]ServiceSnapshot, 0, m.services.Len()), Routes: m.routes.Len()}
	for id, s := range m.services.All() {
		perEvent, _ := s.perEvent.refine(math.Log(priorPerEvent), 0)
		request, _ := s.times.estimate(nil)
		out.Services = append(out.Services, ServiceSnapshot{
			Service:            id,
			Observations:       s.observations,
			Learned:            s.read.count >= learnedAfter,
			PrefillMSPerKToken: s.read.perToken * 1e6,
			FixedMS:            s.read.fixed * 1e3,
			EventMS:            math.Exp(perEvent) * 1e3,
			RequestMS:          request * 1e3,
			HoldMS:             s.serviceTime().Seconds() * 1e3,
			FirstEventError:    ErrorSnapshot{P50: s.errors.quantile(0.5), P90: s.errors.quantile(0.9), P99: s.errors.quantile(0.99)},
		})
	}
	slices.SortFunc(out.Services, func(a, b ServiceSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
