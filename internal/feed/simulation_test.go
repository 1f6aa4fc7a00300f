package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	simStep              = 10 * time.Millisecond
	tickInterval         = 50 * time.Millisecond
	platformReadInterval = 100 * time.Millisecond
)

// platformReplica holds the values that one replica of the platform returns.
type platformReplica struct {
	down      bool
	config    *fleet.Configuration
	instances *fleet.InstanceList
	endpoints *fleet.EndpointList
}

type node struct {
	id            fleet.InstanceID
	dc            fleet.DataCentreID
	state         *State
	incarnation   fleet.Incarnation
	down          bool
	replica       *platformReplica
	lastRead      platformReplica
	sent          int // bytes
	received      int
	platformReads int
	lastRevisions [feedCount]fleet.Revision
}

type packet struct {
	at       time.Time
	from, to fleet.InstanceID
	raw      []byte
}

// simulation passes encoded frames between processes in virtual time, with loss, duplication and
// delay.
type simulation struct {
	now               time.Time
	rng               *rand.Rand
	nodes             []*node
	byID              map[fleet.InstanceID]*node
	inFlight          []packet
	loss, duplication float64
	delay             time.Duration
	partitioned       func(a, b *node) bool
	opts              Options
	steps             int
	violation         string // first violated invariant
}

// newSimulation returns dcs data centres of n instances each, all without values.
func newSimulation(seed uint64, dcs, n int, opts Options) *simulation {
	p := &simulation{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byID: map[fleet.InstanceID]*node{}, delay: 2 * time.Millisecond, opts: opts,
		partitioned: func(a, b *node) bool { return false },
	}
	replica := &platformReplica{instances: &fleet.InstanceList{Revision: 1}, endpoints: testEndpoints(1), config: testConfig(1, 0)}
	for d := range dcs {
		for i := range n {
			id := fleet.InstanceID(fmt.Sprintf("r%d-%03d", d, i))
			dc := fleet.DataCentreID(fmt.Sprintf("dc%d", d))
			nd := &node{id: id, dc: dc, replica: replica}
			replica.instances.Instances = append(replica.instances.Instances, fleet.Instance{ID: id, DataCentre: dc, PeerAddr: "127.0.0.1:1"})
			p.nodes, p.byID[id] = append(p.nodes, nd), nd
			p.restart(nd)
		}
	}
	return p
}

func (p *simulation) restart(n *node) {
	opts := p.opts
	opts.Usable = func(id fleet.InstanceID) bool {
		peer := p.byID[id]
		return peer.dc != n.dc || !peer.down && !p.partitioned(n, peer)
	}
	n.state = New(n.id, n.dc, opts)
	n.incarnation++
	n.lastRead = platformReplica{}
	n.lastRevisions = [feedCount]fleet.Revision{}
}

func (n *node) header() wire.Header {
	c, i, e := n.state.Revisions()
	return wire.Header{Incarnation: n.incarnation, Config: c, Instances: i, Endpoints: e}
}

// transmit sends the messages of an outbox.
func (p *simulation) transmit(n *node, out *wire.Outbox) {
	for _, o := range out.Items {
		raw, err := wire.Encode(wire.Frame{Header: n.header(), Message: o.Message})
		if err != nil {
			panic(err)
		}
		p.send(n, o.To, raw)
	}
}

func (p *simulation) send(n *node, to fleet.InstanceID, raw []byte) {
	n.sent += len(raw)
	peer := p.byID[to]
	if peer == nil || peer.down || p.partitioned(n, peer) || p.rng.Float64() < p.loss {
		return
	}
	copies := 1
	if p.rng.Float64() < p.duplication {
		copies = 2
	}
	for range copies {
		d := time.Duration(p.rng.Int64N(int64(p.delay) + 1))
		p.enqueue(packet{at: p.now.Add(d), from: n.id, to: to, raw: raw})
	}
}

// enqueue inserts a packet in order of arrival time.
func (p *simulation) enqueue(k packet) {
	i := sort.Search(len(p.inFlight), func(i int) bool { return p.inFlight[i].at.After(k.at) })
	p.inFlight = slices.Insert(p.inFlight, i, k)
}

// run advances the time by d.
func (p *simulation) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step()
	}
}

// runUntil advances the time until the condition holds and returns the time taken.
func (p *simulation) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	start := p.now
	for !cond() {
		if p.now.Sub(start) >= limit {
			return limit, false
		}
		p.step()
	}
	return p.now.Sub(start), true
}

func (p *simulation) step() {
	p.now = p.now.Add(simStep)
	p.steps++
	p.deliver()
	for i, n := range p.nodes {
		if n.down {
			continue
		}
		phase := (p.steps + i) * int(simStep)
		if phase%int(tickInterval) == 0 {
			p.tick(n)
		}
		if phase%int(platformReadInterval) == 0 && !n.replica.down && n.state.IsReader(p.now) {
			p.publish(n)
		}
		if phase%int(heartbeatPeriod(len(n.state.view.InstancesIn(n.dc)))) == 0 {
			p.heartbeat(n)
		}
		p.checkRevisions(n)
	}
}

func heartbeatPeriod(n int) time.Duration { return 500 * time.Millisecond * time.Duration(max(n, 9)/9) }

