package limits

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// faults sets the probability, in percent, of each fault. A late message is delayed by up to 10 s.
type faults struct{ loss, duplicate, lateMessage, pause, crash, moveOwner, partition, lower int }

const (
	routersPerDC = 3
	reportTTL    = 500 * time.Millisecond // age at which a report of held slots is ignored
)

func testOptions() Options {
	opt := DefaultOptions()
	opt.MaxHold, opt.IdleHold = 4*time.Second, 500*time.Millisecond
	opt.RaiseDelay = 3 * time.Second
	return opt
}

// router is one simulated router with its vote for an owner.
type router struct {
	id               fleet.InstanceID
	dc               int
	incarnation      int // increases with each restart
	owner            *Owner
	borrower         *Borrower
	knownOwner       *router // the owner in this router's view
	votesFor         *router
	votedIncarnation int
	votedAt          time.Time // when the vote began
	pausedUntil      time.Time
	running          map[fleet.RequestID]bool
}

// simulation runs routers and the network between them in simulated time and injects faults,
// deterministically by seed.
type simulation struct {
	rng              *rand.Rand
	rates            faults
	start            time.Time
	now              time.Time
	queue            events
	seq              int
	dcs              int
	routers          []*router
	limits           fleet.Limits
	partitionedUntil map[int]time.Time // end of the partition of each data centre
	loweredAt        time.Time

	admitted            []admission
	running, maxRunning int // requests at endpoints: current number and maximum
	sent                int // messages sent
	requested, refused  int
	demand              func(sim *simulation) (dc int, every time.Duration) // data centre of the next request, mean interval
	tokens              int
	hold                time.Duration
	violations          int // admissions above the concurrency limit
}

type admission struct {
	at     time.Time
	tokens int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newSimulation(seed uint64, dcs int, l fleet.Limits, rates faults) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), rates: rates, dcs: dcs, limits: l,
		start: time.Unix(1_000_000, 0), now: time.Unix(1_000_000, 0),
		partitionedUntil: map[int]time.Time{}, tokens: 10, hold: 3 * time.Second,
	}
	for i := range dcs * routersPerDC {
		sim.routers = append(sim.routers, &router{id: fleet.InstanceID(fmt.Sprint("r", i)), dc: i / routersPerDC})
	}
	for _, r := range sim.routers {
		r.knownOwner = sim.routers[r.dc*routersPerDC]
		sim.restart(r)
		r.votesFor, r.votedAt = r.knownOwner, sim.now
		r.votedIncarnation = r.knownOwner.incarnation
	}
	sim.after(0, sim.tick)
	sim.after(0, sim.injectFault)
	return sim
}

func (sim *simulation) runFor(d time.Duration) {
	end := sim.now.Add(d)
	if sim.demand != nil {
		sim.after(0, sim.arrive)
	}
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.do()
	}
}

func (sim *simulation) restart(r *router) {
	opt := testOptions()
	opt.Self, opt.DataCentre = r.id, dcID(r.dc)
	r.incarnation++
	r.owner = NewOwner(opt, rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))
	r.borrower = NewBorrower(opt, rand.New(rand.NewPCG(sim.rng.Uint64(), 2)))
	sim.running -= len(r.running)
	r.running = map[fleet.RequestID]bool{}
	r.votesFor = nil
	r.owner.Update(sim.now, sim.view())
}

func dcID(i int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprint("d", i)) }

func (sim *simulation) view() *fleet.View {
	cfg := &fleet.Configuration{
		Workspaces:  map[fleet.WorkspaceID]fleet.Workspace{"w": {ID: "w", Plan: "p"}, "v": {ID: "v", Plan: "p"}},
		Plans:       map[fleet.PlanID]fleet.Plan{"p": {ID: "p", Limits: sim.limits}},
		DataCentres: map[fleet.DataCentreID]fleet.DataCentre{},
	}
	list := &fleet.InstanceList{}
	for i := range sim.dcs {
		cfg.DataCentres[dcID(i)] = fleet.DataCentre{ID: dcID(i)}
	}
	for _, r := range sim.routers {
		list.Instances = append(list.Instances, fleet.Instance{ID: r.id, DataCentre: dcID(r.dc)})
	}
	return fleet.NewView(cfg, list, nil)
}

