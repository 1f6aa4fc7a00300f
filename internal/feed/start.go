package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// askedAtStart is how many instances of its data centre a starting process hears
// before it is ready without waiting.
const askedAtStart = 8

// startup is the state of a process that does not serve yet.
type startup struct {
	done    bool
	began   time.Time // first tick
	hasAt   time.Time // when configuration and instance list were there
	askAt   time.Time // of the next round of questions
	turn    int
	heardOf map[fleet.InstanceID]bool // serving peers
	highest [feedCount]fleet.Revision // that any peer showed
}

// maxHeard bounds the peers that a starting process remembers.
const maxHeard = 1024

// heard notes that a starting process heard a peer that serves.
func (st *startup) heard(id fleet.InstanceID) {
	if st.done || len(st.heardOf) >= maxHeard {
		return
	}
	if st.heardOf == nil {
		st.heardOf = map[fleet.InstanceID]bool{}
	}
	st.heardOf[id] = true
}

// saw notes the revisions that a peer shows to a starting process.
func (st *startup) saw(h wire.Header) {
	if st.done {
		return
	}
	for i, rev := range [feedCount]fleet.Revision{h.Config, h.Instances, h.Endpoints} {
		st.highest[i] = max(st.highest[i], rev)
	}
}

// Ready tells whether this process may serve: it has a configuration and an
// instance list, and enough serving peers showed that there are no higher ones, or the time
// to wait for peers has passed. Once true it stays true.
func (s *State) Ready() bool { return s.start.done }

// tickStart asks peers and decides whether the process is ready.
func (s *State) tickStart(now time.Time, out *wire.Outbox) {
	st := &s.start
	if st.done {
		return
	}
	if st.began.IsZero() {
		st.began = now
	}
	if st.hasAt.IsZero() && s.config != nil && s.insts != nil {
		st.hasAt = now
	}
	if s.startDone(now) {
		*st = startup{done: true}
		return
	}
	if !now.Before(st.askAt) {
		st.askAt = now.Add(s.opts.StartupQueryInterval)
		s.askPeers(out)
	}
}

func (s *State) startDone(now time.Time) bool {
	st := &s.start
	if st.hasAt.IsZero() {
		return false
	}
	if s.knownHigher() && now.Sub(st.hasAt) < s.opts.StartupCatchUpTimeout {
		return false
	}
	return s.heardEnough() || now.Sub(st.hasAt) >= s.opts.StartupReplyTimeout
}

// knownHigher tells whether a peer showed a revision that this process lacks.
func (s *State) knownHigher() bool {
	for i := range s.values {
		if s.start.highest[i] > s.values[i].rev {
			return true
		}
	}
	return false
}

// heardEnough tells whether askedAtStart instances of the data centre, or all of
// them, were heard, and one of each other data centre.
func (s *State) heardEnough() bool {
	local, listed := 0, 0
	remote := map[fleet.DataCentreID]bool{}
	for i := range s.view.Instances.Instances {
		in := &s.view.Instances.Instances[i]
		switch {
		case in.ID == s.self:
		case in.DataCentre != s.dc:
			remote[in.DataCentre] = remote[in.DataCentre] || s.start.heardOf[in.ID]
		default:
			listed++
			if s.start.heardOf[in.ID] {
				local++
			}
		}
	}
	for _, heard := range remote {
		if !heard {
			return false
		}
	}
	return local >= min(listed, askedAtStart)
}

// askPeers asks the seeds, the next instances of the data centre that were not
// heard yet, and one instance of each other data centre.
func (s *State) askPeers(out *wire.Outbox) {
	st := &s.start
	for _, id := range s.opts.SeedPeers {
		s.askPeer(id, out)
	}
	s.askIn(s.dc, askedAtStart, out)
	for _, dc := range s.otherDataCentres() {
		s.askIn(dc, 1, out)
	}
	st.turn++
}

func (s *State) askIn(dc fleet.DataCentreID, n int, out *wire.Outbox) {
	var ids []fleet.InstanceID
	for _, in := range s.view.InstancesIn(dc) {
		if in.ID != s.self && !s.start.heardOf[in.ID] {
			ids = append(ids, in.ID)
		}
	}
	for i := range min(n, len(ids)) {
		s.askPeer(ids[(s.start.turn*n+i)%len(ids)], out)
	}
}

// askPeer asks a peer where it is: its answer's header shows all its revisions.
func (s *State) askPeer(id fleet.InstanceID, out *wire.Outbox) {
	if id != s.self {
		out.Send(id, wire.FeedPull{})
	}
}
