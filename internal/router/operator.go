package router

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/peering"
)

const (
	maxOperatorHeadBytes  = 16 << 10
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 10 * time.Second // of a whole request, with its body; a response may take longer
)

// Dump is the response to GET /dump: the state of the process.
type Dump struct {
	Program            buildinfo.Info `json:"program"`
	Core               core.Dump      `json:"core"`
	Peering            PeeringDump    `json:"peering"`
	Process            ProcessDump    `json:"process"`
	RequestsInProgress int            `json:"callers_in_progress"`
}

// PeeringDump holds the counters of the transport between routers.
type PeeringDump struct {
	BytesIn                 uint64      `json:"bytes_received"`
	BytesOut                uint64      `json:"bytes_sent"`
	PacketsIn               uint64      `json:"packets_received"`
	PacketsOut              uint64      `json:"packets_sent"`
	Connections             int         `json:"connections"`
	PeersWithQueue          int         `json:"peers_with_queue"`
	Dials                   uint64      `json:"dials"`
	UnresponsiveConnections uint64      `json:"connections_silent"`
	RefusedPeers            uint64      `json:"peers_refused"`
	Sent                    core.Counts `json:"frames_sent"` // by kind
	Received                core.Counts `json:"frames_received"`
	Dropped                 core.Counts `json:"frames_dropped"` // by cause
}

func dumpPeering(s peering.Stats) PeeringDump {
	return PeeringDump{
		BytesIn:                 s.BytesIn,
		BytesOut:                s.BytesOut,
		PacketsIn:               s.PacketsIn,
		PacketsOut:              s.PacketsOut,
		Connections:             s.Connections,
		PeersWithQueue:          s.Peers,
		Dials:                   s.Dials,
		UnresponsiveConnections: s.Unresponsive,
		RefusedPeers:            s.Refused,
		Sent:                    countsByName(s.Sent),
		Received:                countsByName(s.Received),
		Dropped:                 countsByName(s.Drops),
	}
}

func countsByName[K interface {
	comparable
	fmt.Stringer
}](m map[K]uint64) core.Counts {
	out := core.Counts{}
	for k, n := range m {
		out[k.String()] += n
	}
	return out
}

// ProcessDump is the resource usage of the process.
type ProcessDump struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	RSSBytes   uint64  `json:"rss_bytes"`
	BodyBytes  int64   `json:"body_bytes"`
}

func (p *process) operatorServer() *http.Server {
	r := chi.NewRouter()
	r.Get("/healthz", p.callers.Healthz)
	r.Get("/readyz", p.callers.Readyz)
	r.Get("/dump", p.serveDump)
	r.Get("/explain/{request}", p.serveExplain)
	if p.opts.Metrics != nil {
		r.Method(http.MethodGet, "/metrics", p.opts.Metrics)
	}
	if p.opts.Profiling {
		r.HandleFunc("/debug/pprof/*", pprof.Index)
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return &http.Server{
		Handler:           r,
		MaxHeaderBytes:    maxOperatorHeadBytes,
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
	}
}

func (p *process) serveDump(w http.ResponseWriter, r *http.Request) {
	s := p.snapshot(r.Context())
	d := Dump{
		Program:            p.program.Info(),
		Peering:            dumpPeering(s.Peering),
		RequestsInProgress: s.RequestsInProgress,
		Process:            ProcessDump{CPUSeconds: s.CPU.Seconds(), RSSBytes: s.RSSBytes, BodyBytes: s.BodyBytes},
	}
	if err := p.loop.runOnLoop(r.Context(), func() { d.Core = p.core.Dump() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, d)
}

func (p *process) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := fleet.RequestID(chi.URLParam(r, "request"))
	var ex core.Explanation
	var known bool
	err := p.loop.runOnLoop(r.Context(), func() { ex, known = p.core.Explain(id) })
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !known:
		text := fmt.Sprintf("this router keeps its last %d finished requests and those in progress", core.ExplainedRequests)
		http.Error(w, text, http.StatusNotFound)
	default:
		writeJSON(w, ex)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// An error means that the client closed the connection.
	_ = enc.Encode(v)
}

func serveOperator(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "router: operator listener")
}