// deliver delivers the packets that are due. Replies sent on delivery may arrive within the same
// step.
func (p *simulation) deliver() {
	for len(p.inFlight) > 0 && !p.inFlight[0].at.After(p.now) {
		k := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		if to := p.byID[k.to]; !to.down {
			p.receive(to, k)
		}
	}
}

func (p *simulation) receive(n *node, k packet) {
	f, err := wire.Decode(k.raw)
	if err != nil {
		panic(err)
	}
	if f.Message.Kind() != wire.KindClaim {
		n.received += len(k.raw)
	}
	var out wire.Outbox
	n.state.OnHeader(k.at, k.from, f.Header, &out)
	switch m := f.Message.(type) {
	case wire.FeedPull:
		n.state.OnPull(k.at, k.from, m, &out)
	case wire.FeedPush:
		n.state.OnPush(k.at, k.from, m, &out)
	}
	now := p.now
	p.now = k.at
	p.transmit(n, &out)
	p.now = now
}

func (p *simulation) tick(n *node) {
	var out wire.Outbox
	n.state.Tick(p.now, &out)
	p.transmit(n, &out)
}

func (p *simulation) publish(n *node) {
	n.platformReads++
	if n.lastRead == *n.replica {
		return
	}
	n.lastRead = *n.replica
	var out wire.Outbox
	n.state.PublishInstances(p.now, n.replica.instances, &out)
	n.state.PublishEndpoints(p.now, n.replica.endpoints, &out)
	n.state.PublishConfig(p.now, n.replica.config, &out)
	p.transmit(n, &out)
}

// heartbeat sends the messages of the other components, which carry the feeds' revisions in their
// headers. They do not count as traffic of the feeds.
func (p *simulation) heartbeat(n *node) {
	raw, err := wire.Encode(wire.Frame{Header: n.header(), Message: wire.Claim{}})
	if err != nil {
		panic(err)
	}
	before := n.sent
	for _, in := range n.state.view.InstancesIn(n.dc) {
		if in.ID != n.id {
			p.send(n, in.ID, raw)
		}
	}
	n.sent = before
}

// checkRevisions records a violation if a revision decreased within one run of a process.
func (p *simulation) checkRevisions(n *node) {
	c, i, e := n.state.Revisions()
	for f, rev := range [feedCount]fleet.Revision{c, i, e} {
		if rev < n.lastRevisions[f] && p.violation == "" {
			p.violation = fmt.Sprintf("%s: revision of feed %d went from %d to %d", n.id, f+1, n.lastRevisions[f], rev)
		}
		n.lastRevisions[f] = rev
	}
}

// converged reports whether all running processes are ready and have the same content, at a
// configuration revision not below that of any reachable replica of the platform.
func (p *simulation) converged() bool {
	var want *State
	for _, n := range p.nodes {
		if n.down {
			continue
		}
		if want == nil {
			want = n.state
		}
		if !n.state.Ready() || !sameContent(want, n.state) {
			return false
		}
		c := want.values[0].rev
		if !n.replica.down && c < n.replica.config.Revision {
			return false
		}
	}
	return true
}

func sameContent(a, b *State) bool {
	for i := range a.values {
		if a.values[i].rev != b.values[i].rev || a.values[i].hash != b.values[i].hash {
			return false
		}
	}
	return true
}

// testConfig returns a configuration whose content depends on revision and variant.
func testConfig(rev fleet.Revision, variant int) *fleet.Configuration {
	c := &fleet.Configuration{
		Revision:     rev,
		Plans:        map[fleet.PlanID]fleet.Plan{"basic": {ID: "basic", Models: []fleet.ModelID{"m"}}},
		DataCentres:  map[fleet.DataCentreID]fleet.DataCentre{"dc0": {ID: "dc0", Region: "west", Out: rev%2 == 0}},
		Workspaces:   map[fleet.WorkspaceID]fleet.Workspace{},
		EndpointsOut: map[fleet.EndpointID]bool{},
	}
	for i := range 10 {
		id := fleet.WorkspaceID(fmt.Sprintf("W%d", i))
		c.Workspaces[id] = fleet.Workspace{ID: id, Plan: "basic", KeyHash: []string{"00", fmt.Sprintf("%04x", i)}}
	}
	c.EndpointsOut[fleet.EndpointID(fmt.Sprintf("e%d", (int(rev)+variant)%5))] = true
	return c
}

func testEndpoints(rev fleet.Revision) *fleet.EndpointList {
	return &fleet.EndpointList{Revision: rev, Endpoints: []fleet.Endpoint{
		{ID: "e1", DataCentre: "dc0", Kind: fleet.Engine, Model: "m", Capacity: int(rev)},
	}}
}

// largeConfig returns a configuration of about a megabyte: workspaces with many keys.
func largeConfig(rev fleet.Revision) *fleet.Configuration {
	c := testConfig(rev, 0)
	for i := range 320 {
		id := fleet.WorkspaceID(fmt.Sprintf("W%03d", i))
		w := fleet.Workspace{ID: id, Plan: "basic"}
		for k := range 40 {
			w.KeyHash = append(w.KeyHash, fmt.Sprintf("%064x", i*1000+k))
		}
		c.Workspaces[id] = w
	}
	return c
}
