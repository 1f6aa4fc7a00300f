package contention

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// randomSurge returns a controller of a contended service after a random history, and a request.
func randomSurge(seed uint64) (*Controller, boottime.Instant, Request) {
	rng := rand.New(rand.NewPCG(seed, 1))
	c, now := New(seed), boottime.Instant(time.Hour)
	utilization := 1 + 2*rng.Float64()
	request := func() Request {
		r := Request{RoutePriority: rng.IntN(3), TimeLeft: time.Duration(200+rng.IntN(4000)) * time.Millisecond, UsualTimeLimit: 4 * time.Second, Goal: 300 * time.Millisecond}
		if rng.IntN(2) == 0 {
			r.Workspace = 1 + rng.Uint32N(30)
		}
		return r
	}
	for range 60 + rng.IntN(40) {
		now = now.Add(simTick)
		if rng.IntN(2) == 0 {
			c.SetWorkspaceLoads(map[uint32]int{0: 50, 1: 10, 2: 8})
		}
		c.Update(now, utilization*100, 100, 600*time.Millisecond, 75*time.Millisecond)
		for range rng.IntN(4) {
			c.Admit(now, request())
		}
	}
	return c, now.Add(time.Duration(rng.IntN(900)) * time.Millisecond), request()
}

// TestPeekChangesNothing guards against queries that count as requests, draw random numbers or let the sample expire.
func TestPeekChangesNothing(t *testing.T) {
	contended := 0
	for seed := range uint64(200) {
		c, now, r := randomSurge(seed)
		untouched, _, _ := randomSurge(seed)
		if !reflect.DeepEqual(c, untouched) {
			t.Fatalf("seed %d: two equal controllers differ, so that the test shows nothing", seed)
		}
		for range 3 {
			if c.Peek(now, r).Contended {
				contended++
			}
		}
		if !reflect.DeepEqual(c, untouched) {
			t.Fatalf("seed %d: the controller has changed", seed)
		}
	}
	if contended < 300 {
		t.Errorf("only %d queries under contention", contended)
	}
}

// TestPeekAgreesWithAdmit draws many decisions about the same request in the same state. It guards against a
// probability, a reason or a Retry-After that Admit does not follow.
func TestPeekAgreesWithAdmit(t *testing.T) {
	const draws = 3000
	uncertain := 0
	for seed := range uint64(60) {
		c, now, r := randomSurge(seed)
		p := c.Peek(now, r)
		admitted, ranked, reasons, after := 0, 0, map[Reason]int{}, time.Duration(0)
		for i := range uint64(draws) {
			other := *c
			other.rng, other.sample.sequence = rand.New(rand.NewPCG(seed, i)), 1000*i
			d := other.Admit(now, r)
			if d.Rank == p.Rank {
				ranked++
			}
			if d.Admitted {
				admitted++
			} else {
				reasons[d.Reason]++
				after += d.RetryAfter
			}
		}
		part := float64(admitted) / draws
		// Five standard deviations: one of 1.7 million correct cases fails.
		if margin := 5 * math.Sqrt(p.Probability*(1-p.Probability)/draws); math.Abs(part-p.Probability) > margin+1e-9 {
			t.Errorf("seed %d: %.4f admitted, said %+v", seed, part, p)
		}
		if ranked < draws/3 {
			t.Errorf("seed %d: rank %d in %d of %d draws", seed, p.Rank, ranked, draws)
		}
		if p.Probability > 0 && p.Probability < 1 {
			uncertain++
		}
		rejections := draws - admitted
		if rejections < 100 {
			continue
		}
		if mean := after / time.Duration(rejections); mean < p.RetryAfter*4/5 || mean > p.RetryAfter*6/5 {
			t.Errorf("seed %d: mean Retry-After %v, said %v", seed, mean, p.RetryAfter)
		}
		if reasons[p.Reason] < rejections/3 {
			t.Errorf("seed %d: reasons %v, said %v", seed, reasons, p.Reason)
		}
	}
	if uncertain < 10 {
		t.Errorf("only %d uncertain admissions", uncertain)
	}
}

// TestPeekWithoutContention: a service that is not contended admits everything.
func TestPeekWithoutContention(t *testing.T) {
	if p := New(1).Peek(boottime.Instant(time.Hour), Request{}); p != (Preview{Probability: 1, WithinShare: 1}) {
		t.Errorf("%+v", p)
	}
}
