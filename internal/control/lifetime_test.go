package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestStreamOutlivesAShorterTimeout guards against forgetting at which version a running stream began because a configuration with
// shorter timeouts was published after its request was admitted.
func TestStreamOutlivesAShorterTimeout(t *testing.T) {
	const timeout = time.Minute
	w := controltest.New(seed)
	w.Options = func(o *control.Options) { o.SeedCount = 0 }
	w.AddNode("a", 1)
	long, short := config(1, "key"), config(2, "key")
	long.Routes[0].Timeout, short.Routes[0].Timeout = timeout, time.Second
	w.Write(publishedtest.Config(long))
	for n, v := range []string{"v1", "v1", "v2", "v2"} {
		w.Publish(versioned(engine(n+1, "a"), fleet.SoftwareVersion(v)))
	}
	w.Run(convergenceTime)
	st := w.Nodes[0].State
	ad := st.Admit(w.Now(), control.AdmissionRequest{Host: "h", Path: "/chat/x", APIKey: "key"})
	deadline := w.Now().Add(ad.Timeout)
	p := st.Place(w.Now(), control.PlacementRequest{Service: ad.Service})
	w.Write(publishedtest.Config(short))
	w.Run(time.Second)
	st.StreamStarted(w.Now(), "stream", p.Attempt, deadline.Sub(w.Now()))
	w.Run(timeout / 2)
	st.AttemptEnded(w.Now(), p.Attempt, control.ResponseBroken)
	st.LookUpOwnStream(w.Now(), "stream")
	w.Run(time.Second) // the endpoint is asked for its incarnation
	next := st.Place(w.Now(), control.PlacementRequest{Service: ad.Service, Stream: "stream"})
	if next.Reason != control.ReasonNone || next.Attempt.Version != p.Attempt.Version {
		t.Errorf("the stream cannot go on after %v of %v: %v", timeout/2, timeout, next.Reason)
	}
}
