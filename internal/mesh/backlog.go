package mesh

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxWorkspaces bounds the workspaces whose requests are sent in one Status.
const maxWorkspaces = 16

// Backlog is the outstanding work and the speed of endpoints, by their short IDs, and the requests in flight of workspaces
// that are reported by gateways that have seen contention or queues lately, by the low 32 bits of the hash of the workspace's ID.
type Backlog struct {
	Speeds     map[uint32]backlog.Speed
	Reads      map[uint32]time.Duration // pending prefill times
	Workspaces map[uint32]int           // nil: no gateway reports any
}

// backlogSum is a Backlog in the units of messages, so that what a gateway has sent can be subtracted exactly from a sum.
type backlogSum struct {
	speeds     map[uint32]backlog.Speed
	reads      map[uint32]int // of wire.ReadUnitMS
	workspaces map[uint32]int
}

func newBacklogSum() *backlogSum {
	return &backlogSum{speeds: map[uint32]backlog.Speed{}, reads: map[uint32]int{}, workspaces: map[uint32]int{}}
}

// localBacklog returns this gateway's own Backlog, or nil if there is nothing to report.
func localBacklog(now boottime.Instant, l Backlog) *backlogSum {
	if len(l.Speeds) == 0 && len(l.Reads) == 0 && len(l.Workspaces) == 0 {
		return nil
	}
	b := &backlogSum{speeds: map[uint32]backlog.Speed{}, reads: map[uint32]int{}, workspaces: largest(l.Workspaces)}
	for endpoint, speed := range l.Speeds {
		if speed.Sent(now) {
			b.speeds[endpoint] = speed
		}
	}
	for endpoint, read := range l.Reads {
		const unit = wire.ReadUnitMS * time.Millisecond
		if units := int((read + unit/2) / unit); units > 0 {
			b.reads[endpoint] = units
		}
	}
	return b
}

// largest returns the maxWorkspaces workspaces with the most requests.
func largest(loads map[uint32]int) map[uint32]int {
	if len(loads) <= maxWorkspaces {
		return loads
	}
	out := map[uint32]int{}
	for _, workspace := range byCount(loads)[:maxWorkspaces] {
		out[workspace] = loads[workspace]
	}
	return out
}

