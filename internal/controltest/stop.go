package controltest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
)

// Times of a planned stop, as in package gateway.
const (
	balancerDrainDelay = 2500 * time.Millisecond
	stopReserve        = 600 * time.Millisecond
	stopPoll           = 20 * time.Millisecond
)

// StopTime returns how long a planned stop lasts at most.
func StopTime(grace time.Duration) time.Duration { return grace - stopReserve }

// Accepts reports whether a request can reach the gateway on a kept connection.
func (n *Node) Accepts() bool { return n.State != nil && !n.closed }

// Kill kills the process and starts a new one after d. The calls that it handles end.
func (n *Node) Kill(d time.Duration) {
	n.endCalls(GatewayKilled)
	n.RestartAfter(d)
}

// StopPlanned stops the process as planned and starts a new one after d. Requests still reach it for
// balancerDrainDelay. It ends once it handles no more calls, or shortly before the end of the grace period.
func (n *Node) StopPlanned(grace, d time.Duration) {
	process := n.incarnation
	n.run(func() { n.State.Stop(n.World.Now()) })
	end := n.World.Elapsed() + StopTime(grace)
	var poll func()
	poll = func() {
		if n.incarnation != process {
			return
		}
		n.closed = true
		if len(n.calls) > 0 && n.World.Elapsed() < end {
			n.World.After(stopPoll, poll)
			return
		}
		n.endCalls(CutAtStop)
		n.RestartAfter(d)
	}
	n.World.After(balancerDrainDelay, poll)
}

// endCalls ends all calls because the process ends.
func (n *Node) endCalls(e CallEnd) {
	calls := slices.SortedFunc(maps.Keys(n.calls), func(a, b *call) int { return cmp.Compare(a.ID, b.ID) })
	for _, c := range calls {
		if c.attempt != nil {
			c.AtWork = c.attempt.running
			c.attempt.close(control.Cancelled)
		}
		c.end(e, control.ReasonNone)
	}
}
