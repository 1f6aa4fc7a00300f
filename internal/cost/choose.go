package cost

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// consideredRanks is the number of endpoints, from the best-ranked on, at which a request with a
	// shared prefix is placed. More would scatter copies of the prefix.
	consideredRanks = 4
	// marginOfLatency is the fraction of the latency goal by which an endpoint must be faster than one
	// with a better rank. It is above the usual error of the estimates for a cached prompt.
	marginOfLatency = 0.25
	// marginSpread widens the margin by a random part per request. When a hot key loads its first
	// endpoint, gateways with the same delayed report move a growing part of the requests, not all.
	marginSpread = 0.5
	// defaultLatency is the latency goal of a route without one, as long as the goals of batch work.
	defaultLatency = 1200 * time.Millisecond
	// equalFraction is the fraction of the least time within which endpoints of the same rank are
	// about equal: the target for the median error of the estimates. equalTime is its lower bound.
	equalFraction = 0.25
	equalTime     = time.Millisecond
)

// Goal holds the goals of a request's route. 0 means none.
type Goal struct {
	Latency  time.Duration // until the first event or the response
	EventGap time.Duration // between two events, also for the streams that a prefill delays
	// Priority is 0 for the most urgent requests. Choose does not use it: endpoints order their queues
	// by it, and the latency goal already says how much time a request has.
	Priority int
}

// Choose returns the index of the candidate at which to place a request, -1 if there is none.
// times[i] and ranks[i] belong to candidate i, in any order. Candidates of equal rank are
// interchangeable, as all are for a request without an affinity. The result depends only on
// the arguments; tie is a random number of the request, which makes gateways with the same reports
// choose differently.
//
// The cost of a candidate is the time to the first event. The harm to running streams is added if the
// prefill would pause them for longer than the goal: the delay of others then counts as much as the
// request's own. Starting from the best-ranked candidate, a worse-ranked one is preferred if its cost
// is lower by more than the margin, unless the request would be late only there.
//
// Without learned times, the result is the best-ranked candidate.
func Choose(goal Goal, times []Times, ranks []int, tie uint64) int {
	times = times[:min(len(times), len(ranks))]
	ranks = ranks[:len(times)]
	if len(times) == 0 {
		return -1
	}
	chosen := chooseAmongFirst(goal, times, ranks, unitInterval(tie, 1))
	if !times[chosen].Learned {
		return chosen
	}
	if goal.Latency <= 0 {
		goal.Latency = defaultLatency
	}
	margin := time.Duration(marginOfLatency * (1 + marginSpread*unitInterval(tie, 2)) * float64(goal.Latency))
	for previous, n := chosen, 1; n < consideredRanks; n++ {
		next := nextByRank(ranks, previous)
		if next < 0 {
			break
		}
		previous = next
		if times[next].Learned && goal.cost(&times[next]) < goal.cost(&times[chosen])-margin &&
			times[next].Total <= max(goal.Latency, times[chosen].Total+margin) {
			chosen = next
		}
	}
	return chosen
}

// cost returns what Choose minimises.
func (g *Goal) cost(t *Times) time.Duration {
	cost := max(t.Total, 0)
	if g.EventGap > 0 && t.Pause > g.EventGap {
		cost += max(t.Harm, 0)
	}
	return cost
}

// chooseAmongFirst picks one of the candidates with the lowest rank. The probability falls
// exponentially with the cost, in units of equalFraction of the lowest one, so that about equal
// candidates share the requests and much slower ones get none. Choosing the fastest one would send the
// requests of all gateways to it until the next report.
func chooseAmongFirst(goal Goal, times []Times, ranks []int, random float64) int {
	first, count := 0, 0
	least := time.Duration(math.MaxInt64)
	for i, rank := range ranks {
		if rank > ranks[first] {
			continue
		}
		if rank < ranks[first] {
			first, count, least = i, 0, math.MaxInt64
		}
		count++
		least = min(least, goal.cost(&times[i]))
	}
	if count == 1 {
		return first
	}
	unit := max(float64(equalTime), equalFraction*float64(least))
	weight := func(i int) float64 {
		if !times[first].Learned {
			return 1
		}
		return math.Exp(-float64(goal.cost(&times[i])-least) / unit)
	}
	total := 0.0
	for i := range ranks {
		if ranks[i] == ranks[first] {
			total += weight(i)
		}
	}
	last, x := first, random*total
	for i := range ranks {
		if ranks[i] == ranks[first] {
			last = i
			if x -= weight(i); x < 0 {
				return i
			}
		}
	}
	return last // rounding
}

// nextByRank returns the candidate with the next higher rank, the first one of several, or -1.
func nextByRank(ranks []int, previous int) int {
	next := -1
	for i, rank := range ranks {
		if rank > ranks[previous] && (next < 0 || rank < ranks[next]) {
			next = i
		}
	}
	return next
}

// unitInterval returns a number from [0, 1) that is determined by tie and the number of the draw.
func unitInterval(tie, draw uint64) float64 {
	var source rand.PCG
	source.Seed(tie, draw)
	return float64(source.Uint64()>>11) / (1 << 53)
}
