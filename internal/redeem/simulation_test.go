package redeem

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// faults holds the probability of each kind of fault, in percent.
type faults struct {
	loss, duplicate, late, pause, crash, stop, removeOwner, reportGone int
}

func testOptions() Options {
	opt := DefaultOptions()
	opt.TicketTTL, opt.Retention = 20*time.Second, 20*time.Second
	opt.KeyLifetime, opt.MaxClockSkew = 40*time.Second, 10*time.Second
	opt.RunValidity, opt.PendingTimeout = 5*time.Second, 8*time.Second
	opt.KeySlots = 2
	opt.MaxTickets, opt.MaxKeys = 200, 200
	return opt
}

const (
	simNodeCount       = 4
	simDuration        = 90 * time.Second
	testDataCentre     = fleet.DataCentreID("d")
	testWorkspace      = fleet.WorkspaceID("w")
	maxCallerClockSkew = 9 * time.Second // of the callers' clocks, below Options.MaxClockSkew
)

// job is a request that may run at most once: the ticket or key and all attempts with it.
type job struct {
	ticket   wire.TicketID
	key      string
	runs     int
	attempts []*attempt
}

// attempt is one attempt of a caller.
type attempt struct {
	job       *job
	call, ret time.Time
	result    Result
	ran       bool
	notRun    bool // the outcome reported to the caller is that the request did not run
	finished  bool
}

// node is a router.
type node struct {
	id              fleet.InstanceID
	incarnation     fleet.Incarnation
	server          *Server
	client          *Client
	running, listed bool
	stopping        bool
	pausedUntil     time.Time // end of the process pause
}

// slotOwner is the owner of a key slot; node is nil if there is none.
type slotOwner struct {
	node        *node
	incarnation fleet.Incarnation
	since       time.Time
}

// simulation is a discrete-event simulation of routers, their messages and faults. It is determined by
// its seed and fault rates.
type simulation struct {
	rng        *rand.Rand
	rates      faults
	now        time.Time
	queue      events
	seq        int
	nodes      []*node
	view       *fleet.View
	slotOwners []slotOwner
	attempts   map[fleet.RequestID]*attempt
	jobs       []*job
	violations []string // descriptions of violated invariants
}

// event is an action at a simulated time. Events at the same time are ordered by seq.
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

// at schedules an action after a delay.
func (sim *simulation) at(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, do})
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

func (sim *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(sim.rng.Int64N(int64(b-a)+1))
}

// simulate runs a random schedule and returns its final state.
func simulate(seed uint64, rates faults) *simulation {
	sim := &simulation{
		rng:        rand.New(rand.NewPCG(seed, 7)),
		rates:      rates,
		now:        time.Unix(1_000_000, 0),
		attempts:   map[fleet.RequestID]*attempt{},
		slotOwners: make([]slotOwner, testOptions().KeySlots),
	}
	for i := range simNodeCount {
		n := &node{id: fleet.InstanceID(fmt.Sprintf("n%d", i))}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
	}
	for slot := range sim.slotOwners {
		n := sim.nodes[sim.rng.IntN(simNodeCount)]
		sim.slotOwners[slot] = slotOwner{n, n.incarnation, sim.now.Add(-sim.between(0, 60*time.Second))}
	}
	end := sim.now.Add(simDuration)
	sim.at(0, sim.tick)
	sim.at(0, sim.injectFault)
	sim.at(0, sim.newJob)
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		e.do()
	}
	return sim
}

func (sim *simulation) start(n *node) {
	n.incarnation++
	n.running, n.listed, n.stopping, n.pausedUntil = true, true, false, time.Time{}
	opt := testOptions()
	opt.Self, opt.DataCentre, opt.Incarnation = n.id, testDataCentre, n.incarnation
	n.server = NewServer(opt, rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))
	n.client = NewClient(opt, rand.New(rand.NewPCG(sim.rng.Uint64(), 2)))
	sim.updateView()
}

