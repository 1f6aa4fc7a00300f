package limits

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// faults sets the probability, in percent, of each fault.
type faults struct{ loss, duplicate, late, freeze, crash, moveOwner, cut, lower int }

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
	id          fleet.InstanceID
	dc          int
	run         int // counts restarts
	owner       *Owner
	borrower    *Borrower
	knownOwner  *router // the owner in this router's view
	votesFor    *router
	votedRun    int
	votedAt     time.Time // when the vote began
	pausedUntil time.Time
	running     map[fleet.RequestID]bool
}

// pump simulates the network between routers and injects faults, deterministically by seed.
type pump struct {
	rng     *rand.Rand
	rates   faults
	start   time.Time
	now     time.Time
	queue   events
	seq     int
	dcs     int
	routers []*router
	limits  fleet.Limits
	cut     map[int]time.Time // end of the partition of each data centre
	lowered time.Time

	admitted            []admission
	running, maxRunning int // requests at endpoints, current and maximum
	sent                int // messages sent
	requested, refused  int
	demand              func(p *pump) (dc int, every time.Duration)
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

func newPump(seed uint64, dcs int, l fleet.Limits, rates faults) *pump {
	p := &pump{
		rng: rand.New(rand.NewPCG(seed, 3)), rates: rates, dcs: dcs, limits: l,
		start: time.Unix(1_000_000, 0), now: time.Unix(1_000_000, 0),
		cut: map[int]time.Time{}, tokens: 10, hold: 3 * time.Second,
	}
	for i := range dcs * routersPerDC {
		p.routers = append(p.routers, &router{id: fleet.InstanceID(fmt.Sprint("r", i)), dc: i / routersPerDC})
	}
	for _, r := range p.routers {
		r.knownOwner = p.routers[r.dc*routersPerDC]
		p.restart(r)
		r.votesFor, r.votedAt = r.knownOwner, p.now
		r.votedRun = r.knownOwner.run
	}
	p.at(0, p.tick)
	p.at(0, p.injectFault)
	return p
}

func (p *pump) runFor(d time.Duration) {
	end := p.now.Add(d)
	if p.demand != nil {
		p.at(0, p.arrive)
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		if e.at.After(end) {
			break
		}
		p.now = e.at
		e.do()
	}
}

func (p *pump) restart(r *router) {
	opt := testOptions()
	opt.Self, opt.DataCentre = r.id, dcID(r.dc)
	r.run++
	r.owner = NewOwner(opt, rand.New(rand.NewPCG(p.rng.Uint64(), 1)))
	r.borrower = NewBorrower(opt, rand.New(rand.NewPCG(p.rng.Uint64(), 2)))
	p.running -= len(r.running)
	r.running = map[fleet.RequestID]bool{}
	r.votesFor = nil
	r.owner.Update(p.now, p.view())
}

func dcID(i int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprint("d", i)) }

func (p *pump) view() *fleet.View {
	cfg := &fleet.Configuration{
		Workspaces:  map[fleet.WorkspaceID]fleet.Workspace{"w": {ID: "w", Plan: "p"}, "v": {ID: "v", Plan: "p"}},
		Plans:       map[fleet.PlanID]fleet.Plan{"p": {ID: "p", Limits: p.limits}},
		DataCentres: map[fleet.DataCentreID]fleet.DataCentre{},
	}
	list := &fleet.InstanceList{}
	for i := range p.dcs {
		cfg.DataCentres[dcID(i)] = fleet.DataCentre{ID: dcID(i)}
	}
	for _, r := range p.routers {
		list.Instances = append(list.Instances, fleet.Instance{ID: r.id, DataCentre: dcID(r.dc)})
	}
	return fleet.NewView(cfg, list, nil)
}

func (p *pump) at(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{p.now.Add(d), p.seq, do})
}

func (p *pump) chance(percent int) bool { return p.rng.IntN(100) < percent }

func (p *pump) between(a, b time.Duration) time.Duration {
	return a + time.Duration(p.rng.Int64N(int64(b-a)+1))
}

// ownersView implements Owners for one router.
type ownersView struct {
	p *pump
	r *router
}

// Owner returns the owner in the view of the router.
func (s ownersView) Owner(fleet.WorkspaceID) fleet.InstanceID { return s.r.knownOwner.id }

// RemoteOwner returns the owner in the view of the first router of the data centre.
func (s ownersView) RemoteOwner(_ fleet.WorkspaceID, dc fleet.DataCentreID) fleet.InstanceID {
	for _, r := range s.p.routers {
		if dcID(r.dc) == dc {
			return r.knownOwner.id
		}
	}
	return ""
}

// VoteShareSince returns the share of the data centre's routers that vote for the router's current run.
func (s ownersView) VoteShareSince(_ fleet.WorkspaceID, from time.Time) float64 {
	n := 0
	for _, r := range s.p.routers {
		if r.votesFor == s.r && r.votedRun == s.r.run && !r.votedAt.After(from) {
			n++
		}
	}
	return float64(n) / routersPerDC
}

func (p *pump) flush(from *router, out *wire.Outbox) {
	for _, o := range out.Messages {
		p.sent++
		to := p.routers[0]
		for _, r := range p.routers {
			if r.id == o.To {
				to = r
			}
		}
		copies := 1
		if p.chance(p.rates.duplicate) {
			copies = 2
		}
		for range copies {
			if p.chance(p.rates.loss) || (to.dc != from.dc && (p.cut[to.dc].After(p.now) || p.cut[from.dc].After(p.now))) {
				continue
			}
			delay := p.between(time.Millisecond, 5*time.Millisecond)
			if p.chance(p.rates.late) {
				delay = p.between(0, 10*time.Second)
			}
			run := to.run
			p.at(delay, func() { p.onRouter(to, run, func() { p.receive(to, from.id, o.Message) }) })
		}
	}
}

