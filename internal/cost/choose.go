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
// Starting from the best-ranked candidate, a worse-ranked one is preferred if it is faster by more
// than the margin. If the prefill would pause the streams running at the chosen candidate for longer
// than their goal, one with less harm is preferred, unless the request would be late there.
//
// Without learned times, the result is the best-ranked candidate.
func Choose(goal Goal, times []Times, ranks []int, tie uint64) int {
	times = times[:min(len(times), len(ranks))]
	ranks = ranks[:len(times)]
	if len(times) == 0 {
		return -1
	}
	if goal.Latency <= 0 {
		goal.Latency = defaultLatency
	}
	margin := time.Duration(marginOfLatency * (1 + marginSpread*unitInterval(tie, 1)) * float64(goal.Latency))
	considered, n := [consideredRanks]int{chooseAmongFirst(goal, margin, times, ranks, unitInterval(tie, 2))}, 1
	for ; n < consideredRanks; n++ {
		if considered[n] = nextByRank(ranks, considered[n-1]); considered[n] < 0 {
			break
		}
	}
	chosen := considered[0]
	for _, i := range considered[1:n] {
		if times[chosen].Learned && times[i].Learned && times[i].Total+margin < times[chosen].Total {
			chosen = i
		}
	}
	limit := goal.harmLimit(times[chosen].Total, margin)
	for _, i := range considered[:n] {
		harm := goal.harm(&times[chosen])
		if times[i].Total <= limit && goal.harm(&times[i]) < harm-time.Duration(equalFraction*float64(harm)) {
			chosen = i
		}
	}
	return chosen
}

// harm returns the harm to running streams if their pause is longer than their goal, otherwise 0.
func (g *Goal) harm(t *Times) time.Duration {
	if !t.Learned || g.EventGap <= 0 || t.Pause <= g.EventGap {
		return 0
	}
	return max(t.Harm, 0)
}

// harmLimit returns the longest time to the first event that a request accepts to avoid harm. It
// stays below the latency goal by the margin, because the times are estimates.
func (g *Goal) harmLimit(fastest, margin time.Duration) time.Duration {
	return max(g.Latency-margin, fastest+margin)
}

// chooseAmongFirst picks one of the candidates with the lowest rank. The probability falls
// exponentially with the cost, in units of equalFraction of the lowest one, so that about equal
// candidates share the requests and much slower ones get none. Choosing the fastest one would send the
// requests of all gateways to it until the next report.
//
// The cost is the sum of the time to the first event and the harm to running streams. If there is
// harm, candidates where the request would be late are left out, unless it would be late everywhere.
func chooseAmongFirst(goal Goal, margin time.Duration, times []Times, ranks []int, random float64) int {
	first, count := 0, 0
	for i, rank := range ranks {
		if rank < ranks[first] {
			first, count = i, 0
		}
		if rank == ranks[first] {
			count++
		}
	}
	if count == 1 {
		return first
	}
	var fastest, least, harm time.Duration = math.MaxInt64, math.MaxInt64, 0
	for i := range times {
		if ranks[i] == ranks[first] {
			fastest, harm = min(fastest, max(times[i].Total, 0)), max(harm, goal.harm(&times[i]))
		}
	}
	limit := time.Duration(math.MaxInt64)
	if harm > 0 {
		limit = goal.harmLimit(fastest, margin)
	}
	for i := range times {
		if ranks[i] == ranks[first] && times[i].Total <= limit {
			least = min(least, max(times[i].Total, 0)+goal.harm(&times[i]))
		}
	}
	unit := max(float64(equalTime), equalFraction*float64(least))
	weight := func(i int) float64 {
		switch {
		case ranks[i] != ranks[first] || times[i].Total > limit:
			return 0
		case !times[first].Learned:
			return 1
		}
		return math.Exp(-float64(max(times[i].Total, 0)+goal.harm(&times[i])-least) / unit)
	}
	total := 0.0
	for i := range times {
		total += weight(i)
	}
	last, x := first, random*total
	for i := range times {
		if w := weight(i); w > 0 {
			last = i
			if x -= w; x < 0 {
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
