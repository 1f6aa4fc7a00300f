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

// TestColdEngine: the whole fleet together stays within what a cold engine bears, with a
// subject that half of all requests are about, and after a data centre's engines come
// back together without a word.
func TestColdEngine(t *testing.T) {
	const bound = coldRate*1.5 + 5
	w := coulee(t)
	load(w, 250, w.Now().Add(20*time.Second), subjects(w, 60, 0.5), ignore)
	w.Run(2 * time.Second)
	fresh := engine(10, "a")
	fresh.ColdRemaining = 3 * time.Second
	w.Publish(fresh)
	began := w.Now()
	w.Run(fresh.ColdRemaining)
	if n := fresh.MaxArrivals(began, time.Second); n > bound {
		t.Errorf("%d requests in a second at a cold engine, it bears %v", n, bound)
	}
	if len(fresh.Arrivals) == 0 {
		t.Error("the engine was not used")
	}
	back := []*controltest.Endpoint{w.Endpoints["engine-1"], w.Endpoints["engine-2"], w.Endpoints["engine-3"]}
	for _, e := range back {
		e.Down = true
	}
	w.Run(3 * time.Second)
	began = w.Now()
	for _, e := range back {
		e.Down = false
	}
	w.Run(3 * time.Second)
	for _, e := range back {
		if n := e.MaxArrivals(began, time.Second); n > bound {
			t.Errorf("%d requests in a second at %s, which has just come back; it bears %v", n, e.ID, bound)
		}
	}
}

// TestLoadBound: hardly any request goes to an engine that holds over twice the mean
// and three more, also while half of all requests are about one subject, and while the
// traffic has doubled for half of the engines.
func TestLoadBound(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond float64
		hot       float64
		gone      int  // engines
		out       bool // a data centre is out of service
	}{
		{"calm", 86, 0, 0, false},
		{"hot subject", 86, 0.3, 0, false},
		{"hot subject, few engines, double traffic", 172, 0.5, 4, false},
		{"hot subject, data centre out, double traffic", 172, 0.5, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := coulee(t)
			for n := range tc.gone {
				id := fleet.EndpointID(fmt.Sprintf("engine-%d", n+1))
				w.Remove(id)
				delete(w.Endpoints, id)
			}
			if tc.out {
				w.Write(publishedtest.Evacuation("a"))
			}
			w.Run(time.Second)
			sent, above := 0, 0
			next := subjects(w, 60, tc.hot)
			load(w, tc.perSecond, w.Now().Add(30*time.Second), next, func(o controltest.Outcome) {
				sent++
				if o.LoadBefore > 2*o.MeanBefore+3 {
					above++
				}
			})
			w.Run(32 * time.Second)
			t.Logf("%d of %d requests reached an engine above the bound", above, sent)
			if above*100 > sent*3 {
				t.Errorf("%d of %d requests reached an engine above the bound", above, sent)
			}
		})
	}
}

// TestPlainServiceOfLargeFleet plays the heaviest days of a plain service with four
// replicas of six slots and a queue of 24: half busy, and four fifths busy with one of
// the four down for a while. Replicas must not refuse requests while others have room,
// though the counts of peers are seconds old.
func TestPlainServiceOfLargeFleet(t *testing.T) {
	const holds = 6 + 24
	for _, tc := range []struct {
		perSecond float64
		crash     bool
	}{{400, false}, {480, true}} {
		t.Run(fmt.Sprintf("%v a second", tc.perSecond), func(t *testing.T) {
			w := grown(t)
			requests, full := 0, 0
			load(w, tc.perSecond, w.Now().Add(20*time.Second), func() controltest.Request { return book }, func(o controltest.Outcome) {
				requests++
				if o.LoadBefore >= holds {
					full++
				}
			})
			w.Run(5 * time.Second)
			w.Endpoints["desk-1"].Down = tc.crash
			w.Run(5 * time.Second)
			w.Endpoints["desk-1"].Down = false
			w.Run(11 * time.Second)
			t.Logf("%d of %d requests reached a full replica", full, requests)
			if full*200 > requests {
				t.Errorf("%d of %d requests reached a full replica", full, requests)
			}
		})
	}
}

// TestRetriesThatBringNothing: when endpoints' failures lie in the requests, hardly any
// are repeated; when repeating helps, they are.
func TestRetriesThatBringNothing(t *testing.T) {
	for _, helps := range []bool{false, true} {
		w := coulee(t)
		st := w.Nodes[0].State
		allowed := 0
		for range 2000 {
			w.Nodes[0].Send(book, ignore)
			w.Run(10 * time.Millisecond)
			if st.AllowRetry(w.Now(), desk, control.Failed) {
				allowed++
				st.RecordRetryResult(desk, helps)
			}
		}
		if helps && allowed < 200 || !helps && allowed > 150 {
			t.Errorf("helps %t: %d of 2000 repeated", helps, allowed)
		}
		if !helps && !st.AllowRetry(w.Now(), desk, control.RequestRefused) {
			t.Error("a refused request is not sent elsewhere")
		}
	}
}

// TestRefusedCallersComeBackSpread: callers who are refused together are not told to
// return together.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	w := controltest.New(seed, 1)
	var least, most time.Duration
	for range 200 {
		d := w.Nodes[0].State.Admit(w.Now(), control.AdmissionRequest{Host: "h", Path: "/chat/"}).RetryAfter
		if least == 0 || d < least {
			least = d
		}
		most = max(most, d)
	}
	if most < least*5/4 {
		t.Errorf("all return after %v to %v", least, most)
	}
}
