package mesh

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// statusBudget is the size in bytes of the counts, failure reports and Backlog of a Status, which fits into one
	// datagram with the remaining fields.
	statusBudget = summaryBudget + 40
	// maxBacklogBytes bounds the Backlog of one Status.
	maxBacklogBytes = 400
	// maxDisplacedCounts is the size in bytes that a Backlog may take of the counts of a summary, which are then sent in
	// turns. The counts of maxSummaryCounts endpoints fit beside it.
	maxDisplacedCounts = 250
	// backlogBaseBytes bounds the encoded size of a Backlog without entries, with the store update that carries it.
	backlogBaseBytes = 30
	workspaceBytes   = 7
	// longDistance is the difference of two positions from which it takes two bytes.
	longDistance = 128
	// maxReadUnits bounds the pending prefill time of an endpoint, 82 s, so that it takes two bytes.
	maxReadUnits = 1<<12 - 1
	// maxWorkspaceRequests bounds the requests of a workspace, so that they take three bytes.
	maxWorkspaceRequests = 1<<21 - 1
)

// rankedBacklog is a Backlog with its entries in the order in which they are sent if not all fit.
type rankedBacklog struct {
	sum    *backlogSum
	speeds []uint32 // endpoints, the newest speed first
	reads  []uint32 // endpoints, the longest time first
	at     boottime.Instant

	fittedSize int // size for which fitted was computed
	fitted     *wire.Backlog
}

// rank prepares a Backlog for sending, without the endpoints that receivers do not know and the speeds that are too old.
// It returns nil if nothing is left.
func (s *State) rank(now boottime.Instant, b *backlogSum) *rankedBacklog {
	if b == nil {
		return nil
	}
	r := &rankedBacklog{sum: b, at: now}
	r.speeds = slices.SortedFunc(maps.Keys(b.speeds), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(b.speeds[y].At, b.speeds[x].At), cmp.Compare(x, y))
	})
	r.speeds = slices.DeleteFunc(r.speeds, func(id uint32) bool {
		return s.endpoints.position(id) < 0 || !b.speeds[id].Sent(now)
	})
	r.reads = slices.DeleteFunc(byCount(b.reads), func(id uint32) bool { return s.endpoints.position(id) < 0 })
	if len(r.speeds)+len(r.reads)+len(b.workspaces) == 0 {
		return nil
	}
	return r
}

// position returns the position of an endpoint in the index, or -1.
func (x *endpointIndex) position(id uint32) int {
	if i, ok := slices.BinarySearch(x.ids, id); ok {
		return i
	}
	return -1
}

// halfBytes bounds the encoded size of an entry in half bytes, of which the position takes two.
func halfBytes(units int) int { return 2 + wire.HalfBytes(units) }

// sizes returns bounds of the encoded sizes: of one speed and of all pending prefill times.
func (r *rankedBacklog) sizes() (speed, reads int) {
	speed = 2
	percents := map[uint16]bool{}
	for _, id := range r.speeds {
		percents[r.sum.speeds[id].Percent] = true
	}
	if len(percents) > wire.MaxPalette {
		speed = 3
	}
	for _, id := range r.reads {
		reads += halfBytes(min(r.sum.reads[id], maxReadUnits))
	}
	return speed, (reads + 1) / 2
}

// baseSize bounds the encoded size of a Backlog without entries.
func (x *endpointIndex) baseSize() int {
	return backlogBaseBytes + wire.MaxPalette + 2*x.longDistances()
}

// size returns a bound of the encoded size of all entries.
func (r *rankedBacklog) size(x *endpointIndex) int {
	if r == nil {
		return 0
	}
	speed, reads := r.sizes()
	return x.baseSize() + workspaceBytes*min(len(r.sum.workspaces), maxWorkspaces) + speed*len(r.speeds) + reads
}

// longDistances bounds the entries of a list sorted by position that differ from the entry before by longDistance or more.
func (x *endpointIndex) longDistances() int { return len(x.ids)/longDistance + 1 }

// fit returns the Backlog with the entries that fit into a size in bytes, or nil if none does. The workspaces come first, since
// there are few. Then half of the rest is for speeds and half for pending prefill times, and what one does not need is for the
// other: the newest speeds and the longest times are sent.
func (s *State) fit(r *rankedBacklog, size int) *wire.Backlog {
	if r == nil {
		return nil
	}
	size = min(size, maxBacklogBytes)
	if r.fittedSize == size {
		return r.fitted
	}
	r.fittedSize, r.fitted = size, nil
	rest := size - s.endpoints.baseSize()
	if rest < 0 {
		return nil
	}
	b := &wire.Backlog{Digest: s.endpoints.digest}
	for _, workspace := range byCount(r.sum.workspaces) {
		if len(b.Workspaces) == maxWorkspaces || rest < workspaceBytes {
			break
		}
		rest -= workspaceBytes
		b.Workspaces = append(b.Workspaces, wire.WorkspaceLoad{Workspace: workspace, Requests: uint32(min(r.sum.workspaces[workspace], maxWorkspaceRequests))})
	}
	speedBytes, forReads := r.sizes()
	forReads = min(forReads, max(rest/2, rest-speedBytes*len(r.speeds)))
	for _, id := range r.speeds[:min(len(r.speeds), (rest-forReads)/speedBytes)] {
		speed := r.sum.speeds[id]
		b.Speeds = append(b.Speeds, wire.EndpointSpeed{Position: uint32(s.endpoints.position(id)), Percent: speed.Percent, AgeMS: ageMS(r.at, speed.At)})
	}
	halves := 2 * forReads
	for _, id := range r.reads {
		units := min(r.sum.reads[id], maxReadUnits)
		if halves -= halfBytes(units); halves < 0 {
			break
		}
		b.Reads = append(b.Reads, wire.PendingRead{Position: uint32(s.endpoints.position(id)), Units: uint32(units)})
	}
	if len(b.Speeds)+len(b.Reads)+len(b.Workspaces) > 0 {
		b.SortPositions()
		r.fitted = b
	}
	return r.fitted
}

// ageMS returns the time since at, rounded up so that a speed never seems later than it was.
func ageMS(now, at boottime.Instant) uint32 {
	return uint32(min(max(now.Sub(at)+time.Millisecond-1, 0)/time.Millisecond, math.MaxUint32))
}

// ownBacklogSize returns the size in bytes that a Status without a summary has left for the Backlog. It is the same for all
// receivers, so that a sum is known to contain what was sent.
func ownBacklogSize(l LocalStatus) int {
	return statusBudget - countBytes*(len(l.InFlight)+min(len(l.Failed), maxFailedEndpoints)) - reportBytes*min(len(l.FailureReports), maxFailureReports)
}
