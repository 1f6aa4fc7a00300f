package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

const (
	rejoinKillAt = 45 * time.Second
	rejoinDown   = 2600 * time.Millisecond
)

// llmEngines returns the engines of a simulation that run a version.
func llmEngines(w *controltest.World, v fleet.SoftwareVersion) []*controltest.Endpoint {
	var out []*controltest.Endpoint
	for n := range 200 {
		if e := w.Endpoints[fleet.EndpointID(fmt.Sprintf("engine-%d", n))]; e != nil && e.Version == v && !e.Down {
			out = append(out, e)
		}
	}
	return out
}

// incarnationNow returns the incarnation of an engine that starts now.
func incarnationNow(w *controltest.World) fleet.Incarnation {
	return fleet.Incarnation(w.Wall().UnixMilli())
}

// newEngine returns an engine that starts now.
func newEngine(w *controltest.World, n int) *controltest.Endpoint {
	e := engine(n, "a")
	e.Incarnation = incarnationNow(w)
	return e
}

// leave ends the engines of a version and deletes their entries.
func leave(w *controltest.World, v fleet.SoftwareVersion) {
	for _, e := range llmEngines(w, v) {
		e.Crash()
		w.Remove(e.ID)
	}
}

// rejoinLoad sends streams through a fleet of which all gateways are killed at rejoinKillAt and start again, and resumes the streams
// that were there. prepare is called at the start, and may change what happens around the kill.
func rejoinLoad(t *testing.T, prepare func(w *controltest.World, at func(time.Duration, func()))) *streamLoad {
	w := smallFleet(t)
	at := func(d time.Duration, f func()) { w.After(d-w.Elapsed(), f) }
	prepare(w, at)
	w.Run(rejoinKillAt - 10*time.Second - w.Elapsed())
	l := newStreamLoad(w)
	// Each stream that began in the last seconds before the kill is resumed once after it.
	l.resumeAt = func() time.Duration {
		return rejoinKillAt + rejoinDown + 800*time.Millisecond + time.Duration(w.Rand().Int64N(int64(time.Second))) - w.Elapsed()
	}
	l.run(30, rejoinKillAt)
	at(rejoinKillAt, func() {
		for _, n := range w.Nodes {
			n.RestartAfter(rejoinDown)
		}
	})
	w.Run(rejoinKillAt + 20*time.Second - w.Elapsed())
	t.Logf("%d streams, %d of %d resumes went on, refused: %v, two versions: %d", l.started, l.wentOn, l.resumed, l.reasons, l.mixed)
	return l
}

// TestStreamsAreNotRejoinedAfterAKillOfAllGateways guards against streams of two versions: after all gateways were killed, none of them
// has seen the version that served beside the present one and left while no gateway ran, or before.
func TestStreamsAreNotRejoinedAfterAKillOfAllGateways(t *testing.T) {
	for name, prepare := range map[string]func(w *controltest.World, at func(time.Duration, func())){
		"a version leaves while no gateway runs": func(w *controltest.World, at func(time.Duration, func())) {
			twoVersions(w)
			at(rejoinKillAt+time.Second, func() { leave(w, "v2") })
		},
		"a version left just before": func(w *controltest.World, at func(time.Duration, func())) {
			twoVersions(w)
			at(rejoinKillAt-time.Second, func() { leave(w, "v2") })
		},
		"a version left before, and the history is gone": func(w *controltest.World, at func(time.Duration, func())) {
			twoVersions(w)
			at(rejoinKillAt-time.Second, func() { leave(w, "v2") })
			at(rejoinKillAt+time.Second, w.DropHistory)
		},
		"all engines are listed after the start": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt+time.Second, func() { leave(w, "") })
			at(rejoinKillAt+rejoinDown+500*time.Millisecond, func() {
				for n := range 9 {
					w.Publish(versioned(newEngine(w, 100+n), "v2"))
				}
			})
		},
		"engines are replaced under their IDs": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt+time.Second, func() {
				for _, e := range llmEngines(w, "") {
					e.Crash()
					e.Down = false
					e.Version, e.Incarnation = "v2", incarnationNow(w)
					w.Publish(e)
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := rejoinLoad(t, prepare)
			if l.mixed > 0 {
				t.Errorf("%d of %d streams hold events of two versions", l.mixed, l.resumed)
			}
			if l.resumed < 12 {
				t.Errorf("only %d streams were resumed", l.resumed)
			}
		})
	}
}

// TestStreamsOfOneVersionGoOnAfterAKillOfAllGateways guards against refusing resumed streams because no gateway has run for long, while
// the service has had one version.
func TestStreamsOfOneVersionGoOnAfterAKillOfAllGateways(t *testing.T) {
	for name, prepare := range map[string]func(w *controltest.World, at func(time.Duration, func())){
		"all engines stay": func(*controltest.World, func(time.Duration, func())) {},
		"an engine crashed a while ago": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt-30*time.Second, func() { w.Endpoints["engine-3"].Crash(); w.Remove("engine-3") })
			at(rejoinKillAt-29*time.Second, func() { w.Publish(newEngine(w, 50)) })
		},
		"an engine is added": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt-3*time.Second, func() { w.Publish(newEngine(w, 50)) })
		},
		"an engine is replaced as planned": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt-6*time.Second, func() { w.Publish(newEngine(w, 50)) })
			at(rejoinKillAt-4*time.Second, func() {
				e := w.Endpoints["engine-3"]
				e.Leaving = true
				w.Publish(e)
			})
			at(rejoinKillAt+time.Second, func() { w.Remove("engine-3") })
		},
		"the configuration changes": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt-3*time.Second, func() { w.Write(publishedtest.Config(config(2, "key"))) })
			at(rejoinKillAt-time.Second, func() { w.Write(publishedtest.Config(config(3, "key"))) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := rejoinLoad(t, prepare)
			if 2*l.wentOn < l.resumed || l.resumed < 12 {
				t.Errorf("%d of %d resumed streams went on, want half", l.wentOn, l.resumed)
			}
		})
	}
}

// TestStreamsOfOneVersionGoOnAfterAnOutageOfTheStore guards against a fleet that no longer knows of a service's one version because most
// gateways get what they have missed from a peer.
func TestStreamsOfOneVersionGoOnAfterAnOutageOfTheStore(t *testing.T) {
	w := smallFleet(t, func(w *controltest.World) {
		w.Options = func(o *control.Options) { o.FirstStart = true }
		for _, n := range w.Nodes {
			n.Start()
		}
	})
	away := true
	w.Partitioned = func(a, b string) bool { return away && (a == controltest.StoreName || b == controltest.StoreName) }
	w.Run(5 * time.Second)
	w.Publish(newEngine(w, 50))
	away = false
	w.Run(time.Second)
	l := newStreamLoad(w)
	l.run(40, w.Elapsed()+3*time.Second)
	w.After(1500*time.Millisecond, func() {
		for _, n := range w.Nodes[:4] {
			n.RestartAfter(2 * time.Second)
		}
	})
	w.Run(6 * time.Second)
	l.check(t)
	if l.wentOn < l.resumed*9/10 {
		t.Errorf("%d of %d resumed streams went on", l.wentOn, l.resumed)
	}
}
