package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// summaryTTL is how long a summary, or a Status as a part of one, counts.
	summaryTTL = 3 * time.Second
	// summaryFreshness is the age up to which the summary with the most gateways is preferred to a
	// more recent one.
	summaryFreshness = 4 * aggregationInterval
	// maxSummaryCounts bounds the counts of one summary. Those of more endpoints are sent in turns.
	maxSummaryCounts = 700
	// summaryBudget is the size in bytes of the summary and the failure reports of one Status, which fits
	// into one datagram with the remaining fields.
	summaryBudget = 950
	// minSummaryCounts is the number of counts that are sent in any case.
	minSummaryCounts = 100
	// countBytes and reportBytes bound the encoded sizes of an entry of wire.Counts and of a failure report.
	countBytes  = 8
	reportBytes = 10
	// maxSentCounts is how many of the latest counts of this gateway are kept, to subtract them from
	// a sum that contains them.
	maxSentCounts = 32
)

// endpointIndex is the order of endpoints in summaries.
type endpointIndex struct {
	ids    []uint32 // short IDs, sorted
	digest uint32   // of ids
}

// SetEndpoints sets the endpoints whose requests are summed up, by the low 32 bits of the hashes of
// their IDs. Summaries are exchanged only between gateways with the same endpoints.
func (s *State) SetEndpoints(ids []uint32) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	digest := uint64(len(ids))
	for _, id := range ids {
		digest = fleet.Weight(digest, uint64(id))
	}
	s.endpoints = endpointIndex{ids, uint32(digest)}
}

// summary is the sum of requests in flight that a peer has sent: of its data centre, or of the whole
// fleet if the peer is in this gateway's data centre.
type summary struct {
	ids      []uint32 // endpoints of counts
	digest   uint32   // of ids
	counts   []byte
	failed   wire.Counts      // failures of endpoints
	gateways uint32           // gateways whose requests are counted
	echo     uint64           // timestamp of the latest Status of this gateway that is counted
	at       boottime.Instant // when its latest part arrived; zero: never
	backlog  *backlogSum      // of the same gateways; nil: none
}

// receiveSummary stores the part of a summary that a Status carries.
func (s *State) receiveSummary(now boottime.Instant, p *peer, m wire.Status) {
	part := m.Summary
	if part == nil || part.Digest != s.endpoints.digest {
		return
	}
	n := len(s.endpoints.ids)
	if int64(part.Offset)+int64(len(part.Counts)) > int64(n) {
		return
	}
	sum := &p.summary
	if sum.at == 0 || sum.digest != part.Digest {
		*sum = summary{ids: s.endpoints.ids, digest: part.Digest, counts: make([]byte, n)}
	}
	copy(sum.counts[part.Offset:], part.Counts)
	sum.failed, sum.gateways, sum.echo, sum.at = part.Failed, part.Gateways, m.Echo, now
	sum.backlog = s.receiveBacklog(now, m.Backlog)
}

// betterThan orders the summaries of one data centre: fresh ones with more gateways come first.
func (a *summary) betterThan(b *summary, now boottime.Instant) bool {
	freshA, freshB := now.Sub(a.at) <= summaryFreshness, now.Sub(b.at) <= summaryFreshness
	switch {
	case b.at == 0 || freshA != freshB:
		return freshA || b.at == 0
	case a.gateways != b.gateways:
		return a.gateways > b.gateways
	default:
		return a.at > b.at
	}
}

// bestSummaries returns the best valid summary of each data centre.
func (s *State) bestSummaries(now boottime.Instant) map[fleet.DataCentreID]*summary {
	best := map[fleet.DataCentreID]*summary{}
	for _, p := range s.sortedPeers {
		if p.summary.at == 0 || now.Sub(p.summary.at) > summaryTTL {
			continue
		}
		if b := best[p.DataCentre]; b == nil || p.summary.betterThan(b, now) {
			best[p.DataCentre] = &p.summary
		}
	}
	return best
}

// InFlight returns the sum of the peers' requests in flight by endpoint. The key is the low 32 bits of
// the hash of the endpoint's ID. The first aggregator of a data centre adds up its gateways and the
// summaries of the other data centres. Every other gateway uses the sum that an aggregator of its data centre has sent; without
// one, and in a small fleet, it adds up the gateways from which it has heard.
func (s *State) InFlight(now boottime.Instant) map[uint32]int {
	if !s.aggregated() {
		sum := map[uint32]int{}
		s.addPeerCounts(now, sum, s.live)
		return sum
	}
	best := s.bestSummaries(now)
	if own := best[s.self.DataCentre]; own != nil && !s.isFirstAggregator() {
		return s.withoutOwn(own)
	}
	sum, _ := s.fleetSum(now, best)
	return sum
}

// addPeerCounts adds the counts of the peers for which include returns true, and returns their number.
func (s *State) addPeerCounts(now boottime.Instant, sum map[uint32]int, include func(boottime.Instant, *peer) bool) int {
	n := 0
	for _, p := range s.sortedPeers {
		if !include(now, p) {
			continue
		}
		n++
		for endpoint, requests := range p.status.InFlight {
			sum[endpoint] += int(requests)
		}
	}
	return n
}