// byCount returns the keys of counts, the highest count first.
func byCount(counts map[uint32]int) []uint32 {
	return slices.SortedFunc(maps.Keys(counts), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// add adds the Backlog of another gateway, or of several: the newest speed of each endpoint counts.
func (b *backlogSum) add(other *backlogSum) {
	if other == nil {
		return
	}
	for endpoint, speed := range other.speeds {
		if known, ok := b.speeds[endpoint]; !ok || speed.At > known.At {
			b.speeds[endpoint] = speed
		}
	}
	for endpoint, units := range other.reads {
		b.reads[endpoint] += units
	}
	for workspace, n := range other.workspaces {
		b.workspaces[workspace] += n
	}
}

// without returns the Backlog without what this gateway has contributed to its sums. Speeds are not sums.
func (b *backlogSum) without(own *backlogSum) *backlogSum {
	if b == nil || own == nil {
		return b
	}
	return &backlogSum{b.speeds, subtract(b.reads, own.reads), subtract(b.workspaces, own.workspaces)}
}

func subtract(sum, own map[uint32]int) map[uint32]int {
	out := maps.Clone(sum)
	for key, n := range own {
		if out[key] > n {
			out[key] -= n
		} else {
			delete(out, key)
		}
	}
	return out
}

// receiveBacklog converts the Backlog of a received Status, or returns nil.
func (s *State) receiveBacklog(now boottime.Instant, m *wire.Backlog) *backlogSum {
	if m != nil {
		s.backlogAt = now
	}
	return s.unpack(now, m)
}

// unpack converts the Backlog of a Status. If it is of other endpoints than this gateway has, only the workspaces are used.
func (s *State) unpack(now boottime.Instant, m *wire.Backlog) *backlogSum {
	if m == nil {
		return nil
	}
	b := newBacklogSum()
	if m.Digest == s.endpoints.digest {
		for _, e := range m.Speeds {
			if int(e.Position) < len(s.endpoints.ids) {
				b.speeds[s.endpoints.ids[e.Position]] = backlog.Speed{Percent: e.Percent, At: now.Add(-milliseconds(uint64(e.AgeMS)))}
			}
		}
		for _, r := range m.Reads {
			if int(r.Position) < len(s.endpoints.ids) {
				b.reads[s.endpoints.ids[r.Position]] = int(min(r.Units, maxReadUnits))
			}
		}
	}
	for _, w := range m.Workspaces {
		if len(b.workspaces) < maxWorkspaces {
			b.workspaces[w.Workspace] = int(min(w.Requests, math.MaxInt32))
		}
	}
	return b
}

// Backlog returns what this gateway has received from the others: the newest speeds, and the sums of pending prefill times and
// of requests by workspace without its own. It is composed of the same messages as InFlight. The caller must not change it.
func (s *State) Backlog(now boottime.Instant) Backlog {
	if s.backlogAt == 0 || now.Sub(s.backlogAt) > summaryTTL {
		return Backlog{}
	}
	if !s.aggregated() {
		return s.addPeerBacklogs(now, s.live).result()
	}
	best := s.bestSummaries(now)
	if own := best[s.self.DataCentre]; own != nil && !s.isFirstAggregator() {
		return own.backlog.without(s.sentBacklogAt(own.echo)).result()
	}
	return s.fleetBacklog(now, best).result()
}

func (b *backlogSum) result() Backlog {
	if b == nil {
		return Backlog{}
	}
	out := Backlog{Speeds: b.speeds, Reads: make(map[uint32]time.Duration, len(b.reads))}
	for endpoint, units := range b.reads {
		out.Reads[endpoint] = time.Duration(units) * wire.ReadUnitMS * time.Millisecond
	}
	if len(b.workspaces) > 0 {
		out.Workspaces = b.workspaces
	}
	return out
}

// addPeerBacklogs combines the Backlogs of the peers for which include returns true.
func (s *State) addPeerBacklogs(now boottime.Instant, include func(boottime.Instant, *peer) bool) *backlogSum {
	b := newBacklogSum()
	for _, p := range s.sortedPeers {
		if p.backlog != nil && include(now, p) {
			b.add(p.backlog)
		}
	}
	return b
}

// fleetBacklog combines the Backlogs of the peers of this gateway's data centre and the summaries of the others.
func (s *State) fleetBacklog(now boottime.Instant, best map[fleet.DataCentreID]*summary) *backlogSum {
	b := s.addPeerBacklogs(now, s.heardRecently)
	for dc, remote := range best {
		if dc != s.self.DataCentre {
			b.add(remote.backlog)
		}
	}
	return b
}

// ownBacklog returns this gateway's Backlog for a Status without a summary, which is sent at now, and remembers it.
func (s *State) ownBacklog(now boottime.Instant, l LocalStatus) *wire.Backlog {
	m := s.fit(s.rank(now, localBacklog(now, l.Backlog)), ownBacklogSize(l))
	s.lastBacklog = s.unpack(now, m)
	if n := len(s.sentCounts); n > 0 && s.sentCounts[n-1].timestamp == s.timestamp(now) {
		s.sentCounts[n-1].backlog = s.lastBacklog
	}
	return m
}

// sentBacklogAt returns what this gateway had sent with a timestamp, or nil.
func (s *State) sentBacklogAt(timestamp uint64) *backlogSum {
	for _, sent := range s.sentCounts {
		if sent.timestamp == timestamp {
			return sent.backlog
		}
	}
	return nil
}

// sumBacklogs returns the Backlogs of the fleet and of this gateway's data centre, as sent by its first aggregator. They
// include its own.
func (s *State) sumBacklogs(now boottime.Instant, l LocalStatus, best map[fleet.DataCentreID]*summary) (fleetWide, local *rankedBacklog) {
	own := localBacklog(now, l.Backlog)
	if own == nil && (s.backlogAt == 0 || now.Sub(s.backlogAt) > summaryTTL) {
		return nil, nil
	}
	localSum, fleetSum := s.addPeerBacklogs(now, s.heardRecently), s.fleetBacklog(now, best)
	localSum.add(own)
	fleetSum.add(own)
	return s.rank(now, fleetSum), s.rank(now, localSum)
}
