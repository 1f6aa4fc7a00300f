package control

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Options configures a State.
type Options struct {
	Self        mesh.Member
	RandomSeed  uint64            // random; must differ between processes
	Incarnation fleet.Incarnation // of this process, as in the header of its messages
	SeedCount   int               // number of control addresses of other gateways in the settings
	Protocol    published.Protocol
	FirstStart  bool // the whole fleet starts for the first time, so that no stream began before

	StrictRevoke         bool          // reject API keys if the snapshot is older than AuthStalenessBound
	AuthStalenessBound   time.Duration // snapshot age up to which API keys are accepted with StrictRevoke
	DenialStalenessBound time.Duration // snapshot age up to which rejections of unknown routes and keys are not retryable
	LoadMultiple         float64       // maximum load of an endpoint, as a multiple of its service's mean
	RetryRatio           float64       // retries per request, over the fleet
	RetryExtra           float64       // retries per window beyond the ratio, over the fleet
	RetryWindow          time.Duration
}

// State is the decision state machine of one gateway process: its local snapshot of the store, the
// state of endpoints and peers, and the queue of actions.
type State struct {
	opts    Options
	rng     *rand.Rand
	actions []Action

	mirror        *published.Mirror
	recentChanges *wire.StoreUpdate // the mirror's latest changes; nil if they are too large for a Status
	freshness     storeFreshness
	// fullSnapshotAt is when the mirror was last filled from a full snapshot, while the revision of the
	// last relevant change in it is unknown; 0 once a peer has confirmed the revision or has sent
	// changes.
	fullSnapshotAt boottime.Instant
	reader         storeReader
	pulls          pullState
	mesh           *mesh.State
	join           joinState
	peerLoads      peerLoads
	backlog        fleetBacklog
	origins        origins
	trust          contentTrust
	crashes        crashes
	// recordsCheckedAt is when unreadable items were last looked for, to request them from a peer; 0: never.
	recordsCheckedAt boottime.Instant

	table     *routing.Table // of the current configuration; nil before the first one
	evacuated map[fleet.DataCentreID]bool
	// lostEvacuations are those that an older copy of the store's content lacks, and since when.
	lostEvacuations   map[fleet.DataCentreID]boottime.Instant
	endpoints         map[fleet.EndpointID]*endpoint
	endpointsByShort  map[uint32]*endpoint            // the same, by their short IDs
	endpointList      []*endpoint                     // the same, in the order of their IDs
	services          map[fleet.ServiceID][]*endpoint // in the order of their IDs
	retryWindows      map[fleet.ServiceID]*retry.Window
	retrySuccessRates map[fleet.ServiceID]float64 // moving average of the success of retries after endpoints' own failures
	costs             *cost.Model
	serviceLoads      map[fleet.ServiceID]*serviceLoad
	reportsWorkspaces bool                        // to peers, see reportWorkspaces
	timeLimits        map[string]*callerTimeLimit // of callers, by route
	outliersCheckedAt boottime.Instant
	loggedAggregators []fleet.InstanceID
	stopping          bool
}

// New returns the state of a process that starts at now.
func New(now boottime.Instant, opts Options) *State {
	return &State{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.RandomSeed, 0)),
		mirror:    published.NewMirror(opts.Protocol),
		mesh:      mesh.New(now, opts.Self, opts.RandomSeed),
		join:      joinState{processStart: now},
		evacuated: map[fleet.DataCentreID]bool{},

		lostEvacuations:   map[fleet.DataCentreID]boottime.Instant{},
		endpoints:         map[fleet.EndpointID]*endpoint{},
		endpointsByShort:  map[uint32]*endpoint{},
		backlog:           fleetBacklog{tracker: backlog.New()},
		origins:           newOrigins(),
		trust:             newContentTrust(opts),
		crashes:           crashes{detector: crasher.New()},
		services:          map[fleet.ServiceID][]*endpoint{},
		retryWindows:      map[fleet.ServiceID]*retry.Window{},
		retrySuccessRates: map[fleet.ServiceID]float64{},
		costs:             cost.New(),
		serviceLoads:      map[fleet.ServiceID]*serviceLoad{},
		timeLimits:        map[string]*callerTimeLimit{},
	}
}