// heardRecently reports whether the counts of a peer of this gateway's data centre are recent enough to be
// part of a sum.
func (s *State) heardRecently(now boottime.Instant, p *peer) bool {
	return p.DataCentre == s.self.DataCentre && p.lastReceived != 0 && now.Sub(p.lastReceived) <= summaryTTL
}

// fleetSum returns the sum of the requests of all peers, and the number of gateways in it.
func (s *State) fleetSum(now boottime.Instant, best map[fleet.DataCentreID]*summary) (map[uint32]int, int) {
	sum := map[uint32]int{}
	gateways := s.addPeerCounts(now, sum, s.heardRecently)
	for dc, remote := range best {
		if dc == s.self.DataCentre {
			continue
		}
		gateways += int(remote.gateways)
		for i, n := range remote.counts {
			if n > 0 {
				sum[remote.ids[i]] += int(n)
			}
		}
	}
	return sum, gateways
}

// sentCounts is the content of a Status that this gateway has sent.
type sentCounts struct {
	timestamp uint64
	inFlight  wire.Counts
	backlog   *backlogSum // that its receivers have from this gateway; nil: none
}

// rememberCounts keeps the counts of a Status that is sent at now.
func (s *State) rememberCounts(now boottime.Instant, f wire.Counts) {
	at := s.timestamp(now)
	if n := len(s.sentCounts); n > 0 && s.sentCounts[n-1].timestamp == at {
		s.sentCounts[n-1].inFlight = f
		return
	}
	if len(s.sentCounts) >= maxSentCounts {
		s.sentCounts = slices.Delete(s.sentCounts, 0, 1)
	}
	s.sentCounts = append(s.sentCounts, sentCounts{at, f, s.lastBacklog})
}

// withoutOwn returns a sum without the requests of this gateway that it contains.
func (s *State) withoutOwn(total *summary) map[uint32]int {
	sum := make(map[uint32]int, len(total.ids))
	for i, n := range total.counts {
		if n > 0 {
			sum[total.ids[i]] = int(n)
		}
	}
	for _, sent := range s.sentCounts {
		if sent.timestamp != total.echo {
			continue
		}
		for endpoint, n := range sent.inFlight {
			sum[endpoint] = max(sum[endpoint]-int(n), 0)
		}
	}
	return sum
}

// sums holds the requests in flight by endpoint, in the order of the endpointIndex, as sent by the first
// aggregator of a data centre. They include its own and those of the receiver.
type sums struct {
	fleet, dataCentre sumOf
}

type sumOf struct {
	counts   []byte
	failed   wire.Counts
	gateways uint32
	backlog  *rankedBacklog
}

// computeSums returns the sums to be sent, or nil unless this gateway is the first aggregator of its data
// centre.
func (s *State) computeSums(now boottime.Instant, own LocalStatus) *sums {
	if !s.aggregated() || !s.isFirstAggregator() {
		return nil
	}
	local, localGateways := s.fleetSum(now, nil)
	best := s.bestSummaries(now)
	fleetWide, gateways := s.fleetSum(now, best)
	for endpoint, n := range own.InFlight {
		local[endpoint] += int(n)
		fleetWide[endpoint] += int(n)
	}
	fleetBacklog, localBacklog := s.sumBacklogs(now, own, best)
	return &sums{
		fleet:      sumOf{s.endpoints.pack(fleetWide), s.failedSum(now, own.Failed, best), uint32(gateways + 1), fleetBacklog},
		dataCentre: sumOf{s.endpoints.pack(local), s.failedSum(now, own.Failed, nil), uint32(localGateways + 1), localBacklog},
	}
}

// pack returns the counts in the order of the index. The highest count is 255.
func (x *endpointIndex) pack(sum map[uint32]int) []byte {
	counts := make([]byte, len(x.ids))
	for i, id := range x.ids {
		counts[i] = byte(min(sum[id], math.MaxUint8))
	}
	return counts
}

// addSummary adds the next part of the sums to a Status for a peer.
func (s *State) addSummary(m *wire.Status, p *peer, all *sums) {
	if all == nil {
		return
	}
	m.InFlight, m.Failed = nil, nil // part of the sums
	s.addPart(m, p, all, summaryBudget-reportBytes*len(m.FailureReports))
}

// addPart adds the next part of the sum for a peer, of about the given size in bytes, and the Backlog of the same gateways.
func (s *State) addPart(m *wire.Status, p *peer, all *sums, size int) {
	if len(s.endpoints.ids) == 0 {
		return
	}
	sum := all.dataCentre
	if p.DataCentre == s.self.DataCentre {
		sum = all.fleet
	}
	if p.nextOffset >= len(sum.counts) {
		p.nextOffset = 0
	}
	size -= countBytes * len(sum.failed)
	counts := min(max(size-min(sum.backlog.size(&s.endpoints), maxDisplacedCounts), minSummaryCounts), maxSummaryCounts)
	from, to := p.nextOffset, min(p.nextOffset+counts, len(sum.counts))
	p.nextOffset = to
	m.Summary = &wire.LoadSummary{Digest: s.endpoints.digest, Gateways: sum.gateways, Offset: uint32(from), Counts: sum.counts[from:to], Failed: sum.failed}
	m.Backlog = s.fit(sum.backlog, size-(to-from)+statusBudget-summaryBudget)
}
