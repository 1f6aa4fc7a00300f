package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// streamLoad sends streams through a fleet and resumes each of them at another gateway, and counts what callers
// see: streams with events of two versions, and resumes that went on.
type streamLoad struct {
	w        *controltest.World
	started  int
	resumed  int // requests that resume a stream and got a result
	wentOn   int
	mixed    int
	reasons  map[control.Reason]int
	nextID   int
	resumeAt func() time.Duration // delay after the first event
}

// run starts streams at a rate per second until a time.
func (l *streamLoad) run(perSecond float64, until time.Duration) {
	interval := time.Duration(l.w.Rand().ExpFloat64() / perSecond * float64(time.Second))
	l.w.After(interval, func() {
		if l.w.Elapsed() > until {
			return
		}
		l.begin()
		l.run(perSecond, until)
	})
}

func (l *streamLoad) begin() {
	n := l.randomNode()
	if n == nil {
		return
	}
	l.nextID++
	st := l.w.NewStream(fleet.RequestID(fmt.Sprintf("stream-%d", l.nextID)))
	r := chatRequest
	r.Affinity = fleet.Hash(fmt.Sprint(l.w.Rand().IntN(50)))
	n.OpenStream(r, st, func(ok bool, _ control.Reason) {
		if !ok {
			return
		}
		l.started++
		l.w.After(l.resumeAt(), func() { l.resume(r, st) })
	})
}

func (l *streamLoad) resume(r controltest.Request, st *controltest.Stream) {
	n := l.randomNode()
	if n == nil {
		l.w.After(callerRetryInterval, func() { l.resume(r, st) })
		return
	}
	n.OpenStream(r, st, func(ok bool, reason control.Reason) {
		l.resumed++
		if ok {
			l.wentOn++
		} else {
			l.reasons[reason]++
		}
		if len(st.Versions) > 1 {
			l.mixed++
		}
	})
}

// callerRetryInterval is the time after which a caller tries again while no gateway runs.
const callerRetryInterval = 100 * time.Millisecond

// randomNode returns a running gateway, or nil if none runs.
func (l *streamLoad) randomNode() *controltest.Node {
	for _, i := range l.w.Rand().Perm(len(l.w.Nodes)) {
		if n := l.w.Nodes[i]; n.State != nil && !n.Paused {
			return n
		}
	}
	return nil
}

func (l *streamLoad) check(t *testing.T) {
	t.Helper()
	t.Logf("%d streams, %d of %d resumes went on, refused: %v", l.started, l.wentOn, l.resumed, l.reasons)
	if l.mixed > 0 {
		t.Errorf("%d streams hold events of two versions", l.mixed)
	}
	if l.resumed < 12 || 2*l.wentOn < l.resumed {
		t.Errorf("%d of %d resumed streams went on, want half", l.wentOn, l.resumed)
	}
}

func newStreamLoad(w *controltest.World) *streamLoad {
	return &streamLoad{w: w, reasons: map[control.Reason]int{}, resumeAt: func() time.Duration {
		return time.Duration(w.Rand().Int64N(int64(2 * time.Second)))
	}}
}

func versioned(e *controltest.Endpoint, v fleet.SoftwareVersion) *controltest.Endpoint {
	e.Version = v
	return e
}

// release replaces the engines of a simulation one after the other by engines of another version.
func release(w *controltest.World, from time.Duration, gap time.Duration, v fleet.SoftwareVersion, engines int, firstID int) {
	for i := range engines {
		w.After(from-w.Elapsed()+time.Duration(i)*gap, func() {
			old := fleet.EndpointID(fmt.Sprintf("engine-%d", i+1))
			next := engine(firstID+i, w.Endpoints[old].DataCentre)
			w.Publish(versioned(next, v))
			leaving := *w.Endpoints[old]
			leaving.Leaving = true
			w.Write(publishedtest.Endpoint(leaving.Endpoint, 0))
			w.After(3*time.Second, func() { w.Remove(old) })
		})
	}
}

// TestStreamsStayAtTheirVersionWhileGatewaysAreKilled plays a release of half of the engines while gateways are
// killed three at a time and callers resume their streams at any other gateway.
func TestStreamsStayAtTheirVersionWhileGatewaysAreKilled(t *testing.T) {
	w := smallFleet(t)
	l := newStreamLoad(w)
	l.run(80, 40*time.Second)
	release(w, 6*time.Second, 400*time.Millisecond, "v2", 5, 100)
	for at := 8 * time.Second; at < 40*time.Second; at += 3 * time.Second {
		w.After(at-w.Elapsed(), func() {
			for range 3 {
				l.randomNode().RestartAfter(time.Second)
			}
		})
	}
	w.Run(45 * time.Second)
	l.check(t)
}

