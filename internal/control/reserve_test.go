package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

const hangTimeout = 600 * time.Millisecond

// oneGateway returns a simulation of one gateway and replicas of the plain service, with a retry budget of about extra.
func oneGateway(t *testing.T, replicas int, extra float64) (*controltest.World, *control.State) {
	t.Logf("seed %d", seed)
	w := controltest.New(seed)
	w.Options = func(o *control.Options) { o.RetryRatio, o.RetryExtra, o.SeedCount = 0, extra, 0 }
	w.AddNode("a", 1)
	w.Write(publishedtest.Config(config(1, "key")))
	for n := range replicas {
		w.Publish(replica(n+1, "a"))
	}
	w.Run(convergenceTime)
	return w, w.Nodes[0].State
}

// silentAttempt places a request and returns its attempt as one that has been silent for a time.
func silentAttempt(t *testing.T, w *controltest.World, silence time.Duration) control.SilentAttempt {
	p := w.Nodes[0].State.Place(w.Now(), control.PlacementRequest{Service: desk})
	if p.Reason != control.ReasonNone {
		t.Fatal(p.Reason)
	}
	return control.SilentAttempt{
		Attempt: p.Attempt, Silence: silence, HangTimeout: hangTimeout, UnreachableTimeout: hangTimeout / 2,
		Retry: control.PlacementRequest{Service: desk, Tried: []fleet.EndpointID{p.Attempt.Endpoint}},
	}
}

// usedBy returns the requests in flight and the retries of the plain service.
func usedBy(st *control.State, now boottime.Instant) (inFlight, retries int) {
	d := st.Dump(now)
	for _, e := range d.Endpoints {
		inFlight += e.InFlight
	}
	for _, s := range d.Services {
		retries += s.Retries
	}
	return inFlight, retries
}

// TestAttemptsAreGivenUpOnlyWithTheNextOneReserved: of many attempts that are silent at the same time, as many are
// given up as the retry budget allows, and none if no other endpoint is eligible.
func TestAttemptsAreGivenUpOnlyWithTheNextOneReserved(t *testing.T) {
	const attempts, budget = 60, 5
	for replicas, want := range map[int]int{1: 0, 3: budget} {
		w, st := oneGateway(t, replicas, budget+1)
		givenUp := 0
		var silent []control.SilentAttempt
		for range attempts {
			silent = append(silent, silentAttempt(t, w, time.Second))
		}
		for _, a := range silent {
			r := st.GiveUp(w.Now(), a)
			if r == nil {
				continue
			}
			givenUp++
			if r.Result != control.ResponseOverdue || r.Attempt.Endpoint == a.Attempt.Endpoint {
				t.Errorf("result %v, next attempt at %s after %s", r.Result, r.Attempt.Endpoint, a.Attempt.Endpoint)
			}
		}
		inFlight, retries := usedBy(st, w.Now())
		if givenUp != want || retries != want || inFlight != attempts+want {
			t.Errorf("%d replicas: %d of %d given up, want %d; %d retries counted, %d requests in flight", replicas, givenUp, attempts, want, retries, inFlight)
		}
	}
}

// TestReleasedReservationIsReturned: a reservation that is not used costs neither budget nor capacity, and releasing it
// again changes nothing.
func TestReleasedReservationIsReturned(t *testing.T) {
	w, st := oneGateway(t, 3, 2)
	a := silentAttempt(t, w, time.Second)
	for n := range 50 {
		r := st.GiveUp(w.Now(), a)
		if r == nil {
			t.Fatalf("no reservation after %d were released", n)
		}
		w.Run(30 * time.Millisecond)
		st.ReleaseRetry(w.Now(), r)
		st.ReleaseRetry(w.Now(), r)
		if inFlight, retries := usedBy(st, w.Now()); inFlight != 1 || retries != 0 {
			t.Fatalf("%d requests in flight and %d retries after the release, want 1 and 0", inFlight, retries)
		}
	}
	r := st.GiveUp(w.Now(), a)
	st.AttemptEnded(w.Now(), r.Attempt, control.ResponseComplete)
	st.ReleaseRetry(w.Now(), r)
	if inFlight, retries := usedBy(st, w.Now()); inFlight != 1 || retries != 1 {
		t.Errorf("%d requests in flight and %d retries after a used reservation, want 1 and 1", inFlight, retries)
	}
}

