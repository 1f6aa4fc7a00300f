package contention

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// Controller decides on the requests of one service in one gateway. It is not safe for concurrent use.
type Controller struct {
	opts   Options
	seed   uint64
	rng    *rand.Rand
	loop   loop
	sample requestSample
	shares shares
	queue  queueShares
}

// New returns a controller that admits everything until Update finds contention. Gateways use
// different seeds.
func New(seed uint64) *Controller { return NewWithOptions(seed, DefaultOptions()) }

// NewWithOptions is New with other options.
func NewWithOptions(seed uint64, opts Options) *Controller {
	c := &Controller{opts: opts, seed: seed, rng: rand.New(rand.NewPCG(seed, 0))}
	c.loop.opts = &c.opts
	c.loop.reset()
	return c
}

// Update is called every tick (40 ms) with the fleet's estimated load at the service's eligible
// endpoints, the sum of their slots, the mean time for which a request holds a slot (0: unknown),
// and the longest wait in endpoint queues at which requests are still admitted.
// Without a usable load or slots, everything is admitted.
func (c *Controller) Update(now boottime.Instant, load float64, slots int, serviceTime, wait time.Duration) {
	elapsed := now.Sub(c.loop.updated)
	c.loop.update(now, load, slots, serviceTime, wait)
	elapsed = min(elapsed, c.opts.UpdateTimeout)
	if c.contended(now) {
		c.sample.expire(now, &c.opts)
		c.updateShares(now, load, elapsed.Seconds())
	}
	c.updateQueue(now, load, elapsed)
}

// SetWorkspaceLoads sets the fleet's running requests by workspace. It keeps the largest entries only and does
// not retain the map. If it is not called for a while, the gateway's own requests are used instead.
func (c *Controller) SetWorkspaceLoads(loads map[uint32]int) {
	c.shares.set(c.loop.updated, loads, &c.opts)
}

func (c *Controller) contended(now boottime.Instant) bool {
	return c.loop.contended && now.Sub(c.loop.updated) <= c.opts.UpdateTimeout
}

// State is the state of a controller, for operators.
type State struct {
	Contended     bool
	Since         boottime.Instant // beginning of the contention
	AdmittedShare float64          // 1 without contention
	Target        float64          // of the utilization
	Utilization   float64
	Demand        float64 // estimate, in multiples of the capacity; 0 without contention
	Workspaces    []WorkspaceState
}

// WorkspaceState is the state of one of the largest workspaces.
type WorkspaceState struct {
	Workspace uint32
	Running   int     // of the fleet
	Share     float64 // part of its requests that is within its share at the priority that is partly admitted
}

// State returns the current state. The workspaces are in descending order of their running requests.
func (c *Controller) State(now boottime.Instant) State {
	st := State{AdmittedShare: 1, Target: c.loop.target, Utilization: c.loop.utilization}
	if !c.contended(now) {
		return st
	}
	st.Contended, st.Since = true, c.loop.since
	st.AdmittedShare, st.Demand = c.loop.share, c.loop.demand
	for _, w := range c.shares.fleet {
		st.Workspaces = append(st.Workspaces, WorkspaceState{w.workspace, w.running, c.shares.within(w.workspace)})
	}
	return st
}