func (sim *simulation) updateView() {
	list := &fleet.InstanceList{}
	for _, n := range sim.nodes {
		if n.listed {
			list.Instances = append(list.Instances, fleet.Instance{ID: n.id, DataCentre: testDataCentre, Leaving: n.stopping})
		}
	}
	sim.view = fleet.NewView(nil, list, nil)
}

func (sim *simulation) usable(id fleet.InstanceID) bool { return true }

// Candidates implements Routes.
func (sim *simulation) Candidates(m *wire.Redeem) []fleet.InstanceID {
	if m.Key == "" {
		return TicketCandidates(sim.view, m.Ticket, sim.usable)
	}
	if owner := sim.slotOwners[KeySlot(m.Workspace, m.Key, len(sim.slotOwners))]; owner.node != nil {
		return []fleet.InstanceID{owner.node.id}
	}
	return []fleet.InstanceID{sim.nodes[0].id}
}

// TicketSuccessor implements Successors.
func (sim *simulation) TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID {
	return TicketSuccessor(sim.view, issuer, testDataCentre, sim.usable, excluded)
}

// SlotSuccessor implements Successors.
func (sim *simulation) SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID {
	return TicketSuccessor(sim.view, fleet.InstanceID(fmt.Sprint("slot", slot)), testDataCentre, sim.usable, excluded)
}

func (sim *simulation) ownedSince(n *node) OwnedSince {
	inc := n.incarnation
	return func(slot int) (time.Time, bool) {
		owner := sim.slotOwners[slot]
		return owner.since, owner.node == n && owner.incarnation == inc
	}
}

// transmit schedules the delivery of a node's messages, with loss, duplication and delay.
func (sim *simulation) transmit(from *node, out *wire.Outbox) {
	for _, o := range out.Messages {
		copies := 1
		if sim.chance(sim.rates.duplicate) {
			copies = 2
		}
		for range copies {
			if sim.chance(sim.rates.loss) {
				continue
			}
			delay := sim.between(time.Millisecond, 20*time.Millisecond)
			if sim.chance(sim.rates.late) {
				delay = sim.between(0, 25*time.Second)
			}
			sim.at(delay, func() { sim.deliver(from.id, o) })
		}
	}
}

func (sim *simulation) deliver(from fleet.InstanceID, o wire.Outgoing) {
	for _, n := range sim.nodes {
		if n.id == o.To {
			sim.onNode(n, n.incarnation, func() { sim.receive(n, from, o.Message) })
		}
	}
}

// onNode runs do on a node, after the end of a pause. It drops do if the node is down or has restarted.
func (sim *simulation) onNode(n *node, inc fleet.Incarnation, do func()) {
	if !n.running || n.incarnation != inc {
		return
	}
	if n.pausedUntil.After(sim.now) {
		sim.at(n.pausedUntil.Sub(sim.now)+sim.between(0, time.Millisecond), func() { sim.onNode(n, inc, do) })
		return
	}
	do()
}

func (sim *simulation) receive(n *node, from fleet.InstanceID, m wire.Message) {
	out := &wire.Outbox{}
	switch m := m.(type) {
	case wire.Redeem:
		if reply, ok := n.server.OnRedeem(sim.now, from, m, sim.ownedSince(n)); ok {
			out.Send(from, reply)
		}
	case wire.RedeemReply:
		if r, ok := n.client.OnReply(sim.now, from, m, sim, out); ok {
			sim.onResult(n, r)
		}
	case wire.Settle:
		if ack, ok := n.server.OnSettle(sim.now, from, m); ok {
			out.Send(from, ack)
		}
	case wire.SettleAck:
		n.client.OnSettleAck(sim.now, m, sim, out)
	case wire.RedemptionHandover:
		n.server.OnHandover(sim.now, from, m, sim.ownedSince(n), out)
	}
	sim.transmit(n, out)
}

// onResult continues an attempt whose redemption ended.
func (sim *simulation) onResult(n *node, r Result) {
	a := sim.attempts[r.Request]
	a.result = r
	if r.Code != wire.RedeemGranted {
		sim.finish(a, r.NotRun())
		return
	}
	inc := n.incarnation
	sim.at(sim.between(0, 300*time.Millisecond), func() { sim.onNode(n, inc, func() { sim.dispatch(n, r) }) })
}

