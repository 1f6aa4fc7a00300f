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
	loss, duplicate, late, freeze, crash, stop, moveHome, reportGone int
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
	simNodes       = 4
	simDuration    = 90 * time.Second
	testDataCentre = fleet.DataCentreID("d")
	testWorkspace  = fleet.WorkspaceID("w")
	maxClockSkew   = 9 * time.Second // of the callers' clocks
)

// job is the unit that may run at most once: all attempts with one ticket or key.
type job struct {
	ticket wire.TicketID
	key    string
	runs   int
	ops    []*op
}

// op is one attempt of a caller.
type op struct {
	job       *job
	call, ret time.Time
	result    Result
	ran       bool
	notRun    bool // the caller was told that the request did not run
	finished  bool
}

type node struct {
	id              fleet.InstanceID
	incarnation     fleet.Incarnation
	server          *Server
	client          *Client
	running, listed bool
	stopping        bool
	frozenUntil     time.Time // paused until then
}

type slotOwner struct {
	node        *node
	incarnation fleet.Incarnation
	since       time.Time
}

// simulation is a discrete-event simulation of nodes, their messages and faults. It is determined by
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
	ops        map[fleet.RequestID]*op
	jobs       []*job
	violations []string // descriptions of violated invariants
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
		ops:        map[fleet.RequestID]*op{},
		slotOwners: make([]slotOwner, testOptions().KeySlots),
	}
	for i := range simNodes {
		n := &node{id: fleet.InstanceID(fmt.Sprintf("n%d", i))}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
	}
	for slot := range sim.slotOwners {
		n := sim.nodes[sim.rng.IntN(simNodes)]
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
	n.running, n.listed, n.stopping, n.frozenUntil = true, true, false, time.Time{}
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
	if h := sim.slotOwners[KeySlot(m.Workspace, m.Key, len(sim.slotOwners))]; h.node != nil {
		return []fleet.InstanceID{h.node.id}
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
		h := sim.slotOwners[slot]
		return h.since, h.node == n && h.incarnation == inc
	}
}

