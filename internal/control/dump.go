package control

import (
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// Dump is a snapshot of the decision state for operators.
type Dump struct {
	Ready     bool          `json:"ready"`
	Stopping  bool          `json:"stopping"`
	Store     StoreDump     `json:"store"`
	Members   []mesh.Member `json:"members"`
	LivePeers int           `json:"live_peers"`
	// Aggregators are those of the gateway's data centre, in their order; none in a small fleet.
	Aggregators []fleet.InstanceID   `json:"aggregators"`
	Evacuated   []fleet.DataCentreID `json:"data_centres_out"`
	// EvacuationsLost are the data centres of Evacuated that the operator has not published again since the store has lost that.
	EvacuationsLost []fleet.DataCentreID `json:"evacuations_lost,omitempty"`
	Origins         OriginsDump          `json:"stream_origins"`
	CrashesDump
	Services  []ServiceDump  `json:"services"`
	Endpoints []EndpointDump `json:"endpoints"`
	Costs     cost.Snapshot  `json:"costs"` // of requests, as learned
}

// OriginsDump is the state of the records of where streams began.
type OriginsDump struct {
	Records int `json:"records"`
	Dropped int `json:"dropped"` // records of peers that did not fit
}

// StoreDump is the state of the local snapshot of the platform's store.
type StoreDump struct {
	Revision      fleet.Revision `json:"revision"`
	ConfigVersion int64          `json:"config_version"`
	AgeMS         int64          `json:"age_ms"` // time since the last read that confirmed the snapshot was sent
	ReadsFailing  bool           `json:"reads_fail"`
	ReaderRank    int            `json:"reader_rank"` // position in the order in which gateways read the store
	Proven        bool           `json:"proven"`      // it is the store's, and not only what peers have claimed
	Disputed      bool           `json:"disputed"`    // a read has left it undecided; no update of a peer is accepted until the next one ends
	Era           uint64         `json:"era"`         // how many times the store has returned with an older copy; upper bits of the revision
}

// ServiceDump is the state of a service's retry budget and load in this process.
type ServiceDump struct {
	Service          fleet.ServiceID `json:"service"`
	Requests         int             `json:"requests_in_window"`
	Retries          int             `json:"retries_in_window"`
	Allowed          float64         `json:"retries_allowed"`
	RetrySuccessRate float64         `json:"retries_that_help"` // moving average, of retries after endpoints' own failures
	Uneven           bool            `json:"uneven"`            // its endpoints report speeds: prompts are placed by estimated time
	Contention       *ContentionDump `json:"contention,omitempty"`
}

// EndpointDump is the state of one endpoint as seen by this process.
type EndpointDump struct {
	ID              fleet.EndpointID   `json:"id"`
	Service         fleet.ServiceID    `json:"service"`
	DataCentre      fleet.DataCentreID `json:"data_centre"`
	Addr            string             `json:"addr"`
	Usable          bool               `json:"usable"`
	Leaving         bool               `json:"leaving"`
	Version         string             `json:"version"` // of its software
	Paused          bool               `json:"paused"`  // it wants no requests from this gateway for a time
	AddrReused      bool               `json:"moved"`
	Down            bool               `json:"down"`
	Avoided         bool               `json:"avoided"`
	ColdRemainingMS int64              `json:"cold_ms"` // remaining cold-start time
	InFlight        int                `json:"in_flight"`
	Load            int                `json:"load"` // estimated requests of the whole fleet
	FailureRate     float64            `json:"failure_rate"`

	Speed            *SpeedDump `json:"speed,omitempty"`
	PendingPrefillMS *float64   `json:"pending_prefill_ms,omitempty"` // at the usual speed, of the fleet's attempts; nil: its service has not reported speeds
}

// Dump returns a snapshot of the state.
func (s *State) Dump(now boottime.Instant) Dump {
	d := Dump{
		Ready:    s.Ready(now),
		Stopping: s.stopping,
		Store: StoreDump{
			Revision:     published.StoreRevision(s.mirror.Revision()),
			Era:          published.EraOf(s.mirror.Revision()),
			AgeMS:        s.SnapshotAge(now).Milliseconds(),
			Proven:       s.trust.proven,
			Disputed:     s.disputed(now),
			ReadsFailing: s.reader.failing,
			ReaderRank:   s.mesh.ReaderRank(now, s.reader.failedRecently(now)),
		},
		Members:   s.mesh.Members(),
		LivePeers: s.mesh.LivePeers(now),

		Aggregators: s.mesh.LocalAggregators(),
		Costs:       s.costs.Snapshot(),
		Origins:     OriginsDump{Records: s.origins.table.Len(), Dropped: s.origins.table.Dropped()},
		CrashesDump: s.DumpCrashes(now),
	}
	if s.table != nil {
		d.Store.ConfigVersion = s.table.Config().Version
	}
	d.Evacuated, d.EvacuationsLost = s.dumpEvacuations()
	d.Services = s.dumpServices(now)
	for _, e := range s.endpoints {
		d.Endpoints = append(d.Endpoints, s.dumpEndpoint(now, e))
	}
	slices.SortFunc(d.Endpoints, func(a, b EndpointDump) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return d
}

func (s *State) dumpEndpoint(now boottime.Instant, e *endpoint) EndpointDump {
	d := EndpointDump{
		ID: e.ID, Service: e.Service, DataCentre: e.DataCentre, Addr: e.Addr,
		Usable: s.usable(now, e), Leaving: e.Leaving || e.announcedLeaving, Version: string(e.Version), Paused: now.Before(e.noRequestsUntil), AddrReused: e.addrReused, Down: e.health.down,
		Avoided:         now.Before(e.health.avoidUntil),
		ColdRemainingMS: max(e.coldStart.until.Sub(now), 0*time.Millisecond).Milliseconds(),
		InFlight:        e.inFlight, Load: s.load(now, e), FailureRate: e.health.failureRate,
	}
	d.Speed, d.PendingPrefillMS = s.dumpBacklog(now, e)
	return d
}