// dispatch runs an attempt at the endpoint, unless RunBefore has passed or, at random, the dispatch fails.
func (sim *simulation) dispatch(n *node, r Result) {
	a := sim.attempts[r.Request]
	outcome := wire.SettleNotRun
	if !sim.now.After(r.RunBefore) && sim.chance(60) {
		a.ran = true
		a.job.runs++
		if a.job.runs > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v ran %d times", a.job, a.job.runs))
		}
		outcome = wire.SettleAnswered
		if sim.chance(20) {
			outcome = wire.SettleUnknown
		}
	}
	inc := n.incarnation
	sim.at(sim.between(0, 2*time.Second), func() { sim.onNode(n, inc, func() { sim.settle(n, a, r, outcome) }) })
}

func (sim *simulation) settle(n *node, a *attempt, r Result, outcome wire.SettleOutcome) {
	out := &wire.Outbox{}
	resp := &wire.StoredResponse{Status: 200, Body: []byte(r.Request)}
	if outcome != wire.SettleAnswered {
		resp = nil
	}
	n.client.Settle(sim.now, r.Request, outcome, resp, sim, out)
	sim.transmit(n, out)
	sim.finish(a, outcome == wire.SettleNotRun)
}

// finish ends an attempt and checks the outcome reported to its caller against the executions.
func (sim *simulation) finish(a *attempt, notRun bool) {
	a.ret, a.finished, a.notRun = sim.now, true, notRun
	if notRun && a.job.runs > 0 {
		sim.violations = append(sim.violations, fmt.Sprintf("NotRun reported though %v ran: %v", a.job, a.result))
	}
	if r := a.result; r.Code == wire.RedeemDone && r.Response != nil && !a.job.ranAs(string(r.Response.Body)) {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: stored response of a request that did not run", a.job))
	}
}

// ranAs reports whether the job ran in the attempt with the given request ID.
func (j *job) ranAs(id string) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.ran && string(a.result.Request) == id })
}

func (j *job) String() string { return fmt.Sprintf("%s%v", j.key, j.ticket) }

// newJob creates a ticket or key and schedules its attempts.
func (sim *simulation) newJob() {
	sim.at(sim.between(200*time.Millisecond, time.Second), sim.newJob)
	j := &job{}
	if sim.chance(50) {
		j.key = sim.key()
	} else if n := sim.nodes[sim.rng.IntN(simNodeCount)]; n.running {
		texts, _ := n.server.Issue(sim.now, testWorkspace, 1)
		if len(texts) == 0 {
			return
		}
		j.ticket, _ = ParseTicket(texts[0])
	} else {
		return
	}
	sim.jobs = append(sim.jobs, j)
	span := 36 * time.Second // including the redemption, less than the lifetime of a key
	if j.key == "" {
		span = 70 * time.Second
	}
	for range 1 + sim.rng.IntN(5) {
		sim.at(sim.between(0, sim.between(0, span)), func() { sim.startAttempt(j) })
	}
}

// key returns a key without a time or a UUIDv7 by a caller's clock.
func (sim *simulation) key() string {
	if sim.chance(30) {
		return fmt.Sprintf("plain-%x", sim.rng.Uint64())
	}
	createdMS := sim.now.Add(sim.between(-maxCallerClockSkew, maxCallerClockSkew)).UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", createdMS>>16, createdMS&0xffff, sim.rng.IntN(1<<12), sim.rng.IntN(1<<12), sim.rng.Int64N(1<<48))
}

