package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// outOfStep puts the first gateway of a simulation out of step with the others.
type outOfStep func(w *controltest.World)

func cutOff(fromPeers, fromStore bool) outOfStep {
	return func(w *controltest.World) {
		self := string(w.Nodes[0].ID)
		gateways := map[string]bool{}
		for _, n := range w.Nodes {
			gateways[string(n.ID)] = true
		}
		w.Partitioned = func(a, b string) bool {
			if a != self && b != self {
				return false
			}
			return fromPeers && gateways[a] && gateways[b] || fromStore && (a == controltest.StoreName || b == controltest.StoreName)
		}
	}
}

func paused(d time.Duration) outOfStep {
	return func(w *controltest.World) { w.Nodes[0].Pause(d) }
}

// resumesOutOfStep puts a gateway out of step, has engines of another version join after a time, lets streams begin there through
// other gateways, and resumes them at the first gateway. It returns the number of those that went on, and of those with two versions.
func resumesOutOfStep(t *testing.T, disturb outOfStep, joinAfter time.Duration) (resumed, wentOn, mixed int) {
	w := smallFleet(t, func(w *controltest.World) {
		w.Options = func(o *control.Options) { o.FirstStart = true }
		for _, n := range w.Nodes {
			n.Start()
		}
	})
	w.Run(time.Second)
	disturb(w)
	w.Run(joinAfter)
	for i := range 9 {
		w.Publish(versioned(engine(100+i, "a"), "v2"))
	}
	for range 60 {
		w.Run(30 * time.Millisecond)
		st := w.NewStream(fleet.RequestID("stream-" + w.Elapsed().String()))
		w.Nodes[1+w.Rand().IntN(len(w.Nodes)-1)].OpenStream(chatRequest, st, func(ok bool, _ control.Reason) {
			if !ok || !st.Versions["v2"] {
				return
			}
			w.After(5*time.Millisecond, func() {
				resumed++
				w.Nodes[0].OpenStream(chatRequest, st, func(ok bool, _ control.Reason) {
					if ok {
						wentOn++
					}
					if len(st.Versions) > 1 {
						mixed++
					}
				})
			})
		})
	}
	w.Run(8 * time.Second)
	return resumed, wentOn, mixed
}

// TestGatewayOutOfStepResumesNoStreamAtAnotherVersion guards against streams of two versions from a gateway that takes a service for
// one of a single version although engines of another one have just joined, because it has not heard of them.
func TestGatewayOutOfStepResumesNoStreamAtAnotherVersion(t *testing.T) {
	for name, disturb := range map[string]outOfStep{
		"in step":            func(*controltest.World) {},
		"cut off from peers": cutOff(true, false),
		"cut off from store": cutOff(false, true),
		"cut off from both":  cutOff(true, true),
		"paused for 0.4 s":   paused(400 * time.Millisecond),
		"paused for 0.9 s":   paused(900 * time.Millisecond),
		"paused for 3 s":     paused(3 * time.Second),
		"messages are lost":  func(w *controltest.World) { w.Loss = 0.3 },
	} {
		t.Run(name, func(t *testing.T) {
			all, on, two := 0, 0, 0
			for after := time.Duration(0); after < 1500*time.Millisecond; after += 100 * time.Millisecond {
				resumed, wentOn, mixed := resumesOutOfStep(t, disturb, after)
				all, on, two = all+resumed, on+wentOn, two+mixed
			}
			t.Logf("%d of %d went on", on, all)
			if two > 0 {
				t.Errorf("%d of %d streams hold events of two versions", two, all)
			}
		})
	}
}

// TestOwnStreamOutOfStep guards against a stream of two versions inside one answer, at a gateway out of step: the endpoint was restarted with
// another version, unseen by the gateway, before the stream began there, and then ends.
func TestOwnStreamOutOfStep(t *testing.T) {
	for name, disturb := range map[string]outOfStep{
		"cut off from store":           cutOff(false, true),
		"cut off from peers and store": cutOff(true, true),
		"in step, cut-off endpoint":    func(*controltest.World) {},
	} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			n, e := w.Nodes[0], w.Endpoints["engine-3"]
			disturb(w)
			e.Crash()
			w.Run(5 * time.Millisecond)
			e.Down, e.Version, e.Incarnation = false, "v2", incarnationNow(w)
			w.Run(100 * time.Millisecond)
			p := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Among: []fleet.EndpointID{e.ID}})
			if p.Attempt == nil {
				t.Fatal(p.Reason)
			}
			w.Run(100 * time.Millisecond)
			n.State.StreamStarted(w.Now(), "stream", p.Attempt, time.Minute)
			w.Run(300 * time.Millisecond)
			l := n.State.LookUpOwnStream(w.Now(), "stream") // the stream is silent: its endpoint still runs
			w.Run(time.Second)
			if !l.Ended() || l.Version != 0 {
				t.Errorf("the stream may go on at version %d", l.Version)
			}
			e.Crash()
			n.State.AttemptEnded(w.Now(), p.Attempt, control.ResponseBroken)
			next := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Stream: "stream"})
			if next.Attempt != nil {
				t.Errorf("the stream goes on at %s, version %q", next.Attempt.Endpoint, next.Attempt.Version)
			}
		})
	}
}

// TestPeerOutOfStepTeachesNoVersion guards against a version inferred from what a peer out of step knows: it knows the versions only until its
// last copy of the store, which is older than the first one of the gateway that asks.
func TestPeerOutOfStepTeachesNoVersion(t *testing.T) {
	w := smallFleet(t, func(w *controltest.World) {
		w.Options = func(o *control.Options) { o.FirstStart = true }
		for _, n := range w.Nodes {
			n.Start()
		}
	})
	w.Run(time.Second)
	w.Options = nil
	stale := w.Nodes[0]
	cut := true
	w.Partitioned = func(a, b string) bool {
		return cut && (a == string(stale.ID) || b == string(stale.ID)) // from all
	}
	// Meanwhile engines of another version serve and leave, and the other gateways are killed.
	w.Run(500 * time.Millisecond)
	for i := range 3 {
		w.Publish(versioned(newEngine(w, 100+i), "v2"))
	}
	w.Run(time.Second)
	for i := range 3 {
		id := fleet.EndpointID(fmt.Sprintf("engine-%d", 100+i))
		w.Endpoints[id].Crash()
		w.Remove(id)
	}
	for _, n := range w.Nodes[1:] {
		n.RestartAfter(time.Second)
	}
	w.DropHistory()
	w.Run(1100 * time.Millisecond)
	cut = false // the gateway out of step is back when the others have just started
	st := w.NewStream("stream")
	st.Versions["v2"] = true
	for range 20 {
		w.Run(40 * time.Millisecond)
		for _, n := range w.Nodes[1:] {
			n.OpenStream(chatRequest, st, func(bool, control.Reason) {})
		}
	}
	w.Run(2 * time.Second)
	if len(st.Versions) > 1 {
		t.Errorf("a stream of %v goes on", st.Versions)
	}
}
