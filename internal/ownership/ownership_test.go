package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const testDC fleet.DataCentreID = "dc"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is a router of the simulated data centre.
type node struct {
	id     fleet.InstanceID
	inc    fleet.Incarnation
	state  *State
	usable map[fleet.InstanceID]bool // instances that are eligible in its view
	paused bool
}

func (m *node) Usable(id fleet.InstanceID) bool { return m.usable[id] }

// cluster simulates the routers of a data centre and a network that loses, duplicates and delays
// their messages.
type cluster struct {
	now      time.Time
	nodes    []*node
	view     *fleet.View
	rng      *rand.Rand
	inFlight []packet
	loss     float64
}

type packet struct {
	at       time.Time
	from, to int
	inc      fleet.Incarnation
	m        wire.Message
}

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{now: epoch, rng: rand.New(rand.NewPCG(seed, 0)), loss: 0.1}
	var in []fleet.Instance
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		in = append(in, fleet.Instance{ID: id, DataCentre: testDC})
		c.nodes = append(c.nodes, &node{id: id})
	}
	cfg := &fleet.Configuration{DataCentres: map[fleet.DataCentreID]fleet.DataCentre{testDC: {ID: testDC}}}
	ends := []fleet.Endpoint{{ID: "e0", DataCentre: testDC}, {ID: "e1", DataCentre: testDC}}
	c.view = fleet.NewView(cfg, &fleet.InstanceList{Instances: in}, &fleet.EndpointList{Endpoints: ends})
	for _, m := range c.nodes {
		c.restart(m)
	}
	return c
}

func (c *cluster) restart(m *node) {
	m.inc++
	m.paused = false
	m.state = New(c.now, m.id, testDC, m.inc)
	m.usable = map[fleet.InstanceID]bool{}
	for _, x := range c.nodes {
		m.usable[x.id] = true
	}
	m.state.Update(c.now, c.view, m)
}

// advance moves the simulated time forward by d, in steps of 50 ms.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(50 * time.Millisecond)
		c.deliver()
		for i, m := range c.nodes {
			if !m.paused && c.rng.IntN(10) == 0 {
				c.tick(i, m)
			}
		}
	}
}

func (c *cluster) tick(i int, m *node) {
	var out wire.Outbox
	var due []fleet.InstanceID
	for _, x := range c.nodes {
		due = append(due, x.id)
	}
	m.state.Tick(c.now, due, nil, &out)
	for _, o := range out.Messages {
		c.send(i, c.index(o.To), m.inc, o.Message)
	}
}

func (c *cluster) index(id fleet.InstanceID) int {
	for i, m := range c.nodes {
		if m.id == id {
			return i
		}
	}
	panic("no such node")
}

func (c *cluster) send(from, to int, inc fleet.Incarnation, m wire.Message) {
	for range 1 + c.rng.IntN(2) {
		if c.rng.Float64() >= c.loss {
			delay := time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))
			c.inFlight = append(c.inFlight, packet{c.now.Add(delay), from, to, inc, m})
		}
	}
}

func (c *cluster) deliver() {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, p := range inFlight {
		to := c.nodes[p.to]
		if p.at.After(c.now) || to.paused {
			c.inFlight = append(c.inFlight, p)
			continue
		}
		switch m := p.m.(type) {
		case wire.Claim:
			if ack, ok := to.state.OnClaim(c.now, c.nodes[p.from].id, p.inc, m); ok {
				c.send(p.to, p.from, to.inc, ack)
			}
		case wire.ClaimAck:
			to.state.OnAck(c.now, c.nodes[p.from].id, p.inc, m)
		}
	}
}

// check fails if the vote shares of an endpoint add up to more than one, or if two nodes own a key
// slot with a quorum.
func (c *cluster) check(t interface {
	Fatalf(format string, args ...any)
}) {
	for _, e := range c.view.Endpoints.Endpoints {
		sum := 0.0
		for _, m := range c.nodes {
			sum += m.state.VoteShare(c.now, EndpointResource(e.ID))
		}
		if sum > 1+1e-9 {
			t.Fatalf("vote shares of %s add up to %v", e.ID, sum)
		}
	}
	slotOwners := 0
	for _, m := range c.nodes {
		if _, ok := m.state.KeySlotOwnedSince(c.now, 7); ok {
			slotOwners++
		}
	}
	if slotOwners > 1 {
		t.Fatalf("%d owners of one key slot", slotOwners)
	}
}

