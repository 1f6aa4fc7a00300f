package mesh

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// forwardedFailureTTL is the age up to which aggregators forward a failure report.
	forwardedFailureTTL = time.Second
	// failedCountTTL is how long the failures that a peer reports count.
	failedCountTTL = time.Second
	// maxFailedEndpoints bounds the endpoints whose failures are sent in one Status.
	maxFailedEndpoints = 40
	// maxFailureReports bounds the failure reports of one Status.
	maxFailureReports = 24
)

// highestCounts returns the n highest counts.
func highestCounts(counts wire.Counts, n int) wire.Counts {
	if len(counts) <= n {
		return counts
	}
	endpoints := slices.SortedFunc(maps.Keys(counts), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	out := wire.Counts{}
	for _, endpoint := range endpoints[:n] {
		out[endpoint] = counts[endpoint]
	}
	return out
}

// Failed returns the recent failures of endpoints that the fleet has seen, including this gateway's own, by
// the low 32 bits of the hash of the endpoint's ID.
func (s *State) Failed(now boottime.Instant, own wire.Counts) wire.Counts {
	if !s.aggregated() {
		return s.failedSum(now, own, nil)
	}
	best := s.bestSummaries(now)
	if local := best[s.self.DataCentre]; local != nil && !s.isFirstAggregator() {
		return local.failed
	}
	return s.failedSum(now, own, best)
}

// failedSum adds up the failures that this gateway, its peers and the summaries of other data centres report.
// In a large fleet, only peers of the same data centre are added. The maxFailedEndpoints highest are returned.
func (s *State) failedSum(now boottime.Instant, own wire.Counts, best map[fleet.DataCentreID]*summary) wire.Counts {
	sum := wire.Counts{}
	add := func(counts wire.Counts) {
		for endpoint, n := range counts {
			sum[endpoint] = uint16(min(int(sum[endpoint])+int(n), math.MaxUint16))
		}
	}
	add(own)
	for _, p := range s.sortedPeers {
		if p.lastReceived == 0 || now.Sub(p.lastReceived) > failedCountTTL || s.aggregated() && p.DataCentre != s.self.DataCentre {
			continue
		}
		add(p.status.Failed)
	}
	for dc, remote := range best {
		if dc != s.self.DataCentre && now.Sub(remote.at) <= failedCountTTL {
			add(remote.failed)
		}
	}
	return highestCounts(sum, maxFailedEndpoints)
}

// forwardedFailures returns the failure reports to be sent to a peer: those of this gateway and, if it is
// the first aggregator of its data centre, those that it has received: from this data centre for all peers,
// from the others for the peers of this data centre.
func (s *State) forwardedFailures(now boottime.Instant, to *peer, own []wire.FailureReport) []wire.FailureReport {
	if !s.isFirstAggregator() {
		return own
	}
	out := slices.Clone(own)
	for _, p := range s.sortedPeers {
		if p == to || p.DataCentre != s.self.DataCentre && to.DataCentre != s.self.DataCentre {
			continue
		}
		elapsed := now.Sub(p.lastReceived)
		if len(p.status.FailureReports) == 0 || elapsed > forwardedFailureTTL {
			continue
		}
		for _, f := range p.status.FailureReports {
			f.AgeMS += uint32(elapsed / time.Millisecond)
			if time.Duration(f.AgeMS)*time.Millisecond <= forwardedFailureTTL {
				out = addFailure(out, f)
			}
		}
	}
	return out
}

// latestFailures returns the latest maxFailureReports reports.
func latestFailures(reports []wire.FailureReport) []wire.FailureReport {
	if len(reports) <= maxFailureReports {
		return reports
	}
	sorted := slices.SortedFunc(slices.Values(reports), func(a, b wire.FailureReport) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return sorted[:maxFailureReports]
}

// addFailure adds a report, keeping the latest one of each endpoint.
func addFailure(out []wire.FailureReport, f wire.FailureReport) []wire.FailureReport {
	for i := range out {
		if out[i].Endpoint == f.Endpoint {
			if f.AgeMS < out[i].AgeMS {
				out[i] = f
			}
			return out
		}
	}
	if len(out) >= maxFailureReports {
		return out
	}
	return append(out, f)
}
