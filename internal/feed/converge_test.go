package feed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// cluster is a simulation with random faults.
type cluster struct {
	*simulation
	replicas  []*platformReplica
	latest    *platformReplica
	rev       fleet.Revision
	restarted map[*node]map[*node][feedCount]fleet.Revision // for each restarted instance: revisions of the ready peers that it could reach
}

func newCluster(t *rapid.T) *cluster {
	dcs := rapid.IntRange(1, 3).Draw(t, "dcs")
	n := rapid.IntRange(1, 4).Draw(t, "n")
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), dcs, n, Options{MaxPushBytes: rapid.SampledFrom([]int{1, 4 << 10}).Draw(t, "push")})
	sim.loss = rapid.SampledFrom([]float64{0, 0.25}).Draw(t, "loss")
	sim.duplication = 0.2
	sim.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 150 * time.Millisecond}).Draw(t, "delay")
	c := &cluster{simulation: sim, rev: 1, latest: sim.nodes[0].replica, restarted: map[*node]map[*node][feedCount]fleet.Revision{}}
	for range 3 {
		r := *c.latest
		c.replicas = append(c.replicas, &r)
	}
	for i, nd := range sim.nodes {
		nd.replica = c.replicas[i%len(c.replicas)]
	}
	return c
}

// publishNew publishes new content. Only one replica of the platform returns it immediately.
func (c *cluster) publishNew(t *rapid.T) {
	c.rev++
	next := *c.latest
	next.config = testConfig(c.rev, 0)
	if rapid.Bool().Draw(t, "lists") {
		next.endpoints = testEndpoints(c.rev)
		next.instances = &fleet.InstanceList{Revision: c.rev, Instances: c.drawInstances(t)}
	}
	c.latest = &next
	c.updateReplica(t)
}

// drawInstances returns an instance list in which some instances are leaving or missing.
func (c *cluster) drawInstances(t *rapid.T) []fleet.Instance {
	var in []fleet.Instance
	for _, n := range c.nodes {
		switch rapid.IntRange(0, 5).Draw(t, string(n.id)) {
		case 0:
		case 1:
			in = append(in, fleet.Instance{ID: n.id, DataCentre: n.dc, Leaving: true})
		default:
			in = append(in, fleet.Instance{ID: n.id, DataCentre: n.dc})
		}
	}
	return in
}

// updateReplica copies the latest content to one replica and draws whether the replica is down.
func (c *cluster) updateReplica(t *rapid.T) {
	down := rapid.Bool().Draw(t, "down")
	r := rapid.SampledFrom(c.replicas).Draw(t, "replica")
	*r = *c.latest
	r.down = down
}

// publishConflict publishes different content at the latest revision on one replica.
func (c *cluster) publishConflict(t *rapid.T) {
	r := rapid.SampledFrom(c.replicas).Draw(t, "replica")
	r.config = testConfig(c.latest.config.Revision, rapid.IntRange(1, 3).Draw(t, "variant"))
}

func (c *cluster) restartOne(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	c.restart(n)
	reachable := map[*node][feedCount]fleet.Revision{}
	for _, peer := range c.nodes {
		if peer != n && peer.dc == n.dc && peer.state.Ready() && !c.partitioned(n, peer) {
			reachable[peer] = peer.lastRevisions
		}
	}
	c.restarted[n] = reachable
}

func (c *cluster) partition(t *rapid.T) {
	side := map[*node]bool{}
	byDC := rapid.Bool().Draw(t, "by data centre")
	for _, n := range c.nodes {
		side[n] = rapid.Bool().Draw(t, string(n.id))
		if byDC {
			side[n] = n.dc == "dc0"
		}
	}
	c.partitioned = func(a, b *node) bool { return side[a] != side[b] }
	c.dropUnreachable()
}

// dropUnreachable removes peers that a restarted instance cannot reach from those that it must catch
// up with.
func (c *cluster) dropUnreachable() {
	for n, reachable := range c.restarted {
		for peer := range reachable {
			if c.partitioned(n, peer) {
				delete(reachable, peer)
			}
		}
	}
}

// checkRestarted requires that a restarted instance, when it becomes ready, has at least the
// revisions that the listed, reachable peers of its data centre had when it restarted.
func (c *cluster) checkRestarted(t *rapid.T) {
	for n, reachable := range c.restarted {
		if !n.state.Ready() {
			continue
		}
		for peer, revisions := range reachable {
			if n.state.View().Instance(peer.id) == nil {
				continue
			}
			for f := range revisions {
				if n.lastRevisions[f] < revisions[f] && peer.state.Ready() && c.restarted[peer] == nil {
					t.Fatalf("%s is ready with feed %d at revision %d although %s had %d", n.id, f+1, n.lastRevisions[f], peer.id, revisions[f])
				}
			}
		}
		delete(c.restarted, n)
	}
}

// endFaults ends partitions and message loss and lists all instances again. Duplication and delay
// stay, and all replicas but one may be down.
func (c *cluster) endFaults(t *rapid.T) {
	c.partitioned = func(a, b *node) bool { return false }
	c.loss = 0
	c.rev++
	next := *c.latest
	next.instances = &fleet.InstanceList{Revision: c.rev}
	for _, n := range c.nodes {
		next.instances.Instances = append(next.instances.Instances, fleet.Instance{ID: n.id, DataCentre: n.dc})
	}
	*c.replicas[0] = next
	if rapid.Bool().Draw(t, "platform unreachable for all others") {
		for _, r := range c.replicas[1:] {
			r.down = true
		}
	}
}

func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		lossless := c.loss == 0
		actions := map[string]func(*rapid.T){
			"publish": c.publishNew, "refresh": c.updateReplica, "conflict": c.publishConflict,
			"restart": c.restartOne, "partition": c.partition,
			"end partition": func(*rapid.T) { c.partitioned = func(a, b *node) bool { return false } },
		}
		names := []string{"publish", "refresh", "conflict", "restart", "partition", "end partition"}
		for range rapid.IntRange(1, 25).Draw(t, "ops") {
			actions[rapid.SampledFrom(names).Draw(t, "op")](t)
			for range rapid.IntRange(0, 20).Draw(t, "time") {
				c.run(100 * time.Millisecond)
				if lossless {
					c.checkRestarted(t)
				}
			}
		}
		c.endFaults(t)
		if took, ok := c.runUntil(60*time.Second, c.converged); !ok {
			t.Fatalf("instances have not converged after %v:%s", took, c.describe())
		}
		if c.violation != "" {
			t.Fatal(c.violation)
		}
	})
}

func (c *cluster) describe() string {
	s := ""
	for _, n := range c.nodes {
		s += fmt.Sprintf("\n%s ready %v", n.id, n.state.Ready())
		for i := range n.state.feeds {
			s += fmt.Sprintf(" %d:%x", n.state.feeds[i].rev, n.state.feeds[i].hash)
		}
	}
	return s
}
