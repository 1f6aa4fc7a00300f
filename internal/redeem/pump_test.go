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

// faults sets how often, in 100, each fault of a schedule happens.
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
	pumpNodes    = 4
	pumpLength   = 90 * time.Second
	pumpDC       = fleet.DataCentreID("d")
	pumpWS       = fleet.WorkspaceID("w")
	maxClockSkew = 9 * time.Second // of the clocks of callers
)

// job is something that may run once: all attempts under one ticket or key.
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
	id          fleet.InstanceID
	incarnation fleet.Incarnation
	server      *Server
	client      *Client
	up, listed  bool
	stopping    bool
	wakes       time.Time // frozen until then
}

type home struct {
	node  *node
	inc   fleet.Incarnation
	since time.Time
}

// pump passes messages between nodes and lets things fail, all from one seed.
type pump struct {
	rng    *rand.Rand
	f      faults
	now    time.Time
	queue  events
	seq    int
	nodes  []*node
	view   *fleet.View
	homes  []home
	ops    map[fleet.RequestID]*op
	jobs   []*job
	faults []string // violated invariants
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

func (p *pump) at(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{p.now.Add(d), p.seq, do})
}

func (p *pump) chance(percent int) bool { return p.rng.IntN(100) < percent }

func (p *pump) between(a, b time.Duration) time.Duration {
	return a + time.Duration(p.rng.Int64N(int64(b-a)+1))
}

// runPump runs a schedule and returns its jobs and the violated invariants.
func runPump(seed uint64, f faults) *pump {
	p := &pump{
		rng:   rand.New(rand.NewPCG(seed, 7)),
		f:     f,
		now:   time.Unix(1_000_000, 0),
		ops:   map[fleet.RequestID]*op{},
		homes: make([]home, testOptions().KeySlots),
	}
	for i := range pumpNodes {
		n := &node{id: fleet.InstanceID(fmt.Sprintf("n%d", i))}
		p.nodes = append(p.nodes, n)
		p.start(n)
	}
	for slot := range p.homes {
		n := p.nodes[p.rng.IntN(pumpNodes)]
		p.homes[slot] = home{n, n.incarnation, p.now.Add(-p.between(0, 60*time.Second))}
	}
	end := p.now.Add(pumpLength)
	p.at(0, p.tick)
	p.at(0, p.mishap)
	p.at(0, p.newJob)
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		if e.at.After(end) {
			break
		}
		p.now = e.at
		e.do()
	}
	return p
}

func (p *pump) start(n *node) {
	n.incarnation++
	n.up, n.listed, n.stopping, n.wakes = true, true, false, time.Time{}
	opt := testOptions()
	opt.Self, opt.DataCentre, opt.Incarnation = n.id, pumpDC, n.incarnation
	n.server = NewServer(opt, rand.New(rand.NewPCG(p.rng.Uint64(), 1)))
	n.client = NewClient(opt, rand.New(rand.NewPCG(p.rng.Uint64(), 2)))
	p.relist()
}

func (p *pump) relist() {
	list := &fleet.InstanceList{}
	for _, n := range p.nodes {
		if n.listed {
			list.Instances = append(list.Instances, fleet.Instance{ID: n.id, DataCentre: pumpDC, Leaving: n.stopping})
		}
	}
	p.view = fleet.NewView(nil, list, nil)
}

func (p *pump) usable(id fleet.InstanceID) bool { return true }

// Candidates implements Routes.
func (p *pump) Candidates(m *wire.Redeem) []fleet.InstanceID {
	if m.Key == "" {
		return TicketCandidates(p.view, m.Ticket, p.usable)
	}
	if h := p.homes[Slot(m.Workspace, m.Key, len(p.homes))]; h.node != nil {
		return []fleet.InstanceID{h.node.id}
	}
	return []fleet.InstanceID{p.nodes[0].id}
}

// TicketSuccessor implements Heirs.
func (p *pump) TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID {
	return Successor(p.view, issuer, pumpDC, p.usable, excluded)
}

// SlotSuccessor implements Heirs.
func (p *pump) SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID {
	return Successor(p.view, fleet.InstanceID(fmt.Sprint("slot", slot)), pumpDC, p.usable, excluded)
}

func (p *pump) homeSince(n *node) OwnedSince {
	inc := n.incarnation
	return func(slot int) (time.Time, bool) {
		h := p.homes[slot]
		return h.since, h.node == n && h.inc == inc
	}
}