func (sim *simulation) startAttempt(j *job) {
	n := sim.nodes[sim.rng.IntN(simNodeCount)]
	if !n.running || n.pausedUntil.After(sim.now) {
		return
	}
	id := fleet.RequestID(fmt.Sprintf("%016x", sim.rng.Uint64()))
	a := &attempt{job: j, call: sim.now, result: Result{Request: id}}
	sim.attempts[id] = a
	j.attempts = append(j.attempts, a)
	out := &wire.Outbox{}
	m := wire.Redeem{Ticket: j.ticket, Key: j.key, Workspace: testWorkspace, Request: id, RequestHash: 1}
	if r, ok := n.client.Redeem(sim.now, m, sim.now.Add(sim.between(time.Second, 4*time.Second)), sim, out); ok {
		sim.onResult(n, r)
	}
	sim.transmit(n, out)
}

func (sim *simulation) tick() {
	sim.at(50*time.Millisecond, sim.tick)
	for _, n := range sim.nodes {
		if !n.running || n.pausedUntil.After(sim.now) {
			continue
		}
		out := &wire.Outbox{}
		for _, r := range n.client.Tick(sim.now, sim, out) {
			sim.onResult(n, r)
		}
		n.server.Tick(sim.now, sim, out)
		sim.transmit(n, out)
		if n.stopping {
			sim.advanceStop(n)
		}
	}
	for slot := range sim.slotOwners {
		sim.assignOwner(slot)
	}
}

// advanceStop releases the slots of a stopping node once its records are frozen, and ends its process
// some time after its handover has ended.
func (sim *simulation) advanceStop(n *node) {
	if n.server.RecordsFrozen() {
		sim.releaseSlots(n)
	}
	if done, _ := n.server.HandedOver(); done && sim.chance(5) {
		sim.exit(n)
	}
}

func (sim *simulation) releaseSlots(n *node) {
	for slot := range sim.slotOwners {
		if sim.slotOwners[slot].node == n {
			sim.slotOwners[slot] = slotOwner{}
		}
	}
}

// exit ends a process. Its next incarnation may start before or after the removal from the instance
// list.
func (sim *simulation) exit(n *node) {
	n.running = false
	sim.releaseSlots(n)
	sim.at(sim.between(0, 5*time.Second), func() {
		if !n.running {
			n.listed = false
			sim.updateView()
		}
	})
	sim.at(sim.between(0, 20*time.Second), func() { sim.start(n) })
}

// assignOwner assigns a slot without an owner to its successor, or sometimes to a random node.
func (sim *simulation) assignOwner(slot int) {
	if sim.slotOwners[slot].node != nil || !sim.chance(10) {
		return
	}
	id := sim.SlotSuccessor(slot, nil)
	if sim.chance(20) {
		id = sim.nodes[sim.rng.IntN(simNodeCount)].id
	}
	for _, n := range sim.nodes {
		if n.id == id && n.running && !n.stopping {
			sim.slotOwners[slot] = slotOwner{n, n.incarnation, sim.now}
		}
	}
}

// injectFault pauses, crashes or stops a node, reports a holder as gone, or removes a slot's owner.
func (sim *simulation) injectFault() {
	sim.at(sim.between(100*time.Millisecond, time.Second), sim.injectFault)
	n := sim.nodes[sim.rng.IntN(simNodeCount)]
	if !n.running || n.pausedUntil.After(sim.now) {
		return
	}
	if sim.chance(sim.rates.pause) {
		n.pausedUntil = sim.now.Add(sim.between(0, 15*time.Second))
		if sim.chance(50) {
			sim.releaseSlots(n)
		}
	}
	if sim.chance(sim.rates.crash) {
		sim.exit(n)
	}
	if sim.chance(sim.rates.stop) && n.running && !n.stopping {
		n.stopping = true
		sim.updateView()
		out := &wire.Outbox{}
		n.server.BeginHandover(sim.now, sim, out)
		sim.transmit(n, out)
	}
	if sim.chance(sim.rates.reportGone) {
		sim.nodes[sim.rng.IntN(simNodeCount)].server.MarkHolderGone(n.id) // even if the node is running
	}
	if sim.chance(sim.rates.removeOwner) {
		sim.slotOwners[sim.rng.IntN(len(sim.slotOwners))] = slotOwner{}
	}
}
