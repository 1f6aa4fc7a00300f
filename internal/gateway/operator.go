package gateway

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// gaugeReportInterval is the time between two updates of the gauges.
const gaugeReportInterval = 2 * time.Second

// Dump is the response to GET /dump.
type Dump struct {
	Program buildinfo.Info `json:"program"`
	control.Dump
}

func (p *process) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", p.metrics.Handler())
	r.Get("/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, Dump{p.program.Info(), p.dump()}) })
	r.Get("/place", p.placeHandler())
	r.Get("/blocked", p.serveBlocked)
	r.Delete("/blocked/{blocked}", p.liftBlock)
	return r
}

func (p *process) dump() (dump control.Dump) {
	p.loop.Do(func(s *control.State, now boottime.Instant) { dump = s.Dump(now) })
	return dump
}

// scope returns the scope of the gateway's metrics.
func (p *process) scope() tally.Scope { return p.metrics.Scope().SubScope("gateway") }

// reportGauges sets the gauges from a dump of the control state.
func (p *process) reportGauges() {
	s := p.scope()
	dump := p.dump()
	s.Gauge("store_age_seconds").Update(float64(dump.Store.AgeMS) / 1000)
	s.Gauge("store_revision").Update(float64(dump.Store.Revision))
	s.Gauge("store_reads_fail").Update(boolGauge(dump.Store.ReadsFailing))
	s.Gauge("ready").Update(boolGauge(dump.Ready))
	s.Gauge("members").Update(float64(len(dump.Members)))
	s.Gauge("live_peers").Update(float64(dump.LivePeers))
	s.Gauge("content_proven").Update(boolGauge(dump.Store.Proven))
	s.Gauge("content_disputed").Update(boolGauge(dump.Store.Disputed))
	s.Gauge("evacuations_lost").Update(float64(len(dump.EvacuationsLost)))
	s.Gauge("blocked_requests").Update(float64(dump.Blocked))
	s.Gauge("blocked_causes").Update(float64(len(dump.Causes)))
	for _, v := range dump.Services {
		t := s.Tagged(map[string]string{"service": string(v.Service)})
		t.Gauge("retries_in_window").Update(float64(v.Retries))
		t.Gauge("retry_budget_left").Update(v.Allowed - float64(v.Retries))
		if c := v.Contention; c != nil {
			t.Gauge("service_utilization").Update(c.Utilization)
			t.Gauge("service_admitted_share").Update(c.AdmittedShare)
			t.Gauge("service_contended").Update(boolGauge(c.Contended))
		}
	}
	for _, e := range dump.Endpoints {
		t := s.Tagged(map[string]string{"endpoint": string(e.ID)})
		t.Gauge("endpoint_load").Update(float64(e.Load))
		t.Gauge("endpoint_in_flight").Update(float64(e.InFlight))
		t.Gauge("endpoint_usable").Update(boolGauge(e.Usable && !e.Down && !e.Avoided))
	}
	p.reportSpeeds(dump.Endpoints)
	peerStats := p.peers.Stats()
	s.Gauge("gossip_bytes_sent").Update(float64(peerStats.BytesOut))
	s.Gauge("gossip_packets_sent").Update(float64(peerStats.PacketsOut))
	s.Gauge("gossip_malformed").Update(float64(peerStats.Malformed))
	s.Gauge("panics_contained").Update(float64(fault.Contained()))
}

// reportSpeeds sets the gauges of the endpoints whose speed or outstanding prefill time is known. A gauge keeps its last value,
// so those of endpoints that no longer report are set to the usual speed and to none.
func (p *process) reportSpeeds(endpoints []control.EndpointDump) {
	shown := map[fleet.EndpointID]bool{}
	for i := range endpoints {
		e := &endpoints[i]
		if e.PendingPrefillMS == nil && !p.speedGauges[e.ID] {
			continue
		}
		shown[e.ID] = true
		percent, pending := backlog.UsualPercent, 0.0
		if e.Speed != nil {
			percent = e.Speed.Percent
		}
		if e.PendingPrefillMS != nil {
			pending = *e.PendingPrefillMS
		}
		t := p.scope().Tagged(map[string]string{"endpoint": string(e.ID)})
		t.Gauge("endpoint_speed").Update(float64(percent))
		t.Gauge("endpoint_pending_prefill_ms").Update(pending)
	}
	p.speedGauges = shown
}

// estimateErrorBuckets bound the relative errors of estimates; the target for the median is a quarter.
var estimateErrorBuckets = tally.ValueBuckets{0.05, 0.1, 0.25, 0.5, 1, 2, 5}

// recordEstimateError records how far off the estimate of a request's time to the first event was.
func (p *process) recordEstimateError(e control.EstimateError) {
	p.scope().Tagged(map[string]string{"service": string(e.Service)}).Histogram("estimate_error", estimateErrorBuckets).RecordValue(e.RelativeError)
}

// countRead counts a read of the store by kind and result.
func (p *process) countRead(r control.ReadStore, err error) {
	kind := "changes"
	switch {
	case r.Snapshot:
		kind = "list"
	case r.OnDemand:
		kind = "wanted"
	}
	tags := map[string]string{"kind": kind, "result": resultLabel(err)}
	p.scope().Tagged(tags).Counter("store_reads").Inc(1)
}

// countPull counts a pull of published items from a peer by result.
func (p *process) countPull(items wire.StoreUpdate, err error) {
	r := resultLabel(err)
	if items.TooLarge {
		r = "too_large"
	}
	p.scope().Tagged(map[string]string{"result": r}).Counter("item_pulls").Inc(1)
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// boolGauge returns the gauge value of a bool: 1 for true, 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