// Configure replaces the options that may change at run time: all but Self, RandomSeed, Incarnation, Protocol and FirstStart.
// The retry windows of services that have already received requests keep their length.
func (s *State) Configure(o Options) {
	o.Self, o.RandomSeed, o.Protocol = s.opts.Self, s.opts.RandomSeed, s.opts.Protocol
	o.Incarnation = s.opts.Incarnation
	o.FirstStart = s.opts.FirstStart
	s.opts = o
}

// Tick runs the timers that are due at now. One that panics keeps no other from running.
func (s *State) Tick(now boottime.Instant) {
	s.contain("tick_reader", func() { s.tickReader(now) })
	s.contain("tick_dispute", func() { s.tickDispute(now) })
	s.contain("tick_joining", func() { s.tickJoining(now) })
	s.contain("log_peers", func() { s.logPeerTransitions(now) })
	s.contain("log_aggregators", s.logAggregators)
	s.contain("tick_endpoints", func() { s.tickEndpoints(now) })
	s.contain("tick_evacuations", func() { s.tickEvacuations(now) })
	s.contain("tick_origins", func() { s.tickOrigins(now) })
	s.contain("tick_crashes", func() { s.tickCrashes(now) })
	s.contain("tick_contention", func() { s.tickContention(now) })
	s.contain("check_outliers", func() { s.checkOutliers(now) })
	s.contain("tick_mesh", func() { s.send(s.mesh.Tick(now, s.localStatus(now))) })
}

// Ready reports whether this process should receive callers' requests.
func (s *State) Ready(now boottime.Instant) bool {
	return !s.stopping && s.table != nil && s.freshEnoughForAuth(now) && s.join.done(now) && !s.AwaitsEvidence(now)
}

// Stop begins a planned stop: the process is no longer ready, and the peers are notified.
func (s *State) Stop(now boottime.Instant) {
	s.stopping = true
	s.peerLoads.statusVersion++
	s.send(s.mesh.Broadcast(now, s.localStatus(now), true))
}

// Limits returns the limits on requests of the current configuration.
func (s *State) Limits() routing.Limits {
	if s.table == nil {
		return routing.Limits{}
	}
	return s.table.Config().Limits
}

// Action is a side effect for the process to execute.
type Action interface{ action() }

// Send requests the delivery of a message to a peer, at most once and without acknowledgement.
type Send struct{ mesh.Outgoing }

// ReadStore requests one read of the store. Its result is passed to ReadDone or ReadFailed.
type ReadStore struct {
	Snapshot bool // read a full snapshot, else the changes after a revision
	OnDemand bool // due to a change that a peer has, and not to the snapshot age
	After    fleet.Revision
}

// PullItems requests from a peer the changes after a revision. The response is passed to PullDone. A
// failure is not reported; the peer's next Status triggers another pull.
type PullItems struct {
	From     fleet.InstanceID
	Control  string // the peer's control address
	After    fleet.Revision
	MaxBytes int    // limit for the size of the response
	Key      uint32 // ID of the key that should sign the response, 0: none
}

// QuerySeeds requests the member lists of the seeds, at the control addresses in the settings. Replies
// are passed to SeedReplied.
type QuerySeeds struct {
	All bool // query all seeds, else those in random order until one has replied
}

// ProbeEndpoint requests a connection attempt to an endpoint. Its result is passed to
// ProbeDone.
type ProbeEndpoint struct {
	ID   fleet.EndpointID
	Addr string
}

// EstimateError reports how far off the estimate of a request's time to the first event was, as a fraction of that time.
type EstimateError struct {
	Service       fleet.ServiceID
	RelativeError float64
}

// Log requests a log line.
type Log struct {
	Event  event.Number
	Fields []any // alternating names and values
}

func (Send) action()          {}
func (ReadStore) action()     {}
func (PullItems) action()     {}
func (QuerySeeds) action()    {}
func (ProbeEndpoint) action() {}
func (EstimateError) action() {}
func (Log) action()           {}

// Drain returns the actions queued since the last call, in order.
func (s *State) Drain() []Action {
	acts := s.actions
	s.actions = nil
	return acts
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) log(n event.Number, fields ...any) { s.emit(Log{Event: n, Fields: fields}) }

func (s *State) send(out []mesh.Outgoing) {
	for _, o := range out {
		s.emit(Send{o})
	}
}
