package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestRetriesStayWithinRatio checks after each step of any sequence of attempts that the number
// of retries does not exceed the tokens earned, for the router and for each workspace and
// endpoint.
func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opt := DefaultOptions()
		b := NewBudget(opt)
		first, retries := 0.0, 0.0
		perWS, perEP := map[fleet.WorkspaceID]float64{}, map[fleet.EndpointID]float64{}
		steps := rapid.IntRange(0, 600).Draw(rt, "steps")
		for range steps {
			ws := fleet.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "ws"))
			ep := fleet.EndpointID(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "ep"))
			if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
				first++
				perWS[ws] += opt.PerKeyRatio
				perEP[ep] += opt.PerKeyRatio
				b.FirstAttempt(ws, ep)
				continue
			}
			if b.AllowRetry(ws, ep) == Allowed {
				retries++
				perWS[ws]--
				perEP[ep]--
			}
			if retries > opt.RouterRatio*first+1e-9 {
				rt.Fatalf("%v retries after %v first attempts", retries, first)
			}
			if perWS[ws] < -opt.PerKeyInitialTokens-1e-9 || perEP[ep] < -opt.PerKeyInitialTokens-1e-9 {
				rt.Fatalf("workspace %s or endpoint %s overdrawn", ws, ep)
			}
		}
	})
}

// TestAmplificationWithThirdOfEndpointsFailing distributes 300,000 requests over 410 routers and
// 600 endpoints, of which every third fails each attempt. At every moment there are at most
// 1.1 attempts per request.
func TestAmplificationWithThirdOfEndpointsFailing(t *testing.T) {
	const routers, endpoints, workspaces, requests = 410, 600, 320, 300_000
	rng := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budget, routers)
	for i := range budgets {
		budgets[i] = NewBudget(DefaultOptions())
	}
	attempts, answered := 0, 0
	for n := 1; n <= requests; n++ {
		b := budgets[rng.IntN(routers)]
		ws := fleet.WorkspaceID(fmt.Sprint(rng.IntN(workspaces)))
		for try := 0; ; try++ {
			e := rng.IntN(endpoints)
			ep := fleet.EndpointID(fmt.Sprint(e))
			if try == 0 {
				b.FirstAttempt(ws, ep)
			} else if b.AllowRetry(ws, ep) != Allowed {
				break
			}
			attempts++
			if e%3 != 0 {
				answered++
				break
			}
		}
		if float64(attempts) > 1.1*float64(n)+1e-6 {
			t.Fatalf("%d attempts for %d requests", attempts, n)
		}
	}
	t.Logf("attempts per request %.4f, answered %.4f (0.6667 without retries)",
		float64(attempts)/requests, float64(answered)/requests)
	if answered < requests*70/100 {
		t.Fatalf("only %d answered: the budget is not used", answered)
	}
}

// TestFailuresOfOneLeaveBudgetToOthers checks that a workspace or endpoint whose
// every attempt fails does not use up the retries of the others.
func TestFailuresOfOneLeaveBudgetToOthers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		ws, ep   string // %d: a different ID for each retry
		denied   Verdict
		ws2, ep2 string
	}{
		{"workspace", "bad", "e%d", DeniedByWorkspace, "w7", "e7"},
		{"endpoint", "w%d", "bad", DeniedByEndpoint, "w7", "e7"},
	} {
		b := NewBudget(DefaultOptions())
		for i := range 1000 {
			b.FirstAttempt(fleet.WorkspaceID(fmt.Sprintf("w%d", i%50)), fleet.EndpointID(fmt.Sprintf("e%d", i%50)))
		}
		var last Verdict
		spent := 0
		for i := range 100 {
			ws, ep := strings.ReplaceAll(tc.ws, "%d", fmt.Sprint(i%50)), strings.ReplaceAll(tc.ep, "%d", fmt.Sprint(i%50))
			last = b.AllowRetry(fleet.WorkspaceID(ws), fleet.EndpointID(ep))
			if last == Allowed {
				spent++
			}
		}
		got := b.AllowRetry(fleet.WorkspaceID(tc.ws2), fleet.EndpointID(tc.ep2))
		if spent > 1 || last != tc.denied || got != Allowed {
			t.Errorf("%s: %d retries, then %v; another one: %v", tc.name, spent, last, got)
		}
	}
}

func TestTablesAreBounded(t *testing.T) {
	opt := DefaultOptions()
	opt.MaxWorkspaces, opt.MaxEndpoints = 3, 3
	b := NewBudget(opt)
	for i := range 100 {
		b.FirstAttempt(fleet.WorkspaceID(fmt.Sprint(i)), fleet.EndpointID(fmt.Sprint(i)))
	}
	if w, e := b.workspaces.Len(), b.endpoints.Len(); w != 3 || e != 3 {
		t.Fatalf("kept %d workspaces and %d endpoints", w, e)
	}
	if b.workspaces.Peek("99") == nil || b.workspaces.Peek("97") == nil {
		t.Fatal("evicted the most recently used workspace")
	}
}

func TestBackoffAndDeadline(t *testing.T) {
	bo := Backoff{Base: 50 * time.Millisecond, Max: 2 * time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(-1, 100).Draw(rt, "n")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		want := min(bo.Base<<min(max(n, 0), 20), bo.Max)
		if d := bo.Delay(rng, n); d < 0 || d > want {
			rt.Fatalf("delay %v of retry %d exceeds %v", d, n, want)
		}
	})
	rng := rand.New(rand.NewPCG(3, 4))
	sum := time.Duration(0)
	for range 1000 {
		sum += bo.Delay(rng, 3)
	}
	if mean := sum / 1000; mean < 180*time.Millisecond || mean > 220*time.Millisecond {
		t.Fatalf("mean delay %v is not half of the bound", mean)
	}
	now := time.Unix(100, 0)
	if FitsDeadline(now, now.Add(time.Second), 600*time.Millisecond, 500*time.Millisecond) {
		t.Fatal("a retry that ends after the deadline fits")
	}
	if !FitsDeadline(now, now.Add(time.Second), 600*time.Millisecond, 400*time.Millisecond) {
		t.Fatal("a retry that ends at the deadline does not fit")
	}
	if NextHopTimeout(now, now.Add(time.Second), 2*time.Second) != 0 || NextHopTimeout(now, now.Add(time.Second), 0) != time.Second {
		t.Fatal("remaining deadline is wrong")
	}
}