// transmit schedules the delivery of a node's messages, with loss, duplication and delay.
func (sim *simulation) transmit(from *node, out *wire.Outbox) {
	for _, o := range out.Items {
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

// onNode runs do on a node once the node is not paused. It drops do if the node has restarted or is
// down.
func (sim *simulation) onNode(n *node, inc fleet.Incarnation, do func()) {
	if !n.running || n.incarnation != inc {
		return
	}
	if n.frozenUntil.After(sim.now) {
		sim.at(n.frozenUntil.Sub(sim.now)+sim.between(0, time.Millisecond), func() { sim.onNode(n, inc, do) })
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
	case wire.Handover:
		n.server.OnHandover(sim.now, from, m, sim.ownedSince(n), out)
	}
	sim.transmit(n, out)
}

// onResult continues an attempt whose redemption ended.
func (sim *simulation) onResult(n *node, r Result) {
	o := sim.ops[r.Request]
	o.result = r
	if r.Code != wire.RedeemGranted {
		sim.finish(o, r.NotRun())
		return
	}
	inc := n.incarnation
	sim.at(sim.between(0, 300*time.Millisecond), func() { sim.onNode(n, inc, func() { sim.dispatch(n, r) }) })
}

// dispatch runs an attempt at the endpoint, unless RunBefore has passed or the dispatch fails.
func (sim *simulation) dispatch(n *node, r Result) {
	o := sim.ops[r.Request]
	outcome := wire.SettleNotRun
	if !sim.now.After(r.RunBefore) && sim.chance(60) {
		o.ran = true
		o.job.runs++
		if o.job.runs > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v ran %d times", o.job, o.job.runs))
		}
		outcome = wire.SettleAnswered
		if sim.chance(20) {
			outcome = wire.SettleUnknown
		}
	}
	inc := n.incarnation
	sim.at(sim.between(0, 2*time.Second), func() { sim.onNode(n, inc, func() { sim.settle(n, o, r, outcome) }) })
}

func (sim *simulation) settle(n *node, o *op, r Result, outcome wire.SettleOutcome) {
	out := &wire.Outbox{}
	resp := &wire.StoredResponse{Status: 200, Body: []byte(r.Request)}
	if outcome != wire.SettleAnswered {
		resp = nil
	}
	n.client.Settle(sim.now, r.Request, outcome, resp, sim, out)
	sim.transmit(n, out)
	sim.finish(o, outcome == wire.SettleNotRun)
}

func (sim *simulation) finish(o *op, notRun bool) {
	o.ret, o.finished, o.notRun = sim.now, true, notRun
	if notRun && o.job.runs > 0 {
		sim.violations = append(sim.violations, fmt.Sprintf("NotRun reported though %v ran: %v", o.job, o.result))
	}
	if r := o.result; r.Code == wire.RedeemDone && r.Response != nil && !o.job.ranAs(string(r.Response.Body)) {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: stored response of a request that did not run", o.job))
	}
}

func (j *job) ranAs(id string) bool {
	return slices.ContainsFunc(j.ops, func(o *op) bool { return o.ran && string(o.result.Request) == id })
}

func (j *job) String() string { return fmt.Sprintf("%s%v", j.key, j.ticket) }

// newJob creates a ticket or key and schedules its attempts.
func (sim *simulation) newJob() {
	sim.at(sim.between(200*time.Millisecond, time.Second), sim.newJob)
	j := &job{}
	if sim.chance(50) {
		j.key = sim.key()
	} else if n := sim.nodes[sim.rng.IntN(simNodes)]; n.running {
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
		sim.at(sim.between(0, sim.between(0, span)), func() { sim.attempt(j) })
	}
}

func (sim *simulation) key() string {
	if sim.chance(30) {
		return fmt.Sprintf("plain-%x", sim.rng.Uint64())
	}
	made := sim.now.Add(sim.between(-maxClockSkew, maxClockSkew)).UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", made>>16, made&0xffff, sim.rng.IntN(1<<12), sim.rng.IntN(1<<12), sim.rng.Int64N(1<<48))
}

func (sim *simulation) attempt(j *job) {
	n := sim.nodes[sim.rng.IntN(simNodes)]
	if !n.running || n.frozenUntil.After(sim.now) {
		return
	}
	id := fleet.RequestID(fmt.Sprintf("%016x", sim.rng.Uint64()))
	o := &op{job: j, call: sim.now, result: Result{Request: id}}
	sim.ops[id] = o
	j.ops = append(j.ops, o)
	out := &wire.Outbox{}
	m := wire.Redeem{Ticket: j.ticket, Key: j.key, Workspace: testWorkspace, Request: id, Digest: 1}
	if r, ok := n.client.Redeem(sim.now, m, sim.now.Add(sim.between(time.Second, 4*time.Second)), sim, out); ok {
		sim.onResult(n, r)
	}
	sim.transmit(n, out)
}

func (sim *simulation) tick() {
	sim.at(50*time.Millisecond, sim.tick)
	for _, n := range sim.nodes {
		if !n.running || n.frozenUntil.After(sim.now) {
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

// advanceStop releases the slots of a stopping node when it is frozen, and ends it at some time after
// its handover has ended.
func (sim *simulation) advanceStop(n *node) {
	if n.server.Frozen() {
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

// exit ends a process. Its next run may start before or after the removal from the instance list.
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
		id = sim.nodes[sim.rng.IntN(simNodes)].id
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
	n := sim.nodes[sim.rng.IntN(simNodes)]
	if !n.running || n.frozenUntil.After(sim.now) {
		return
	}
	if sim.chance(sim.rates.freeze) {
		n.frozenUntil = sim.now.Add(sim.between(0, 15*time.Second))
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
		sim.nodes[sim.rng.IntN(simNodes)].server.MarkHolderGone(n.id) // even if the node is running
	}
	if sim.chance(sim.rates.moveHome) {
		sim.slotOwners[sim.rng.IntN(len(sim.slotOwners))] = slotOwner{}
	}
}
