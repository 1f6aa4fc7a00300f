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

// platformReplica holds the content that one replica of the platform returns.
type platformReplica struct {
	down      bool
	config    *fleet.Configuration
	instances *fleet.InstanceList
	endpoints *fleet.EndpointList
}

// node is a simulated instance.
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

// simulation passes encoded frames between instances in virtual time, with loss, duplication and
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

// newSimulation returns dcs data centres of n instances each, all with empty feeds.
func newSimulation(seed uint64, dcs, n int, opts Options) *simulation {
	s := &simulation{
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
			s.nodes, s.byID[id] = append(s.nodes, nd), nd
			s.restart(nd)
		}
	}
	return s
}

func (s *simulation) restart(n *node) {
	opts := s.opts
	opts.Usable = func(id fleet.InstanceID) bool {
		peer := s.byID[id]
		return peer.dc != n.dc || !peer.down && !s.partitioned(n, peer)
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
func (s *simulation) transmit(n *node, out *wire.Outbox) {
	for _, o := range out.Messages {
		raw, err := wire.Encode(wire.Frame{Header: n.header(), Message: o.Message})
		if err != nil {
			panic(err)
		}
		s.send(n, o.To, raw)
	}
}

func (s *simulation) send(n *node, to fleet.InstanceID, raw []byte) {
	n.sent += len(raw)
	peer := s.byID[to]
	if peer == nil || peer.down || s.partitioned(n, peer) || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		d := time.Duration(s.rng.Int64N(int64(s.delay) + 1))
		s.enqueue(packet{at: s.now.Add(d), from: n.id, to: to, raw: raw})
	}
}

// enqueue inserts a packet in order of arrival time.
func (s *simulation) enqueue(pkt packet) {
	i := sort.Search(len(s.inFlight), func(i int) bool { return s.inFlight[i].at.After(pkt.at) })
	s.inFlight = slices.Insert(s.inFlight, i, pkt)
}

// run advances the time by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// runUntil advances the time until the condition holds and returns the time taken.
func (s *simulation) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	start := s.now
	for !cond() {
		if s.now.Sub(start) >= limit {
			return limit, false
		}
		s.step()
	}
	return s.now.Sub(start), true
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.steps++
	s.deliver()
	for i, n := range s.nodes {
		if n.down {
			continue
		}
		phase := (s.steps + i) * int(simStep)
		if phase%int(tickInterval) == 0 {
			s.tick(n)
		}
		if phase%int(platformReadInterval) == 0 && !n.replica.down && n.state.IsReader(s.now) {
			s.readPlatform(n)
		}
		if phase%int(heartbeatPeriod(len(n.state.view.InstancesIn(n.dc)))) == 0 {
			s.heartbeat(n)
		}
		s.checkRevisions(n)
	}
}

func heartbeatPeriod(n int) time.Duration { return 500 * time.Millisecond * time.Duration(max(n, 9)/9) }

// deliver delivers the packets that are due. Replies sent on delivery may arrive within the same
// step.
func (s *simulation) deliver() {
	for len(s.inFlight) > 0 && !s.inFlight[0].at.After(s.now) {
		pkt := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		if to := s.byID[pkt.to]; !to.down {
			s.receive(to, pkt)
		}
	}
}

func (s *simulation) receive(n *node, pkt packet) {
	f, err := wire.Decode(pkt.raw)
	if err != nil {
		panic(err)
	}
	if f.Message.Kind() != wire.KindClaim {
		n.received += len(pkt.raw)
	}
	var out wire.Outbox
	n.state.OnHeader(pkt.at, pkt.from, f.Header, &out)
	switch m := f.Message.(type) {
	case wire.FeedPull:
		n.state.OnPull(pkt.at, pkt.from, m, &out)
	case wire.FeedPush:
		n.state.OnPush(pkt.at, pkt.from, m, &out)
	}
	now := s.now
	s.now = pkt.at
	s.transmit(n, &out)
	s.now = now
}

func (s *simulation) tick(n *node) {
	var out wire.Outbox
	n.state.Tick(s.now, &out)
	s.transmit(n, &out)
}

// readPlatform offers the content of the instance's replica of the platform if it has changed.
func (s *simulation) readPlatform(n *node) {
	n.platformReads++
	if n.lastRead == *n.replica {
		return
	}
	n.lastRead = *n.replica
	var out wire.Outbox
	n.state.OfferInstances(s.now, n.replica.instances, &out)
	n.state.OfferEndpoints(s.now, n.replica.endpoints, &out)
	n.state.OfferConfig(s.now, n.replica.config, &out)
	s.transmit(n, &out)
}

// heartbeat sends the messages of the other components, which carry the feeds' revisions in their
// headers. They do not count as traffic of the feeds.
func (s *simulation) heartbeat(n *node) {
	raw, err := wire.Encode(wire.Frame{Header: n.header(), Message: wire.Claim{}})
	if err != nil {
		panic(err)
	}
	before := n.sent
	for _, in := range n.state.view.InstancesIn(n.dc) {
		if in.ID != n.id {
			s.send(n, in.ID, raw)
		}
	}
	n.sent = before
}

// checkRevisions records a violation if a revision decreased within one incarnation of an instance.
func (s *simulation) checkRevisions(n *node) {
	c, i, e := n.state.Revisions()
	for f, rev := range [feedCount]fleet.Revision{c, i, e} {
		if rev < n.lastRevisions[f] && s.violation == "" {
			s.violation = fmt.Sprintf("%s: revision of feed %d went from %d to %d", n.id, f+1, n.lastRevisions[f], rev)
		}
		n.lastRevisions[f] = rev
	}
}

// converged reports whether all running instances are ready and have the same content, at a
// configuration revision not below that of any reachable replica of the platform.
func (s *simulation) converged() bool {
	var want *State
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		if want == nil {
			want = n.state
		}
		if !n.state.Ready() || !sameContent(want, n.state) {
			return false
		}
		c := want.feeds[0].rev
		if !n.replica.down && c < n.replica.config.Revision {
			return false
		}
	}
	return true
}

func sameContent(a, b *State) bool {
	for i := range a.feeds {
		if a.feeds[i].rev != b.feeds[i].rev || a.feeds[i].hash != b.feeds[i].hash {
			return false
		}
	}
	return true
}

// testConfig returns a configuration whose content depends on revision and variant.
func testConfig(rev fleet.Revision, variant int) *fleet.Configuration {
	c := &fleet.Configuration{
		Revision:              rev,
		Plans:                 map[fleet.PlanID]fleet.Plan{"basic": {ID: "basic", Models: []fleet.ModelID{"m"}}},
		DataCentres:           map[fleet.DataCentreID]fleet.DataCentre{"dc0": {ID: "dc0", Region: "west", OutOfService: rev%2 == 0}},
		Workspaces:            map[fleet.WorkspaceID]fleet.Workspace{},
		EndpointsOutOfService: map[fleet.EndpointID]bool{},
	}
	for i := range 10 {
		id := fleet.WorkspaceID(fmt.Sprintf("W%d", i))
		c.Workspaces[id] = fleet.Workspace{ID: id, Plan: "basic", KeyHashes: []string{"00", fmt.Sprintf("%04x", i)}}
	}
	c.EndpointsOutOfService[fleet.EndpointID(fmt.Sprintf("e%d", (int(rev)+variant)%5))] = true
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
			w.KeyHashes = append(w.KeyHashes, fmt.Sprintf("%064x", i*1000+k))
		}
		c.Workspaces[id] = w
	}
	return c
}
