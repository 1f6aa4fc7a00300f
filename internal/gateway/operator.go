package gateway

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// reportPeriod is the time between two reports of gauges.
const reportPeriod = 2 * time.Second

func (p *process) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", p.metrics.Handler())
	r.Get("/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.dump()) })
	return r
}

func (p *process) dump() (d control.Dump) {
	p.loop.Do(func(s *control.State, now boottime.Instant) { d = s.Dump(now) })
	return d
}

// scope holds the metrics of the gateway.
func (p *process) scope() tally.Scope { return p.metrics.Scope().SubScope("gateway") }

// report sets the gauges of the control state.
func (p *process) report() {
	s := p.scope()
	d := p.dump()
	s.Gauge("store_age_seconds").Update(float64(d.Store.AgeMs) / 1000)
	s.Gauge("store_revision").Update(float64(d.Store.Revision))
	s.Gauge("store_reads_fail").Update(flag(d.Store.ReadsFail))
	s.Gauge("ready").Update(flag(d.Ready))
	s.Gauge("members").Update(float64(len(d.Members)))
	s.Gauge("live_peers").Update(float64(d.LivePeers))
	for _, v := range d.Services {
		t := s.Tagged(map[string]string{"service": string(v.Service)})
		t.Gauge("retries_in_window").Update(float64(v.Retries))
		t.Gauge("retry_budget_left").Update(v.Allowed - float64(v.Retries))
	}
	for _, e := range d.Endpoints {
		t := s.Tagged(map[string]string{"endpoint": string(e.ID)})
		t.Gauge("endpoint_load").Update(float64(e.Load))
		t.Gauge("endpoint_in_flight").Update(float64(e.InFlight))
		t.Gauge("endpoint_usable").Update(flag(e.Usable && !e.Down && !e.Avoided))
	}
	g := p.peers.Stats()
	s.Gauge("gossip_bytes_sent").Update(float64(g.BytesOut))
	s.Gauge("gossip_packets_sent").Update(float64(g.PacketsOut))
	s.Gauge("gossip_malformed").Update(float64(g.Malformed))
}

// countRead counts a read of the store.
func (p *process) countRead(r control.ReadStore, err error) {
	kind := "changes"
	switch {
	case r.Whole:
		kind = "list"
	case r.OnDemand:
		kind = "wanted"
	}
	tags := map[string]string{"kind": kind, "result": result(err)}
	p.scope().Tagged(tags).Counter("store_reads").Inc(1)
}

// countPull counts a question to a peer for what the store published.
func (p *process) countPull(items wire.StoreUpdate, err error) {
	r := result(err)
	if items.TooLarge {
		r = "too_large"
	}
	p.scope().Tagged(map[string]string{"result": r}).Counter("item_pulls").Inc(1)
}

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// flag is a gauge of 1 for true and 0 for false.
func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
