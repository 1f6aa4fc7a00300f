package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

// twoVersions gives half of the engines of a simulation another version.
func twoVersions(w *controltest.World) {
	for id, e := range w.Endpoints {
		if e.Service == llm && id <= "engine-4" {
			w.Publish(versioned(e, "v2"))
		}
	}
	w.Run(time.Second)
}

// TestEndpointsThatFailRequestsResumeStreams guards against refusing resumed streams of a service with two versions because all of
// its endpoints have failed requests, as seen by this gateway or by its peers: an endpoint that responds with a failure has not
// restarted, and it reports its incarnation before it gets a resumed request.
func TestEndpointsThatFailRequestsResumeStreams(t *testing.T) {
	for name, failingAt := range map[string]int{"failures of this gateway": 0, "failures of a peer": 1} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			twoVersions(w)
			n := w.Nodes[0]
			for range 10 {
				failRequestsEverywhere(w.Nodes[failingAt], w)
				w.Run(100 * time.Millisecond)
				for _, v := range []fleet.SoftwareVersion{"", "v2"} {
					p := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Version: origin.VersionOf(v)})
					if p.Attempt == nil {
						t.Fatalf("version %q: %s", v, p.Reason)
					}
					if !p.Attempt.ConfirmIncarnation {
						t.Errorf("version %q: the request is sent without a report of the endpoint", v)
					}
					n.State.AttemptEnded(w.Now(), p.Attempt, control.Cancelled)
				}
			}
		})
	}
}

// failRequestsEverywhere has each engine fail a request of a gateway.
func failRequestsEverywhere(n *controltest.Node, w *controltest.World) {
	for id, e := range w.Endpoints {
		if e.Service != llm {
			continue
		}
		p := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Among: []fleet.EndpointID{id}})
		if p.Attempt != nil {
			n.State.ResponseStarted(w.Now(), p.Attempt)
			n.State.AttemptEnded(w.Now(), p.Attempt, control.EndpointFailed)
		}
	}
}