// onRouter runs do on a router once it is not frozen, unless it has restarted meanwhile.
func (p *pump) onRouter(r *router, run int, do func()) {
	if r.run != run {
		return
	}
	if r.pausedUntil.After(p.now) {
		p.at(r.pausedUntil.Sub(p.now)+p.between(0, time.Millisecond), func() { p.onRouter(r, run, do) })
		return
	}
	do()
}

func (p *pump) receive(r *router, from fleet.InstanceID, m wire.Message) {
	out := &wire.Outbox{}
	s := ownersView{p, r}
	switch m := m.(type) {
	case wire.Borrow:
		r.owner.OnBorrow(p.now, from, m, s, out)
	case wire.BorrowReply:
		p.resolve(r, r.borrower.OnReply(p.now, from, m, s, out))
	case wire.Transfer:
		r.owner.OnTransfer(p.now, from, m, s, out)
	}
	p.flush(r, out)
}

func (p *pump) resolve(r *router, rs []Resolution) {
	for _, x := range rs {
		switch x.Decision {
		case Granted:
			p.admit(r, x.Request)
		case Refused:
			p.refused++
		}
	}
}

// admit simulates a request at an endpoint that runs for up to its hold.
func (p *pump) admit(r *router, id fleet.RequestID) {
	p.admitted = append(p.admitted, admission{p.now, p.tokens})
	p.running++
	r.running[id] = true
	p.maxRunning = max(p.maxRunning, p.running)
	settled := p.lowered.IsZero() || p.now.Sub(p.lowered) > p.hold+time.Second
	if settled && p.limits.Concurrent > 0 && p.running > p.limits.Concurrent {
		p.violations++
	}
	run := r.run
	p.at(p.between(p.hold/4, p.hold), func() {
		if r.run != run {
			return
		}
		p.running--
		delete(r.running, id)
		p.onRouter(r, run, func() { r.borrower.Release(p.now, id, "w") })
	})
}

// arrive sends one request to a random router of the data centre that demand selects.
func (p *pump) arrive() {
	dc, every := p.demand(p)
	p.at(p.between(0, 2*every), p.arrive)
	r := p.routers[dc*routersPerDC+p.rng.IntN(routersPerDC)]
	if r.pausedUntil.After(p.now) {
		return
	}
	p.requested++
	id := fleet.RequestID(fmt.Sprint(p.seq))
	out := &wire.Outbox{}
	need := Need{Tokens: p.tokens, Hold: p.hold}
	p.resolve(r, []Resolution{r.borrower.Acquire(p.now, id, "w", p.limits, need, ownersView{p, r}, out)})
	p.flush(r, out)
}

func (p *pump) tick() {
	p.at(50*time.Millisecond, p.tick)
	for _, r := range p.routers {
		if r.pausedUntil.After(p.now) {
			continue
		}
		out := &wire.Outbox{}
		p.resolve(r, r.borrower.Tick(p.now, ownersView{p, r}, out))
		r.owner.Tick(p.now, ownersView{p, r}, out)
		p.flush(r, out)
		p.renewVote(r)
	}
}

// renewVote may move a router's vote to the owner in its view, and reports its held slots
// to that owner.
func (p *pump) renewVote(r *router) {
	if (r.votesFor != r.knownOwner || r.votedRun != r.knownOwner.run) && p.chance(10) {
		r.votesFor, r.votedRun, r.votedAt = r.knownOwner, r.knownOwner.run, p.now
	}
	o, run := r.votesFor, r.votedRun
	if o != r.knownOwner || p.chance(80) || p.chance(p.rates.loss) {
		return
	}
	held := r.borrower.ReportSlots(p.now, "w", o.id)
	sent, since := p.now, r.votedAt
	p.at(p.between(time.Millisecond, 5*time.Millisecond), func() {
		p.onRouter(o, run, func() {
			if p.now.Sub(sent) < reportTTL && r.votesFor == o && r.votedAt == since {
				o.owner.OnSlotReport(p.now, r.id, "w", held, ownersView{p, o})
			}
		})
	})
}

// injectFault may freeze or restart a router, change an owner, partition a data centre, or
// lower the limits.
func (p *pump) injectFault() {
	p.at(p.between(100*time.Millisecond, time.Second), p.injectFault)
	r := p.routers[p.rng.IntN(len(p.routers))]
	if p.chance(p.rates.freeze) {
		r.pausedUntil = p.now.Add(p.between(0, 6*time.Second))
	}
	if p.chance(p.rates.crash) {
		p.restart(r)
		r.pausedUntil = p.now.Add(2 * time.Second)
	}
	if p.chance(p.rates.moveOwner) {
		for _, x := range p.routers[r.dc*routersPerDC : (r.dc+1)*routersPerDC] {
			p.at(p.between(0, 2*time.Second), func() { x.knownOwner = r })
		}
	}
	if p.chance(p.rates.cut) {
		p.cut[r.dc] = p.now.Add(p.between(0, 8*time.Second))
	}
	if p.chance(p.rates.lower) && p.lowered.IsZero() {
		p.lowered = p.now
		p.limits.Concurrent = p.limits.Concurrent * 2 / 3
		p.limits.RequestsPerSecond *= 0.7
		for _, x := range p.routers {
			x.owner.Update(p.now, p.view())
		}
	}
}