// flush sends what a node put out.
func (p *pump) flush(from *node, out *wire.Outbox) {
	for _, o := range out.Items {
		copies := 1
		if p.chance(p.f.duplicate) {
			copies = 2
		}
		for range copies {
			if p.chance(p.f.loss) {
				continue
			}
			delay := p.between(time.Millisecond, 20*time.Millisecond)
			if p.chance(p.f.late) {
				delay = p.between(0, 25*time.Second)
			}
			p.at(delay, func() { p.deliver(from.id, o) })
		}
	}
}

func (p *pump) deliver(from fleet.InstanceID, o wire.Outgoing) {
	for _, n := range p.nodes {
		if n.id == o.To {
			p.onNode(n, n.incarnation, func() { p.receive(n, from, o.Message) })
		}
	}
}

// onNode runs do on a node when it is awake, or never when it restarted meanwhile.
func (p *pump) onNode(n *node, inc fleet.Incarnation, do func()) {
	if !n.up || n.incarnation != inc {
		return
	}
	if n.wakes.After(p.now) {
		p.at(n.wakes.Sub(p.now)+p.between(0, time.Millisecond), func() { p.onNode(n, inc, do) })
		return
	}
	do()
}

func (p *pump) receive(n *node, from fleet.InstanceID, m wire.Message) {
	out := &wire.Outbox{}
	switch m := m.(type) {
	case wire.Redeem:
		if reply, ok := n.server.OnRedeem(p.now, from, m, p.homeSince(n)); ok {
			out.Send(from, reply)
		}
	case wire.RedeemReply:
		if r, ok := n.client.OnReply(p.now, from, m, p, out); ok {
			p.decided(n, r)
		}
	case wire.Settle:
		if ack, ok := n.server.OnSettle(p.now, from, m); ok {
			out.Send(from, ack)
		}
	case wire.SettleAck:
		n.client.OnSettleAck(p.now, m, p, out)
	case wire.Handover:
		n.server.OnHandover(p.now, from, m, p.homeSince(n), out)
	}
	p.flush(n, out)
}

// decided goes on with an attempt whose asking ended.
func (p *pump) decided(n *node, r Result) {
	o := p.ops[r.Request]
	o.result = r
	if r.Result != wire.RedeemGranted {
		p.finish(o, r.NotRun())
		return
	}
	inc := n.incarnation
	p.at(p.between(0, 300*time.Millisecond), func() { p.onNode(n, inc, func() { p.dispatch(n, r) }) })
}

// dispatch runs an attempt at the endpoint, or finds that it cannot.
func (p *pump) dispatch(n *node, r Result) {
	o := p.ops[r.Request]
	outcome := wire.SettleNotRun
	if !p.now.After(r.RunBefore) && p.chance(60) {
		o.ran = true
		o.job.runs++
		if o.job.runs > 1 {
			p.faults = append(p.faults, fmt.Sprintf("%v ran %d times", o.job, o.job.runs))
		}
		outcome = wire.SettleAnswered
		if p.chance(20) {
			outcome = wire.SettleUnknown
		}
	}
	inc := n.incarnation
	p.at(p.between(0, 2*time.Second), func() { p.onNode(n, inc, func() { p.settle(n, o, r, outcome) }) })
}

func (p *pump) settle(n *node, o *op, r Result, outcome wire.SettleOutcome) {
	out := &wire.Outbox{}
	resp := &wire.StoredResponse{Status: 200, Body: []byte(r.Request)}
	if outcome != wire.SettleAnswered {
		resp = nil
	}
	n.client.Settle(p.now, r.Request, outcome, resp, p, out)
	p.flush(n, out)
	p.finish(o, outcome == wire.SettleNotRun)
}

func (p *pump) finish(o *op, notRun bool) {
	o.ret, o.finished, o.notRun = p.now, true, notRun
	if notRun && o.job.runs > 0 {
		p.faults = append(p.faults, fmt.Sprintf("untrue NotRun of %v: %v", o.job, o.result))
	}
	if r := o.result; r.Result == wire.RedeemDone && r.Response != nil && !o.job.ranAs(string(r.Response.Body)) {
		p.faults = append(p.faults, fmt.Sprintf("%v: answer of another request", o.job))
	}
}

func (j *job) ranAs(id string) bool {
	return slices.ContainsFunc(j.ops, func(o *op) bool { return o.ran && string(o.result.Request) == id })
}

func (j *job) String() string { return fmt.Sprintf("%s%v", j.key, j.ticket) }

