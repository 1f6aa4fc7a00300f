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

// member is one router of the test's data centre.
type member struct {
	id     fleet.InstanceID
	inc    fleet.Incarnation
	state  *State
	usable map[fleet.InstanceID]bool // what it believes of the others
	frozen bool
}

func (m *member) Usable(id fleet.InstanceID) bool { return m.usable[id] }

// cluster passes claims between members with loss, duplication and delay.
type cluster struct {
	now     time.Time
	members []*member
	view    *fleet.View
	rng     *rand.Rand
	flying  []packet
	loss    float64
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
		c.members = append(c.members, &member{id: id})
	}
	cfg := &fleet.Configuration{DataCentres: map[fleet.DataCentreID]fleet.DataCentre{testDC: {ID: testDC}}}
	ends := []fleet.Endpoint{{ID: "e0", DataCentre: testDC}, {ID: "e1", DataCentre: testDC}}
	c.view = fleet.NewView(cfg, &fleet.InstanceList{Instances: in}, &fleet.EndpointList{Endpoints: ends})
	for _, m := range c.members {
		c.restart(m)
	}
	return c
}

func (c *cluster) restart(m *member) {
	m.inc++
	m.frozen = false
	m.state = New(c.now, m.id, testDC)
	m.usable = map[fleet.InstanceID]bool{}
	for _, x := range c.members {
		m.usable[x.id] = true
	}
	m.state.Update(c.now, c.view, m)
}

// advance lets d pass in ticks.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(50 * time.Millisecond)
		c.deliver()
		for i, m := range c.members {
			if !m.frozen && c.rng.IntN(10) == 0 {
				c.tick(i, m)
			}
		}
	}
}

func (c *cluster) tick(i int, m *member) {
	var out wire.Outbox
	var due []fleet.InstanceID
	for _, x := range c.members {
		due = append(due, x.id)
	}
	m.state.Tick(c.now, due, nil, &out)
	for _, o := range out.Items {
		c.send(i, c.index(o.To), m.inc, o.Message)
	}
}

func (c *cluster) index(id fleet.InstanceID) int {
	for i, m := range c.members {
		if m.id == id {
			return i
		}
	}
	panic("no such member")
}

func (c *cluster) send(from, to int, inc fleet.Incarnation, m wire.Message) {
	for range 1 + c.rng.IntN(2) {
		if c.rng.Float64() >= c.loss {
			delay := time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))
			c.flying = append(c.flying, packet{c.now.Add(delay), from, to, inc, m})
		}
	}
}

func (c *cluster) deliver() {
	flying := c.flying
	c.flying = nil
	for _, p := range flying {
		to := c.members[p.to]
		if p.at.After(c.now) || to.frozen {
			c.flying = append(c.flying, p)
			continue
		}
		switch m := p.m.(type) {
		case wire.Claim:
			if ack, ok := to.state.OnClaim(c.now, c.members[p.from].id, p.inc, m); ok {
				c.send(p.to, p.from, to.inc, ack)
			}
		case wire.ClaimAck:
			to.state.OnAck(c.now, c.members[p.from].id, p.inc, m)
		}
	}
}

// check fails when would-be owners together exceed a resource, or when two are home to a slot.
func (c *cluster) check(t interface {
	Fatalf(format string, args ...any)
}) {
	for _, e := range c.view.Endpoints.Endpoints {
		sum := 0.0
		for _, m := range c.members {
			sum += m.state.VoteShare(c.now, EndpointResource(e.ID))
		}
		if sum > 1+1e-9 {
			t.Fatalf("shares of %s add up to %v", e.ID, sum)
		}
	}
	homes := 0
	for _, m := range c.members {
		if _, ok := m.state.KeySlotOwnedSince(c.now, 7); ok {
			homes++
		}
	}
	if homes > 1 {
		t.Fatalf("%d homes of one slot", homes)
	}
}

func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 7).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
		any := rapid.IntRange(0, len(c.members)-1)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m := c.members[any.Draw(t, "member")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.frozen = !m.frozen
			case 1:
				c.restart(m)
			case 2, 3:
				other := c.members[any.Draw(t, "other")]
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

func TestOwnerGetsTheWholeInTheEnd(t *testing.T) {
	c := newCluster(5, 1)
	c.loss = 0
	c.advance(6 * time.Second)
	for _, e := range c.view.Endpoints.Endpoints {
		sum := 0.0
		for _, m := range c.members {
			sum += m.state.VoteShare(c.now, EndpointResource(e.ID))
		}
		if sum < 1 {
			t.Errorf("shares of %s add up to %v after 6 s", e.ID, sum)
		}
	}
}

func TestReleasePassesOwnershipWithoutWaiting(t *testing.T) {
	c := newCluster(3, 1)
	c.loss = 0
	c.advance(6 * time.Second)
	res := EndpointResource("e0")
	old := c.members[c.index(c.members[0].state.Owner(res))]
	old.state.Stop(c.now)
	for _, m := range c.members {
		m.usable[old.id] = false
		m.state.Update(c.now, c.view, m)
	}
	c.tick(c.index(old.id), old)
	c.advance(450 * time.Millisecond) // all messages arrive within 400 ms
	next := c.members[c.index(c.members[0].state.Owner(res))]
	c.tick(c.index(next.id), next)
	c.advance(850 * time.Millisecond) // the backings of the old owner last 1.5 s
	if got := next.state.VoteShare(c.now, res); got < 0.99 {
		t.Errorf("share of the next owner is %v", got)
	}
}
