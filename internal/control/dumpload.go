package control

import (
	"slices"
	"strings"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// SpeedDump is the speed that an endpoint has reported to any gateway.
type SpeedDump struct {
	Percent int   `json:"percent"` // how long work takes, relative to the usual 100
	AgeMS   int64 `json:"age_ms"`
}

// ContentionDump is the state of a service's admission under contention. Services without a latency goal have none.
type ContentionDump struct {
	Contended     bool    `json:"contended"`
	SinceMS       int64   `json:"since_ms,omitempty"` // time since contention began
	AdmittedShare float64 `json:"admitted_share"`
	Target        float64 `json:"target"`      // of the utilization
	Utilization   float64 `json:"utilization"` // the fleet's requests as a multiple of the slots
	Demand        float64 `json:"demand"`      // estimate, as a multiple of the capacity; 0 without contention
	HoldMS        float64 `json:"hold_ms"`     // mean time for which a request holds a slot; 0: not known
	QueueLimit    float64 `json:"queue_limit"` // load at which endpoints refuse requests, as a multiple of their slots; 0: not known
}

// dumpServices returns the state of the services that have had requests or have a latency goal, by ID.
func (s *State) dumpServices(now boottime.Instant) []ServiceDump {
	ids := map[fleet.ServiceID]bool{}
	for id := range s.retryWindows {
		ids[id] = true
	}
	for id := range s.serviceLoads {
		ids[id] = true
	}
	var out []ServiceDump
	for id := range ids {
		d := ServiceDump{Service: id, RetrySuccessRate: s.retrySuccessRate(id), Uneven: s.uneven(now, id), Contention: s.dumpContention(now, id)}
		if w := s.retryWindows[id]; w != nil {
			d.Requests, d.Retries = w.Counts(now)
		}
		d.Allowed = s.retriesAllowed(d.Requests)
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b ServiceDump) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}

// dumpContention returns the state of a service's admission, or nil if its utilization is not observed.
func (s *State) dumpContention(now boottime.Instant, service fleet.ServiceID) *ContentionDump {
	l := s.serviceLoads[service]
	if l == nil || s.table == nil || leastUrgentRoutes(s.table.Config().Routes)[service] == nil {
		return nil
	}
	st := l.contention.State(now)
	d := &ContentionDump{
		Contended: st.Contended, AdmittedShare: st.AdmittedShare, Target: st.Target, Utilization: st.Utilization, Demand: st.Demand,
		HoldMS: Milliseconds(s.costs.ServiceTime(service)), QueueLimit: l.queueLimit,
	}
	if st.Contended {
		d.SinceMS = now.Sub(st.Since).Milliseconds()
	}
	return d
}

// dumpBacklog returns the speed and the outstanding prefill time of an endpoint, nil where they are not known.
func (s *State) dumpBacklog(now boottime.Instant, e *endpoint) (*SpeedDump, *float64) {
	b := s.backlogOf(now, e)
	var speed *SpeedDump
	if b.Known {
		speed = &SpeedDump{Percent: percentOf(b.Speed), AgeMS: b.SpeedAge.Milliseconds()}
	}
	if l := s.serviceLoads[e.Service]; !b.Known && b.PendingRead == 0 && (l == nil || l.speedReportedAt == 0) {
		return nil, nil
	}
	pending := Milliseconds(b.PendingRead)
	return speed, &pending
}