// restart is how long an engine is down and then without its new entry.
type restart struct{ down, unpublished time.Duration }

// TestResumedStreamAvoidsAnEndpointWhoseEntryMayBeOutdated restarts an engine each second under its ID with another version.
// Streams of its former version must not be resumed there, and streams that begin there before its entry is written must not
// be resumed at the former version.
func TestResumedStreamAvoidsAnEndpointWhoseEntryMayBeOutdated(t *testing.T) {
	for name, tc := range map[string]struct {
		perSecond float64
		restart   restart
	}{
		"many streams":             {300, restart{600 * time.Millisecond, 100 * time.Millisecond}},
		"few streams":              {40, restart{600 * time.Millisecond, 100 * time.Millisecond}},
		"late entry":               {40, restart{600 * time.Millisecond, 500 * time.Millisecond}},
		"late entry, many streams": {300, restart{600 * time.Millisecond, 500 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) { upgradeEngines(t, tc.perSecond, tc.restart) })
	}
}

// TestResumedStreamAvoidsAnEndpointThatRestartedAtOnce does so with restarts that hardly any gateway notices.
func TestResumedStreamAvoidsAnEndpointThatRestartedAtOnce(t *testing.T) {
	upgradeEngines(t, 40, restart{5 * time.Millisecond, 100 * time.Millisecond})
}

// TestResumedStreamAvoidsAnEndpointThatRestartedBeforeTheStoreWentAway does so while the entry of the restarted engine cannot be
// read for seconds.
func TestResumedStreamAvoidsAnEndpointThatRestartedBeforeTheStoreWentAway(t *testing.T) {
	const perSecond, length, every, away = 100, 120 * time.Second, 6 * time.Second, 3300 * time.Millisecond
	w := smallFleet(t)
	for i := range 4 {
		w.Publish(versioned(w.Endpoints[fleet.EndpointID(fmt.Sprintf("engine-%d", i+1))], "v2"))
	}
	w.Run(time.Second)
	l := newStreamLoad(w)
	l.run(perSecond, length)
	storeAway := false
	w.Partitioned = func(a, b string) bool { return storeAway && (a == controltest.StoreName || b == controltest.StoreName) }
	for at, n := 5*time.Second, 0; at < length; at, n = at+every, n+1 {
		w.After(at-w.Elapsed(), func() {
			storeAway = true
			upgradeEngine(w, n, restart{5 * time.Millisecond, 0})
			w.After(away, func() { storeAway = false })
		})
	}
	w.Run(length)
	l.check(t)
}

func upgradeEngines(t *testing.T, perSecond float64, r restart) {
	length := time.Duration(12000 / perSecond * float64(time.Second))
	w := smallFleet(t)
	for i := range 4 {
		w.Publish(versioned(w.Endpoints[fleet.EndpointID(fmt.Sprintf("engine-%d", i+1))], "v2"))
	}
	w.Run(time.Second)
	l := newStreamLoad(w)
	l.resumeAt = func() time.Duration { return time.Duration(w.Rand().Int64N(int64(400 * time.Millisecond))) }
	l.run(perSecond, length)
	for at, n := 5*time.Second, 0; at < length; at, n = at+time.Second, n+1 {
		w.After(at-w.Elapsed(), func() { upgradeEngine(w, n, r) })
	}
	w.Run(length)
	l.check(t)
}

// upgradeEngine restarts the n-th engine under its ID with another version.
func upgradeEngine(w *controltest.World, n int, r restart) {
	e := w.Endpoints[fleet.EndpointID(fmt.Sprintf("engine-%d", n%9+1))]
	e.Crash()
	w.After(r.down, func() {
		e.Down = false
		e.Incarnation++
		e.Version = []fleet.SoftwareVersion{"v2", "v3"}[n/9%2]
		w.After(r.unpublished, func() { w.Publish(e) })
	})
}

// originTraffic is the traffic of messages about where streams began, per gateway and second, and what gateways hold.
type originTraffic struct {
	messages, bytes float64
	records         int // highest number in one gateway
}

func measureOrigins(w *controltest.World, span time.Duration) originTraffic {
	for _, n := range w.Nodes {
		n.OriginsSent, n.OriginsBytes = 0, 0
	}
	w.Run(span)
	var out originTraffic
	for _, n := range w.Nodes {
		out.messages += float64(n.OriginsSent) / float64(len(w.Nodes)) / span.Seconds()
		out.bytes += float64(n.OriginsBytes) / float64(len(w.Nodes)) / span.Seconds()
		if n.State != nil {
			out.records = max(out.records, n.State.Dump(w.Now()).Origins.Records)
		}
	}
	return out
}