// TestSharesNeverExceedOne checks that routers with different views of the eligible instances never
// hold more than all votes together, while routers are paused and restarted and messages are lost.
func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 7).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
		any := rapid.IntRange(0, len(c.nodes)-1)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m := c.nodes[any.Draw(t, "member")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.paused = !m.paused
			case 1:
				c.restart(m)
			case 2, 3:
				other := c.nodes[any.Draw(t, "other")]
				m.usable[other.id] = !m.usable[other.id]
				m.state.Update(c.now, c.view, m)
			}
			for range rapid.IntRange(1, 8).Draw(t, "quarters") {
				c.advance(250 * time.Millisecond)
				c.check(t)
			}
		}
	})
}

// TestAckOfEarlierIncarnationIsIgnored delivers the acknowledgement of a claim to the next incarnation of
// the claimant, which has sent a claim of its own since.
func TestAckOfEarlierIncarnationIsIgnored(t *testing.T) {
	c := newCluster(3, 1)
	c.loss = 0
	c.advance(6 * time.Second)
	res := EndpointResource("e0")
	owner := c.nodes[c.index(c.nodes[0].state.Owner(res))]
	voter := c.nodes[(c.index(owner.id)+1)%len(c.nodes)]
	c.restart(owner)                   // so that its next claim is the first one of an incarnation
	c.now = c.now.Add(2 * time.Second) // until the votes for the earlier incarnation have expired
	first := sendTo(t, c, owner, voter)
	ack, ok := voter.state.OnClaim(c.now, owner.id, owner.inc, first)
	if !ok {
		t.Fatal("the claim is not acknowledged")
	}
	c.restart(owner)
	sendTo(t, c, owner, voter)
	if got := owner.state.OnAck(c.now, voter.id, voter.inc, ack); len(got) != 0 {
		t.Errorf("%d votes for an earlier incarnation were counted", len(got))
	}
}

// sendTo returns the claim that a node sends to a peer.
func sendTo(t *testing.T, c *cluster, from, to *node) wire.Claim {
	t.Helper()
	var out wire.Outbox
	from.state.Tick(c.now, []fleet.InstanceID{to.id}, nil, &out)
	for _, o := range out.Messages {
		if o.To == to.id {
			return o.Message.(wire.Claim)
		}
	}
	t.Fatal("no claim was sent")
	return wire.Claim{}
}

// TestVoteSharesConvergeToOne checks that the owner of each endpoint obtains all votes after the
// start of the routers if no message is lost.
func TestVoteSharesConvergeToOne(t *testing.T) {
	c := newCluster(5, 1)
	c.loss = 0
	c.advance(6 * time.Second)
	for _, e := range c.view.Endpoints.Endpoints {
		sum := 0.0
		for _, m := range c.nodes {
			sum += m.state.VoteShare(c.now, EndpointResource(e.ID))
		}
		if sum < 1 {
			t.Errorf("vote shares of %s add up to %v after 6 s, want 1", e.ID, sum)
		}
	}
}

// TestReleasePassesOwnershipWithoutWaiting checks that the votes that a stopping owner releases can
// be granted to the next owner before they would have expired.
func TestReleasePassesOwnershipWithoutWaiting(t *testing.T) {
	c := newCluster(3, 1)
	c.loss = 0
	c.advance(6 * time.Second)
	res := EndpointResource("e0")
	old := c.nodes[c.index(c.nodes[0].state.Owner(res))]
	old.state.Stop(c.now)
	for _, m := range c.nodes {
		m.usable[old.id] = false
		m.state.Update(c.now, c.view, m)
	}
	c.tick(c.index(old.id), old)
	c.advance(450 * time.Millisecond) // all messages arrive within 400 ms
	next := c.nodes[c.index(c.nodes[0].state.Owner(res))]
	c.tick(c.index(next.id), next)
	c.advance(850 * time.Millisecond) // less than the 1.5 s for which the votes for the old owner are valid
	if got := next.state.VoteShare(c.now, res); got < 0.99 {
		t.Errorf("vote share of the next owner is %v, want 1", got)
	}
}
