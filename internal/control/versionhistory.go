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

// A process that has started, while no peer knows more than itself, may still know all versions of the last time: an endpoint that
// started before that time and is still there had written its entry before. If every later write of the store is known, no endpoint has
// left without its version being known.

const (
	// historyReadInterval is the minimum time between two reads of the store's history.
	historyReadInterval = 2 * time.Second
	// clockTolerance is how far the wall clocks of gateways and endpoints may differ.
	clockTolerance = 5 * time.Second
)

// ReadHistory requests the history of the store. The result is passed to HistoryRead.
type ReadHistory struct{}

func (ReadHistory) action() {}

// historyReads is the progress of reading the store's history.
type historyReads struct {
	reading bool
	readAt  boottime.Instant // last read; 0: none
}

// due reports whether the history is being read, or may be read now.
func (h *historyReads) due(now boottime.Instant) bool {
	return h.reading || h.readAt == 0 || now.Sub(h.readAt) >= historyReadInterval
}

// mayLearnVersions reports whether this process may learn within moments which versions some services have had.
func (s *State) mayLearnVersions(now boottime.Instant, services []fleet.ServiceID) bool {
	return s.knowsVersions(now, services) || s.origins.historyReads.due(now)
}

// readHistoryIfNeeded requests the store's history if an inquiry needs it.
func (s *State) readHistoryIfNeeded(now boottime.Instant) {
	reads := &s.origins.historyReads
	if reads.reading || !reads.due(now) {
		return
	}
	needed := slices.ContainsFunc(s.origins.inquiries, func(q inquiry) bool {
		return q.lookup.Unrecorded() && !s.knowsVersions(now, q.services)
	})
	if needed {
		reads.reading, reads.readAt = true, now
		s.emit(ReadHistory{})
	}
}

// HistoryRead handles the result of a ReadHistory action, which was requested at the given time of the wall clock or later.
func (s *State) HistoryRead(now boottime.Instant, wall time.Time, h published.History, err error) {
	reads := &s.origins.historyReads
	reads.reading = false
	if err != nil {
		s.log(event.PlatformUnreadable, "err", err.Error(), "read", "history")
		s.settleInquiries(now)
		return
	}
	w := writtenVersions{protocol: s.opts.Protocol, since: wall.Add(-s.origins.streamLifetime - clockTolerance)}
	complete := w.decode(h)
	if complete {
		s.adoptWrittenVersions(now, &w)
	}
	s.log(event.VersionsLearned, "from", "store", "revision", h.Revision, "writes", len(h.Writes), "complete", complete)
	s.settleInquiries(now)
}

func (s *State) adoptWrittenVersions(now boottime.Instant, w *writtenVersions) {
	for id, versions := range w.versions {
		for v := range versions {
			s.history(id).Replaced(now, v)
		}
	}
	for id := range s.services {
		s.history(id).Extend(now.Add(-s.origins.streamLifetime))
	}
}

// writtenVersions is what the store's history tells of the versions that endpoints have had since a time.
type writtenVersions struct {
	protocol published.Protocol
	since    time.Time
	versions map[fleet.ServiceID]map[origin.Version]bool
	written  map[fleet.EndpointID]bool // endpoints whose entry, as it was at some time since, is known
	known    map[fleet.Revision]bool   // writes whose effect on versions is known
	oldest   fleet.Revision            // write that was made before the time
	hidden   bool                      // an endpoint had another process before, whose version is not known
}

// decode reports whether the history holds all versions since the time: every write after one that was made before it is known.
func (w *writtenVersions) decode(h published.History) bool {
	w.versions = map[fleet.ServiceID]map[origin.Version]bool{}
	w.written = map[fleet.EndpointID]bool{}
	w.known = map[fleet.Revision]bool{}
	for _, it := range h.Writes {
		w.addWrite(it)
	}
	for _, it := range h.Present {
		w.addPresent(it)
	}
	if w.oldest == 0 || w.hidden {
		return false
	}
	for r := h.Revision; r > w.oldest; r-- {
		if !w.known[r] {
			return false
		}
	}
	return true
}

// addWrite adds a write; earlier ones have been added before. A deletion is known if the endpoint's version is.
func (w *writtenVersions) addWrite(it published.Item) {
	record, err := w.protocol.DecodeItem(it)
	switch r := record.(type) {
	case published.Endpoint:
		w.addEntry(it, r.Endpoint)
	case published.EndpointGone:
		if err != nil || !w.written[r.ID] {
			return
		}
	}
	w.known[it.Revision] = true
}

// addPresent adds the present item of a key, or its deletion while the pages of the list were read.
func (w *writtenVersions) addPresent(it published.Item) {
	if it.Deleted {
		w.addWrite(it)
		return
	}
	record, err := w.protocol.DecodeItem(it)
	switch r := record.(type) {
	case published.Endpoint:
		w.addEntry(it, r.Endpoint)
		if w.startedBefore(r.Endpoint) {
			w.oldest = max(w.oldest, it.Created)
		}
	case published.EndpointGone:
		if err != nil {
			return // what an unreadable entry was before is not known
		}
	}
	w.known[it.Revision], w.known[it.Created] = true, true
}

// addEntry adds an entry of an endpoint. An endpoint that started before the time has had its version since. For a later one, its
// key must be new, or its entry before known.
func (w *writtenVersions) addEntry(it published.Item, e fleet.Endpoint) {
	if !w.written[e.ID] && it.Created != it.Revision && !w.startedBefore(e) {
		w.hidden = true
	}
	w.written[e.ID] = true
	versions := w.versions[e.Service]
	if versions == nil {
		versions = map[origin.Version]bool{}
		w.versions[e.Service] = versions
	}
	versions[origin.VersionOf(e.Version)] = true
}

// startedBefore reports whether an endpoint started, and wrote its entry, before the time.
func (w *writtenVersions) startedBefore(e fleet.Endpoint) bool {
	return e.Incarnation != 0 && !time.UnixMilli(int64(e.Incarnation)).Add(registrationDelay).After(w.since)
}
