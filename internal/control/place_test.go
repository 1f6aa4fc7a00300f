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

// TestColdEngine: the whole fleet together stays within the request rate of a cold engine, both
// for a new engine while half of all requests have the same affinity, and for the engines of a
// data centre that come back together without a report of being cold.
func TestColdEngine(t *testing.T) {
	const bound = coldRate*1.5 + 5
	w := smallFleet(t)
	sendLoad(w, 250, w.Now().Add(20*time.Second), chatRequests(w, 60, 0.5), ignore)
	w.Run(2 * time.Second)
	fresh := engine(10, "a")
	fresh.ColdRemaining = 3 * time.Second
	w.Publish(fresh)
	began := w.Now()
	w.Run(fresh.ColdRemaining)
	if n := fresh.MaxArrivals(began, time.Second); n > bound {
		t.Errorf("%d requests in a second at a cold engine, limit %v", n, bound)
	}
	if len(fresh.Arrivals) == 0 {
		t.Error("the cold engine received no requests")
	}
	restarted := []*controltest.Endpoint{w.Endpoints["engine-1"], w.Endpoints["engine-2"], w.Endpoints["engine-3"]}
	for _, e := range restarted {
		e.Down = true
	}
	w.Run(3 * time.Second)
	began = w.Now()
	for _, e := range restarted {
		e.Down = false
	}
	w.Run(3 * time.Second)
	for _, e := range restarted {
		if n := e.MaxArrivals(began, time.Second); n > bound {
			t.Errorf("%d requests in a second at %s, which has just come back; limit %v", n, e.ID, bound)
		}
	}
}

// TestLoadBound: at most 3% of the requests go to an engine that holds more than twice the mean
// plus three, also while half of all requests have the same affinity and the traffic has
// doubled for about half of the engines.
func TestLoadBound(t *testing.T) {
	for _, tc := range []struct {
		name           string
		perSecond      float64
		hotShare       float64
		removedEngines int
		evacuated      bool // one data centre is evacuated
	}{
		{"calm", 86, 0, 0, false},
		{"hot affinity", 86, 0.3, 0, false},
		{"hot affinity, few engines, double traffic", 172, 0.5, 4, false},
		{"hot affinity, data centre out, double traffic", 172, 0.5, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := smallFleet(t)
			for n := range tc.removedEngines {
				id := fleet.EndpointID(fmt.Sprintf("engine-%d", n+1))
				w.Remove(id)
				delete(w.Endpoints, id)
			}
			if tc.evacuated {
				w.Write(publishedtest.Evacuation("a"))
			}
			w.Run(time.Second)
			sent, above := 0, 0
			next := chatRequests(w, 60, tc.hotShare)
			sendLoad(w, tc.perSecond, w.Now().Add(30*time.Second), next, func(o controltest.Outcome) {
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

// TestPlainServiceOfLargeFleet simulates the peak load of a plain service with four replicas of
// six slots and a queue of 24 each: half busy, and four fifths busy with one of the four down
// for a while. Replicas must not be overfilled while others have room, although the peers'
// counts are seconds old.
func TestPlainServiceOfLargeFleet(t *testing.T) {
	const capacity = 6 + 24
	for _, tc := range []struct {
		perSecond float64
		crash     bool
	}{{400, false}, {480, true}} {
		t.Run(fmt.Sprintf("%v a second", tc.perSecond), func(t *testing.T) {
			w := largeFleet(t)
			requests, full := 0, 0
			sendLoad(w, tc.perSecond, w.Now().Add(20*time.Second), func() controltest.Request { return bookRequest }, func(o controltest.Outcome) {
				requests++
				if o.LoadBefore >= capacity {
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

// TestRetriesThatBringNothing: when the requests themselves cause the endpoints' failures,
// hardly any are retried; when retries succeed, they are made.
func TestRetriesWithLowSuccessRate(t *testing.T) {
	for _, helps := range []bool{false, true} {
		w := smallFleet(t)
		st := w.Nodes[0].State
		allowed := 0
		for range 2000 {
			w.Nodes[0].Send(bookRequest, ignore)
			w.Run(10 * time.Millisecond)
			if st.AllowRetry(w.Now(), desk, control.EndpointFailed) {
				allowed++
				st.RecordRetryResult(desk, helps)
			}
		}
		if helps && allowed < 200 || !helps && allowed > 150 {
			t.Errorf("helps %t: %d of 2000 retried", helps, allowed)
		}
		if !helps && !st.AllowRetry(w.Now(), desk, control.RequestRefused) {
			t.Error("a refused request is not sent elsewhere")
		}
	}
}

// TestRefusedCallersComeBackSpread: callers that are refused together get different retry-after
// times.
func TestRetryAfterJitter(t *testing.T) {
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
		t.Errorf("retry-after between %v and %v only", least, most)
	}
}
