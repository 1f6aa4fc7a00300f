package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
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
	w.Beat(rejoinKillAt + 30*time.Second)
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
		"all engines are listed after the start": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt+time.Second, func() { leave(w, "") })
			at(rejoinKillAt+rejoinDown+500*time.Millisecond, func() {
				for n := range 9 {
					w.Publish(versioned(engine(100+n, "a"), "v2"))
				}
			})
		},
		"engines are replaced under their IDs": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt+time.Second, func() {
				for _, e := range llmEngines(w, "") {
					e.Crash()
					e.Down = false
					e.Version, e.Incarnation = "v2", 2
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
		"an engine crashes": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt-5*time.Second, func() { w.Endpoints["engine-3"].Crash() })
			at(rejoinKillAt-1400*time.Millisecond, func() { w.Remove("engine-3") })
		},
		"an engine is replaced": func(w *controltest.World, at func(time.Duration, func())) {
			at(rejoinKillAt-3*time.Second, func() { w.Publish(engine(50, "b")) })
			at(rejoinKillAt+time.Second, func() { w.Remove("engine-3") })
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