// after schedules do to run once d has passed.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, do})
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

func (sim *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(sim.rng.Int64N(int64(b-a)+1))
}

// ownersView implements Owners for one router.
type ownersView struct {
	sim *simulation
	r   *router
}

// Owner returns the owner in the view of the router.
func (s ownersView) Owner(fleet.WorkspaceID) fleet.InstanceID { return s.r.knownOwner.id }

// RemoteOwner returns the owner in the view of the first router of the data centre.
func (s ownersView) RemoteOwner(_ fleet.WorkspaceID, dc fleet.DataCentreID) fleet.InstanceID {
	for _, r := range s.sim.routers {
		if dcID(r.dc) == dc {
			return r.knownOwner.id
		}
	}
	return ""
}

// VoteShareSince returns the fraction of the data centre's routers that vote for the router's current
// incarnation.
func (s ownersView) VoteShareSince(_ fleet.WorkspaceID, from time.Time) float64 {
	n := 0
	for _, r := range s.sim.routers {
		if r.votesFor == s.r && r.votedIncarnation == s.r.incarnation && !r.votedAt.After(from) {
			n++
		}
	}
	return float64(n) / routersPerDC
}

func (sim *simulation) flush(from *router, out *wire.Outbox) {
	for _, o := range out.Messages {
		sim.sent++
		to := sim.routers[0]
		for _, r := range sim.routers {
			if r.id == o.To {
				to = r
			}
		}
		copies := 1
		if sim.chance(sim.rates.duplicate) {
			copies = 2
		}
		for range copies {
			if sim.chance(sim.rates.loss) || (to.dc != from.dc && (sim.partitionedUntil[to.dc].After(sim.now) || sim.partitionedUntil[from.dc].After(sim.now))) {
				continue
			}
			delay := sim.between(time.Millisecond, 5*time.Millisecond)
			if sim.chance(sim.rates.lateMessage) {
				delay = sim.between(0, 10*time.Second)
			}
			incarnation := to.incarnation
			sim.after(delay, func() { sim.onRouter(to, incarnation, func() { sim.receive(to, from.id, o.Message) }) })
		}
	}
}

// onRouter runs do on a router once it is not paused, unless it has restarted meanwhile.
func (sim *simulation) onRouter(r *router, incarnation int, do func()) {
	if r.incarnation != incarnation {
		return
	}
	if r.pausedUntil.After(sim.now) {
		sim.after(r.pausedUntil.Sub(sim.now)+sim.between(0, time.Millisecond), func() { sim.onRouter(r, incarnation, do) })
		return
	}
	do()
}

func (sim *simulation) receive(r *router, from fleet.InstanceID, m wire.Message) {
	out := &wire.Outbox{}
	s := ownersView{sim, r}
	switch m := m.(type) {
	case wire.Borrow:
		r.owner.OnBorrow(sim.now, from, m, s, out)
	case wire.BorrowReply:
		sim.resolve(r, r.borrower.OnReply(sim.now, from, m, s, out))
	case wire.Transfer:
		r.owner.OnTransfer(sim.now, from, m, s, out)
	}
	sim.flush(r, out)
}

func (sim *simulation) resolve(r *router, rs []Resolution) {
	for _, x := range rs {
		switch x.Decision {
		case Granted:
			sim.admit(r, x.Request)
		case Refused:
			sim.refused++
		}
	}
}

// admit simulates a request at an endpoint that runs for up to its hold.
func (sim *simulation) admit(r *router, id fleet.RequestID) {
	sim.admitted = append(sim.admitted, admission{sim.now, sim.tokens})
	sim.running++
	r.running[id] = true
	sim.maxRunning = max(sim.maxRunning, sim.running)
	settled := sim.loweredAt.IsZero() || sim.now.Sub(sim.loweredAt) > sim.hold+time.Second
	if settled && sim.limits.Concurrent > 0 && sim.running > sim.limits.Concurrent {
		sim.violations++
	}
	incarnation := r.incarnation
	sim.after(sim.between(sim.hold/4, sim.hold), func() {
		if r.incarnation != incarnation {
			return
		}
		sim.running--
		delete(r.running, id)
		sim.onRouter(r, incarnation, func() { r.borrower.Release(sim.now, id, "w") })
	})
}