// TestSilenceUntilAnAttemptIsGivenUp: an attempt is given up after the hang timeout, or after a shorter one if a
// connection to its endpoint timed out and none has succeeded since.
func TestSilenceUntilAnAttemptIsGivenUp(t *testing.T) {
	for _, tc := range []struct {
		silence time.Duration
		probes  []control.ProbeResult
		want    control.AttemptResult // 0: not given up
	}{
		{hangTimeout - 1, nil, 0},
		{hangTimeout, nil, control.ResponseOverdue},
		{hangTimeout/2 - 1, []control.ProbeResult{control.ProbeTimedOut}, 0},
		{hangTimeout / 2, []control.ProbeResult{control.ProbeTimedOut}, control.ConnectTimedOut},
		{hangTimeout / 2, []control.ProbeResult{control.ProbeConnectionRefused}, 0},
		{hangTimeout / 2, []control.ProbeResult{control.ProbeTimedOut, control.ProbeConnected}, 0},
	} {
		w, st := oneGateway(t, 2, 10)
		a := silentAttempt(t, w, tc.silence)
		for _, p := range tc.probes {
			st.ProbeDone(w.Now(), a.Attempt.Endpoint, p)
		}
		got := control.AttemptResult(0)
		if r := st.GiveUp(w.Now(), a); r != nil {
			got = r.Result
		}
		if got != tc.want {
			t.Errorf("silent for %v after probes %v: given up with %v, want %v", tc.silence, tc.probes, got, tc.want)
		}
	}
}

// TestServiceWideSilenceGivesUpNoAttempt guards against restarting the requests of a silent service at endpoints that
// are silent as well, and against counting that as failures of the endpoints.
func TestServiceWideSilenceGivesUpNoAttempt(t *testing.T) {
	const replicas = 4
	w, st := oneGateway(t, replicas, 1000)
	var silent []control.SilentAttempt
	at := map[fleet.EndpointID]int{}
	for len(at) < replicas || len(silent) < 20 {
		a := silentAttempt(t, w, time.Second)
		silent = append(silent, a)
		at[a.Attempt.Endpoint]++
	}
	w.Run(time.Second)
	for _, a := range silent {
		if r := st.GiveUp(w.Now(), a); r != nil {
			t.Fatalf("an attempt at %s was given up for one at %s, which is silent as well", a.Attempt.Endpoint, r.Attempt.Endpoint)
		}
	}
	for _, progress := range []func(a *control.Attempt){
		func(a *control.Attempt) { a.NoteEvent(w.Now()) },
		func(a *control.Attempt) { st.ResponseStarted(w.Now(), a) },
		func(a *control.Attempt) { st.AttemptEnded(w.Now(), a, control.ResponseComplete) },
	} {
		w.Run(time.Second)
		first, last := silent[0], silent[len(silent)-1]
		for _, a := range silent {
			if a.Attempt.Endpoint != first.Attempt.Endpoint {
				last = a
			}
		}
		progress(last.Attempt)
		r := st.GiveUp(w.Now(), first)
		if r == nil || r.Attempt.Endpoint != last.Attempt.Endpoint {
			t.Fatalf("the next attempt is %+v, want one at %s, the only endpoint that responds", r, last.Attempt.Endpoint)
		}
		st.ReleaseRetry(w.Now(), r)
	}
}

// TestHungEndpointIsLeft: the attempts at an endpoint that hangs are given up at the hang timeout for endpoints that
// have nothing to respond to, or have had it only for a moment.
func TestHungEndpointIsLeft(t *testing.T) {
	for _, busy := range []bool{false, true} {
		w, st := oneGateway(t, 2, 1000)
		hung := silentAttempt(t, w, hangTimeout)
		w.Run(hangTimeout)
		for busy && silentAttempt(t, w, 0).Attempt.Endpoint == hung.Attempt.Endpoint {
		}
		if r := st.GiveUp(w.Now(), hung); r == nil {
			t.Errorf("the attempt at an endpoint that hangs was not given up; the other one is busy: %t", busy)
		}
	}
}

// TestRetryWithoutAnEndpointUsesNoBudget guards against using up the retry budget for retries that are not made.
func TestRetryWithoutAnEndpointUsesNoBudget(t *testing.T) {
	w, st := oneGateway(t, 1, 2)
	tried := control.PlacementRequest{Service: desk, Tried: []fleet.EndpointID{replica(1, "a").ID}}
	for range 5 {
		if p := st.PlaceRetry(w.Now(), tried, control.RequestRefused); p.Reason != control.ReasonNoEndpoint {
			t.Errorf("reason %v without an endpoint, want no_endpoint", p.Reason)
		}
	}
	anywhere := control.PlacementRequest{Service: desk}
	for n, want := range []control.Reason{control.ReasonNone, control.ReasonRetryBudget} {
		if p := st.PlaceRetry(w.Now(), anywhere, control.RequestRefused); p.Reason != want {
			t.Errorf("reason %v of retry %d, want %v", p.Reason, n+1, want)
		}
	}
}
