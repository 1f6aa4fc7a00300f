package control

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Options tunes a State.
type Options struct {
	Self       mesh.Member
	RandomSeed uint64 // random, new for each process
	SeedCount  int    // control addresses of other gateways that the settings name
	Protocol   published.Protocol

	StrictRevoke         bool          // refuse keys when the configuration may be out of date
	AuthStalenessBound   time.Duration // age of the configuration up to which keys are accepted
	DenialStalenessBound time.Duration // age of the configuration up to which what it does not hold does not exist
	LoadMultiple         float64       // highest load that an endpoint may have, as a multiple of its service's mean
	RetryRatio           float64       // retries for each request, over the fleet
	RetryExtra           float64       // retries in a window beyond the ratio, over the fleet
	RetryWindow          time.Duration
}

// State is the decision state. See the package comment.
type State struct {
	opts Options
	rng  *rand.Rand
	acts []Action

	mirror *published.Mirror
	news   *wire.StoreUpdate // the latest change of the mirror, nil: too large for a Status
	belief belief
	// unsettled is when the store was listed, until a peer has said which revision of the
	// list means anything; 0: it has, or has told the changes.
	unsettled boottime.Instant
	reader    reader
	mesh      *mesh.State
	joined    joining
	loads     loads

	table     *routing.Table
	evacuated map[fleet.DataCentreID]bool
	endpoints map[fleet.EndpointID]*endpoint
	services  map[fleet.ServiceID][]*endpoint
	retries   map[fleet.ServiceID]*retry.Window
	gains     map[fleet.ServiceID]float64 // share of the retries after an endpoint's failure that helped
	stopping  bool
}

// New returns the state of a process that starts now.
func New(now boottime.Instant, opts Options) *State {
	return &State{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.RandomSeed, 0)),
		mirror:    published.NewMirror(opts.Protocol),
		mesh:      mesh.New(now, opts.Self, opts.RandomSeed),
		joined:    joining{since: now},
		evacuated: map[fleet.DataCentreID]bool{},
		endpoints: map[fleet.EndpointID]*endpoint{},
		services:  map[fleet.ServiceID][]*endpoint{},
		retries:   map[fleet.ServiceID]*retry.Window{},
		gains:     map[fleet.ServiceID]float64{},
	}
}

// Configure replaces the options that may change while the process runs: all but Self,
// Seed and Protocol.
func (s *State) Configure(o Options) {
	o.Self, o.RandomSeed, o.Protocol = s.opts.Self, s.opts.RandomSeed, s.opts.Protocol
	s.opts = o
}

// Tick lets time pass.
func (s *State) Tick(now boottime.Instant) {
	s.tickReader(now)
	s.tickJoining(now)
	s.logPeers(now)
	s.tickEndpoints(now)
	s.send(s.mesh.Tick(now, s.local(now)))
}

// Ready tells whether callers should be sent to this process.
func (s *State) Ready(now boottime.Instant) bool {
	return !s.stopping && s.table != nil && s.current(now) && s.joined.over(now)
}

// Stop begins a planned stop.
func (s *State) Stop(now boottime.Instant) {
	s.stopping = true
	s.loads.version++
	s.send(s.mesh.Broadcast(now, s.local(now)))
}

// Limits returns the limits on callers' requests in force.
func (s *State) Limits() routing.Limits {
	if s.table == nil {
		return routing.Limits{}
	}
	return s.table.Config().Limits
}

// Action is something that the process has to do.
type Action interface{ action() }

// Send delivers a message to a peer, at most once and without guarantee.
type Send struct{ mesh.Outgoing }

// ReadStore asks for one read of the store, whose result goes to ReadDone or ReadFailed.
type ReadStore struct {
	Whole    bool // all items, else the changes after a revision
	OnDemand bool // for a change that a peer has, and not for the age of what is known
	After    fleet.Revision
}

// PullItems asks a peer for what was published after a revision. The answer goes to
// Pulled; a failure needs no word, since the peer's next Status leads to another pull.
type PullItems struct {
	From     fleet.InstanceID
	Control  string // the peer's control address
	After    fleet.Revision
	MaxBytes int // more than that is not wanted
}

// QuerySeeds asks for the members that the control addresses of the settings know.
type QuerySeeds struct{}

// ProbeEndpoint asks whether a connection to an endpoint can be made.
type ProbeEndpoint struct {
	ID   fleet.EndpointID
	Addr string
}

// Log asks for a line in the log.
type Log struct {
	Event  event.Number
	Fields []any // names and values by turns
}

func (Send) action()          {}
func (ReadStore) action()     {}
func (PullItems) action()     {}
func (QuerySeeds) action()    {}
func (ProbeEndpoint) action() {}
func (Log) action()           {}

// Drain returns the actions since the last call.
func (s *State) Drain() []Action {
	acts := s.acts
	s.acts = nil
	return acts
}

func (s *State) do(a Action) { s.acts = append(s.acts, a) }

func (s *State) log(n event.Number, fields ...any) { s.do(Log{Event: n, Fields: fields}) }

func (s *State) send(out []mesh.Outgoing) {
	for _, o := range out {
		s.do(Send{o})
	}
}