// arrive sends one request to a random router of the data centre that demand selects.
func (sim *simulation) arrive() {
	dc, every := sim.demand(sim)
	sim.after(sim.between(0, 2*every), sim.arrive)
	r := sim.routers[dc*routersPerDC+sim.rng.IntN(routersPerDC)]
	if r.pausedUntil.After(sim.now) {
		return
	}
	sim.requested++
	id := fleet.RequestID(fmt.Sprint(sim.seq))
	out := &wire.Outbox{}
	need := Need{Tokens: sim.tokens, Hold: sim.hold}
	sim.resolve(r, []Resolution{r.borrower.Acquire(sim.now, id, "w", sim.limits, need, ownersView{sim, r}, out)})
	sim.flush(r, out)
}

func (sim *simulation) tick() {
	sim.after(50*time.Millisecond, sim.tick)
	for _, r := range sim.routers {
		if r.pausedUntil.After(sim.now) {
			continue
		}
		out := &wire.Outbox{}
		sim.resolve(r, r.borrower.Tick(sim.now, ownersView{sim, r}, out))
		r.owner.Tick(sim.now, ownersView{sim, r}, out)
		sim.flush(r, out)
		sim.renewVote(r)
	}
}

// renewVote may move a router's vote to the owner in its view, and may report the slots leased to
// the router to that owner.
func (sim *simulation) renewVote(r *router) {
	if (r.votesFor != r.knownOwner || r.votedIncarnation != r.knownOwner.incarnation) && sim.chance(10) {
		r.votesFor, r.votedIncarnation, r.votedAt = r.knownOwner, r.knownOwner.incarnation, sim.now
	}
	o, incarnation := r.votesFor, r.votedIncarnation
	if o != r.knownOwner || sim.chance(80) || sim.chance(sim.rates.loss) {
		return
	}
	held := r.borrower.ReportSlots(sim.now, "w", o.id)
	sent, since := sim.now, r.votedAt
	sim.after(sim.between(time.Millisecond, 5*time.Millisecond), func() {
		sim.onRouter(o, incarnation, func() {
			if sim.now.Sub(sent) < reportTTL && r.votesFor == o && r.votedAt == since {
				o.owner.OnSlotReport(sim.now, r.id, "w", held, ownersView{sim, o})
			}
		})
	})
}

// injectFault may pause or restart a router, change an owner, partition a data centre, or
// lower the limits.
func (sim *simulation) injectFault() {
	sim.after(sim.between(100*time.Millisecond, time.Second), sim.injectFault)
	r := sim.routers[sim.rng.IntN(len(sim.routers))]
	if sim.chance(sim.rates.pause) {
		r.pausedUntil = sim.now.Add(sim.between(0, 6*time.Second))
	}
	if sim.chance(sim.rates.crash) {
		sim.restart(r)
		r.pausedUntil = sim.now.Add(2 * time.Second)
	}
	if sim.chance(sim.rates.moveOwner) {
		for _, x := range sim.routers[r.dc*routersPerDC : (r.dc+1)*routersPerDC] {
			sim.after(sim.between(0, 2*time.Second), func() { x.knownOwner = r })
		}
	}
	if sim.chance(sim.rates.partition) {
		sim.partitionedUntil[r.dc] = sim.now.Add(sim.between(0, 8*time.Second))
	}
	if sim.chance(sim.rates.lower) && sim.loweredAt.IsZero() {
		sim.loweredAt = sim.now
		sim.limits.Concurrent = sim.limits.Concurrent * 2 / 3
		sim.limits.RequestsPerSecond *= 0.7
		for _, x := range sim.routers {
			x.owner.Update(sim.now, sim.view())
		}
	}
}