// TestStreamsStayAtTheirVersionInLargeFleets loses all gateways of a data centre, and then cuts another one off, while two
// versions serve. It logs what replicating the origins of streams costs.
func TestStreamsStayAtTheirVersionInLargeFleets(t *testing.T) {
	for name, size := range map[string]struct {
		perDataCentre []int
		streams       float64 // per second
	}{
		"8 gateways":   {[]int{2, 2, 2, 2}, 86},
		"83 gateways":  {[]int{24, 20, 19, 20}, 800},
		"295 gateways": {[]int{50, 49, 49, 49, 49, 49}, 2800},
	} {
		t.Run(name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			w := controltest.New(seed, size.perDataCentre...)
			w.Write(publishedtest.Config(config(1, "key")))
			engines := 0
			for dc := range size.perDataCentre {
				for range 24 {
					engines++
					w.Publish(versioned(engine(engines, fleet.DataCentreID(rune('a'+dc))), fleet.SoftwareVersion([]string{"v1", "v2"}[engines%2])))
				}
			}
			w.Run(6 * time.Second)
			l := newStreamLoad(w)
			l.run(size.streams, 14*time.Second)
			w.After(3*time.Second, func() { restartDataCentre(w, "b", time.Second) })
			w.After(5*time.Second, func() { cutDataCentre(w, "c") })
			steady := measureOrigins(w, 2*time.Second)
			t.Logf("per gateway and second: %.1f messages, %.0f bytes; at most %d records", steady.messages, steady.bytes, steady.records)
			w.Run(11 * time.Second)
			l.check(t)
		})
	}
}

func restartDataCentre(w *controltest.World, dc fleet.DataCentreID, d time.Duration) {
	for _, n := range w.Nodes {
		if n.DataCentre == dc {
			n.RestartAfter(d)
		}
	}
}

// cutDataCentre cuts the gateways of a data centre off from all others and from the store.
func cutDataCentre(w *controltest.World, dc fleet.DataCentreID) {
	inside := map[string]bool{}
	gateways := map[string]bool{controltest.StoreName: true}
	for _, n := range w.Nodes {
		gateways[string(n.ID)] = true
		inside[string(n.ID)] = n.DataCentre == dc
	}
	w.Partitioned = func(a, b string) bool { return gateways[a] && gateways[b] && inside[a] != inside[b] }
}

// TestStreamsOfOneVersionGoOnWithoutRecord guards against refusing resumed streams, whose callers may not name the request that
// began them, at gateways that have just started, while all endpoints have had one version.
func TestStreamsOfOneVersionGoOnWithoutRecord(t *testing.T) {
	w := smallFleet(t, func(w *controltest.World) {
		w.Options = func(o *control.Options) { o.FirstStart = true }
		for _, n := range w.Nodes {
			n.Start()
		}
	})
	w.Options = nil
	restarted := w.Nodes[0]
	restarted.RestartAfter(time.Second)
	w.Run(3 * time.Second)
	for _, n := range []*controltest.Node{restarted, w.Nodes[1]} {
		for _, named := range []bool{true, false} {
			st := w.NewStream("")
			if named {
				st.ID = "a stream that no gateway has a record of"
			}
			st.Versions[""] = true
			ended, wentOn, reason := false, false, control.ReasonNone
			n.OpenStream(chatRequest, st, func(ok bool, r control.Reason) { ended, wentOn, reason = true, ok, r })
			w.Run(time.Second)
			if !ended || !wentOn {
				t.Errorf("%s, stream named: %t: %s", n.ID, named, reason)
			}
		}
	}
}

// TestStreamOfOneVersionGoesOnAtEndpointsThatFailed guards against giving up streams because endpoints have failed, while all
// endpoints have had one version.
func TestStreamOfOneVersionGoesOnAtEndpointsThatFailed(t *testing.T) {
	w := smallFleet(t, func(w *controltest.World) {
		w.Options = func(o *control.Options) { o.FirstStart = true }
		for _, n := range w.Nodes {
			n.Start()
		}
	})
	n := w.Nodes[0]
	place := func(v origin.Version) *control.Attempt {
		p := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Version: v})
		if p.Attempt == nil {
			t.Fatalf("version %d: %s", v, p.Reason)
		}
		return p.Attempt
	}
	stream := place(0)
	n.State.StreamStarted(w.Now(), "stream", stream, time.Minute)
	n.State.AttemptEnded(w.Now(), stream, control.ResponseBroken)
	for range 200 {
		n.State.AttemptEnded(w.Now(), place(0), control.ResponseBroken)
	}
	l := n.State.LookUpOwnStream(w.Now(), "stream")
	w.Run(100 * time.Millisecond) // the endpoint is asked for its incarnation
	if !l.Ended() || l.Version == 0 {
		t.Fatal("the stream's version is not known")
	}
	place(l.Version)
}