// newJob creates a ticket or key and schedules the attempts of its caller.
func (p *pump) newJob() {
	p.at(p.between(200*time.Millisecond, time.Second), p.newJob)
	j := &job{}
	if p.chance(50) {
		j.key = p.key()
	} else if n := p.nodes[p.rng.IntN(pumpNodes)]; n.up {
		texts, _ := n.server.Issue(p.now, pumpWS, 1)
		if len(texts) == 0 {
			return
		}
		j.ticket, _ = ParseTicket(texts[0])
	} else {
		return
	}
	p.jobs = append(p.jobs, j)
	span := 36 * time.Second // with the asking less than the life of a key
	if j.key == "" {
		span = 70 * time.Second
	}
	for range 1 + p.rng.IntN(5) {
		p.at(p.between(0, p.between(0, span)), func() { p.attempt(j) })
	}
}

func (p *pump) key() string {
	if p.chance(30) {
		return fmt.Sprintf("plain-%x", p.rng.Uint64())
	}
	made := p.now.Add(p.between(-maxClockSkew, maxClockSkew)).UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", made>>16, made&0xffff, p.rng.IntN(1<<12), p.rng.IntN(1<<12), p.rng.Int64N(1<<48))
}

func (p *pump) attempt(j *job) {
	n := p.nodes[p.rng.IntN(pumpNodes)]
	if !n.up || n.wakes.After(p.now) {
		return
	}
	id := fleet.RequestID(fmt.Sprintf("%016x", p.rng.Uint64()))
	o := &op{job: j, call: p.now, result: Result{Request: id}}
	p.ops[id] = o
	j.ops = append(j.ops, o)
	out := &wire.Outbox{}
	m := wire.Redeem{Ticket: j.ticket, Key: j.key, Workspace: pumpWS, Request: id, Digest: 1}
	if r, ok := n.client.Ask(p.now, m, p.now.Add(p.between(time.Second, 4*time.Second)), p, out); ok {
		p.decided(n, r)
	}
	p.flush(n, out)
}

func (p *pump) tick() {
	p.at(50*time.Millisecond, p.tick)
	for _, n := range p.nodes {
		if !n.up || n.wakes.After(p.now) {
			continue
		}
		out := &wire.Outbox{}
		for _, r := range n.client.Tick(p.now, p, out) {
			p.decided(n, r)
		}
		n.server.Tick(p.now, p, out)
		p.flush(n, out)
		if n.stopping {
			p.stopped(n)
		}
	}
	for slot := range p.homes {
		p.elect(slot)
	}
}

// stopped releases the slots of a stopping node and ends it once it handed over.
func (p *pump) stopped(n *node) {
	if n.server.Frozen() {
		p.release(n)
	}
	if done, _ := n.server.HandedOver(); done && p.chance(5) {
		p.exit(n)
	}
}

func (p *pump) release(n *node) {
	for slot := range p.homes {
		if p.homes[slot].node == n {
			p.homes[slot] = home{}
		}
	}
}

// exit ends a process. Its successor may start before or after it was delisted.
func (p *pump) exit(n *node) {
	n.up = false
	p.release(n)
	p.at(p.between(0, 5*time.Second), func() {
		if !n.up {
			n.listed = false
			p.relist()
		}
	})
	p.at(p.between(0, 20*time.Second), func() { p.start(n) })
}

// elect gives a slot without home to the next heir, rarely to another node.
func (p *pump) elect(slot int) {
	if p.homes[slot].node != nil || !p.chance(10) {
		return
	}
	id := p.SlotSuccessor(slot, nil)
	if p.chance(20) {
		id = p.nodes[p.rng.IntN(pumpNodes)].id
	}
	for _, n := range p.nodes {
		if n.id == id && n.up && !n.stopping {
			p.homes[slot] = home{n, n.incarnation, p.now}
		}
	}
}

// mishap freezes, crashes or stops a node, or moves a home.
func (p *pump) mishap() {
	p.at(p.between(100*time.Millisecond, time.Second), p.mishap)
	n := p.nodes[p.rng.IntN(pumpNodes)]
	if !n.up || n.wakes.After(p.now) {
		return
	}
	if p.chance(p.f.freeze) {
		n.wakes = p.now.Add(p.between(0, 15*time.Second))
		if p.chance(50) {
			p.release(n)
		}
	}
	if p.chance(p.f.crash) {
		p.exit(n)
	}
	if p.chance(p.f.stop) && n.up && !n.stopping {
		n.stopping = true
		p.relist()
		out := &wire.Outbox{}
		n.server.BeginHandover(p.now, p, out)
		p.flush(n, out)
	}
	if p.chance(p.f.reportGone) {
		p.nodes[p.rng.IntN(pumpNodes)].server.HolderGone(n.id) // whether that is true or not
	}
	if p.chance(p.f.moveHome) {
		p.homes[p.rng.IntN(len(p.homes))] = home{}
	}
}
