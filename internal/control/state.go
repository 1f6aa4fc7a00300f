package control

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Options tunes a State.
type Options struct {
	Instance     fleet.InstanceID
	DataCentre   fleet.DataCentreID
	Seed         uint64
	StrictRevoke bool          // refuse keys when the configuration may be out of date
	BeliefLimit  time.Duration // age of the configuration up to which keys are accepted
	LoadMultiple float64       // highest load of an endpoint as a multiple of its service's mean
	LoadSlack    float64       // requests that an endpoint may hold beyond that multiple
}

// State is the decision state. See the package comment.
type State struct {
	opts Options
	rng  *rand.Rand

	table     *routing.Table
	revision  fleet.Revision   // of the store, up to which all changes are known
	confirmed boottime.Instant // when the read was sent that brought or confirmed the revision
	evacuated map[fleet.DataCentreID]bool
	endpoints map[fleet.EndpointID]*endpoint
	services  map[fleet.ServiceID][]*endpoint
	stopping  bool
}

// New returns the state of a process that knows nothing.
func New(opts Options) *State {
	return &State{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, 0)),
		evacuated: map[fleet.DataCentreID]bool{},
		endpoints: map[fleet.EndpointID]*endpoint{},
		services:  map[fleet.ServiceID][]*endpoint{},
	}
}

// Publication is what a read of the store brought.
type Publication struct {
	Revision  fleet.Revision
	Confirmed boottime.Instant // when the read was sent
	Whole     bool             // Records hold everything there is
	Records   []published.Record
}

// Publish adopts what a read of the store brought. Older revisions than the adopted
// one change nothing.
func (s *State) Publish(now boottime.Instant, p Publication) {
	if p.Revision < s.revision {
		return
	}
	s.revision = p.Revision
	s.confirmed = max(s.confirmed, p.Confirmed)
	if p.Whole {
		s.dropUnlisted(p.Records)
	}
	for _, r := range p.Records {
		s.adopt(now, r)
	}
	s.indexServices()
}

func (s *State) adopt(now boottime.Instant, r published.Record) {
	switch r := r.(type) {
	case published.Config:
		s.table = routing.NewTable(r.Config)
	case published.Evacuation:
		s.adoptEvacuation(r)
	case published.Endpoint:
		s.adoptEndpoint(now, r.Endpoint)
	case published.EndpointGone:
		delete(s.endpoints, r.ID)
	}
}

func (s *State) adoptEvacuation(e published.Evacuation) {
	if e.Lifted {
		delete(s.evacuated, e.DataCentre)
		return
	}
	s.evacuated[e.DataCentre] = true
}

// dropUnlisted removes what a whole list no longer holds.
func (s *State) dropUnlisted(records []published.Record) {
	endpoints := map[fleet.EndpointID]bool{}
	evacuated := map[fleet.DataCentreID]bool{}
	for _, r := range records {
		switch r := r.(type) {
		case published.Endpoint:
			endpoints[r.Endpoint.ID] = true
		case published.Evacuation:
			evacuated[r.DataCentre] = !r.Lifted
		}
	}
	for id := range s.endpoints {
		if !endpoints[id] {
			delete(s.endpoints, id)
		}
	}
	for dc := range s.evacuated {
		if !evacuated[dc] {
			delete(s.evacuated, dc)
		}
	}
}

// Ready tells whether callers should be sent to this process.
func (s *State) Ready(now boottime.Instant) bool {
	return !s.stopping && s.table != nil && s.current(now)
}

// current tells whether the configuration is recent enough to accept keys by it.
func (s *State) current(now boottime.Instant) bool {
	return !s.opts.StrictRevoke || s.Age(now) <= s.opts.BeliefLimit
}

// Age returns the time since the read that last confirmed the configuration was sent.
func (s *State) Age(now boottime.Instant) time.Duration { return now.Sub(s.confirmed) }

// Revision returns the store's revision that was adopted last.
func (s *State) Revision() fleet.Revision { return s.revision }

// Stop begins a planned stop.
func (s *State) Stop() { s.stopping = true }

// Stopping tells whether a planned stop has begun.
func (s *State) Stopping() bool { return s.stopping }

// Limits returns the limits on callers' requests in force.
func (s *State) Limits() routing.Limits {
	if s.table == nil {
		return routing.Limits{}
	}
	return s.table.Config().Limits
}
