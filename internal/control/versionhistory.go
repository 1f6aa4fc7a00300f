package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// A process that has started, while no peer knows more than itself, reads the writes that the store has kept from before its start:
// endpoints write heartbeats, so that those that have left since are among them, with their versions.

const (
	// historyReadInterval is the minimum time between two reads of the store's history.
	historyReadInterval = time.Second
	// historySlack is how much longer than a stream may last the history is read for.
	historySlack = 2 * time.Second
	// minHeartbeatShare is the least time between two heartbeats, as a share of their interval.
	minHeartbeatShare = 0.9
	// departureTime is how long after its entry was deleted an endpoint may still begin a stream.
	departureTime = 2 * time.Second
)

// ReadHistory requests the writes of the store before a revision. The result is passed to HistoryRead.
type ReadHistory struct {
	Before fleet.Revision
	Writes int // number of writes that suffices
}

func (ReadHistory) action() {}

// versionHistory is the progress of reading the store's history.
type versionHistory struct {
	firstRevision fleet.Revision // of the copy of the store since which all versions are known; 0: there is none
	reading       bool
	readAt        boottime.Instant // last read; 0: none
}

// readHistoryIfNeeded requests the store's history if an inquiry needs it.
func (s *State) readHistoryIfNeeded(now boottime.Instant) {
	v := &s.origins.versions
	if v.reading || v.firstRevision == 0 || s.opts.HeartbeatInterval <= 0 || v.readAt != 0 && now.Sub(v.readAt) < historyReadInterval {
		return
	}
	needed := slices.ContainsFunc(s.origins.inquiries, func(q inquiry) bool {
		return q.lookup.Unrecorded() && !s.knowsVersions(now, q.services)
	})
	if !needed {
		return
	}
	v.reading, v.readAt = true, now
	s.emit(ReadHistory{Before: v.firstRevision, Writes: s.expectedWrites()})
}

// expectedWrites returns how many heartbeats all endpoints write in the time that the history is read for.
func (s *State) expectedWrites() int {
	span := s.origins.streamLifetime + historySlack
	return len(s.endpointList)*int(span/s.opts.HeartbeatInterval+1) + 1
}

// HistoryRead handles the result of a ReadHistory action: writes in the order of their revisions.
func (s *State) HistoryRead(now boottime.Instant, before fleet.Revision, writes []published.Item, err error) {
	v := &s.origins.versions
	v.reading = false
	if err != nil {
		s.log(event.PlatformUnreadable, "err", err.Error(), "history_before", before)
		return
	}
	h := s.decodeHistory(writes)
	for id, versions := range h.versions {
		for version := range versions {
			s.history(id).Replaced(s.origins.knownSince, version)
		}
	}
	reach := h.reach(s.opts.HeartbeatInterval)
	for _, history := range s.origins.histories {
		if history.Since() <= s.origins.knownSince {
			history.Extend(s.origins.knownSince.Add(-reach))
		}
	}
	s.log(event.VersionsLearned, "from", "store", "writes", len(writes), "known_ms", reach.Milliseconds())
	s.settleInquiries(now)
}

// writtenHistory is what the store's writes before a revision show.
type writtenHistory struct {
	versions   map[fleet.ServiceID]map[origin.Version]bool
	heartbeats map[fleet.EndpointID]int // writes that repeat the endpoint's entry
	departed   bool                     // the writes begin with the departure of an endpoint whose version is not known
}

// decodeHistory returns what writes show of the time after the last departure of an endpoint whose version they do not show.
func (s *State) decodeHistory(writes []published.Item) writtenHistory {
	h := newWrittenHistory(false)
	last := map[fleet.EndpointID]fleet.Endpoint{}
	for _, it := range writes {
		record, err := s.opts.Protocol.DecodeItem(it)
		if err != nil && record == nil {
			continue
		}
		switch r := record.(type) {
		case published.Endpoint:
			e := r.Endpoint
			h.add(e, last[e.ID] == e)
			last[e.ID] = e
		case published.EndpointGone:
			if _, known := last[r.ID]; !known {
				h = newWrittenHistory(true)
				clear(last)
			}
		}
	}
	return h
}

func newWrittenHistory(departed bool) writtenHistory {
	return writtenHistory{versions: map[fleet.ServiceID]map[origin.Version]bool{}, heartbeats: map[fleet.EndpointID]int{}, departed: departed}
}

func (h *writtenHistory) add(e fleet.Endpoint, repeated bool) {
	versions := h.versions[e.Service]
	if versions == nil {
		versions = map[origin.Version]bool{}
		h.versions[e.Service] = versions
	}
	versions[origin.VersionOf(e.Version)] = true
	if repeated {
		h.heartbeats[e.ID]++
	} else {
		h.heartbeats[e.ID] += 0
	}
}

// reach returns for how long before their end the writes show all versions, by the heartbeats of the endpoint at the upper quartile:
// those at the top may have other writers.
func (h *writtenHistory) reach(heartbeat time.Duration) time.Duration {
	var counts []int
	for _, n := range h.heartbeats {
		counts = append(counts, n)
	}
	if len(counts) == 0 {
		return 0
	}
	slices.Sort(counts)
	reach := time.Duration(float64(counts[3*(len(counts)-1)/4]) * float64(heartbeat) * minHeartbeatShare)
	if h.departed {
		reach -= departureTime
	}
	return max(reach, 0)
}
