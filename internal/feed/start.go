package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// minStartupReplies is the number of ready peers in its data centre (or all listed ones if there are
// fewer) from which a starting instance needs a push to become ready before StartupReplyTimeout. It is
// also the number of instances of its data centre that it queries per round.
const minStartupReplies = 8

// startup is the state of an instance until it is ready.
type startup struct {
	done        bool
	startedAt   time.Time // time of the first tick; not read
	valuesAt    time.Time // when the configuration and the instance list were first present
	nextQuery   time.Time // time of the next round of queries
	queryRound  int
	readyPeers  map[fleet.InstanceID]bool // peers from which a push with the ready flag was received
	highestSeen [feedCount]fleet.Revision // highest revisions that any peer advertised
}

// maxReadyPeers bounds the number of ready peers recorded during startup.
const maxReadyPeers = 1024

// onReadyPeer records the sender of a push with the ready flag.
func (st *startup) onReadyPeer(id fleet.InstanceID) {
	if st.done || len(st.readyPeers) >= maxReadyPeers {
		return
	}
	if st.readyPeers == nil {
		st.readyPeers = map[fleet.InstanceID]bool{}
	}
	st.readyPeers[id] = true
}

// onHeader records the revisions that a peer advertises.
func (st *startup) onHeader(h wire.Header) {
	if st.done {
		return
	}
	for i, rev := range [feedCount]fleet.Revision{h.Config, h.Instances, h.Endpoints} {
		st.highestSeen[i] = max(st.highestSeen[i], rev)
	}
}

// Ready reports whether this instance may serve. It is ready once it has a configuration and an
// instance list, enough ready peers have replied, and no peer has advertised a revision that it
// lacks. StartupReplyTimeout and StartupCatchUpTimeout bound the wait for the replies and for an
// advertised revision. It never becomes unready again.
func (s *State) Ready() bool { return s.startup.done }

// tickStartup queries peers and checks whether the instance is ready.
func (s *State) tickStartup(now time.Time, out *wire.Outbox) {
	st := &s.startup
	if st.done {
		return
	}
	if st.startedAt.IsZero() {
		st.startedAt = now
	}
	if st.valuesAt.IsZero() && s.config != nil && s.instances != nil {
		st.valuesAt = now
	}
	if s.startupDone(now) {
		*st = startup{done: true}
		return
	}
	if !now.Before(st.nextQuery) {
		st.nextQuery = now.Add(s.opts.StartupQueryInterval)
		s.queryPeers(out)
	}
}

func (s *State) startupDone(now time.Time) bool {
	st := &s.startup
	if st.valuesAt.IsZero() {
		return false
	}
	if s.higherRevisionSeen() && now.Sub(st.valuesAt) < s.opts.StartupCatchUpTimeout {
		return false
	}
	return s.enoughReplies() || now.Sub(st.valuesAt) >= s.opts.StartupReplyTimeout
}

// higherRevisionSeen reports whether a peer advertised a revision that this instance lacks.
func (s *State) higherRevisionSeen() bool {
	for i := range s.feeds {
		if s.startup.highestSeen[i] > s.feeds[i].rev {
			return true
		}
	}
	return false
}

// enoughReplies reports whether minStartupReplies listed instances of the data centre, or all if
// there are fewer, and one instance of each other data centre are among the ready peers.
func (s *State) enoughReplies() bool {
	local, listed := 0, 0
	remote := map[fleet.DataCentreID]bool{}
	for i := range s.view.Instances.Instances {
		in := &s.view.Instances.Instances[i]
		switch {
		case in.ID == s.self:
		case in.DataCentre != s.dc:
			remote[in.DataCentre] = remote[in.DataCentre] || s.startup.readyPeers[in.ID]
		default:
			listed++
			if s.startup.readyPeers[in.ID] {
				local++
			}
		}
	}
	for _, replied := range remote {
		if !replied {
			return false
		}
	}
	return local >= min(listed, minStartupReplies)
}

// queryPeers queries the seed peers, minStartupReplies instances of the data centre and one instance
// of each other data centre. Of the listed instances it queries those that are not among the ready
// peers yet, in rotation.
func (s *State) queryPeers(out *wire.Outbox) {
	st := &s.startup
	for _, id := range s.opts.SeedPeers {
		s.queryPeer(id, out)
	}
	s.queryDataCentre(s.dc, minStartupReplies, out)
	for _, dc := range s.otherDataCentres() {
		s.queryDataCentre(dc, 1, out)
	}
	st.queryRound++
}

func (s *State) queryDataCentre(dc fleet.DataCentreID, n int, out *wire.Outbox) {
	var ids []fleet.InstanceID
	for _, in := range s.view.InstancesIn(dc) {
		if in.ID != s.self && !s.startup.readyPeers[in.ID] {
			ids = append(ids, in.ID)
		}
	}
	for i := range min(n, len(ids)) {
		s.queryPeer(ids[(s.startup.queryRound*n+i)%len(ids)], out)
	}
}

// queryPeer sends an empty pull. The reply carries the peer's revisions in its header and its ready
// flag.
func (s *State) queryPeer(id fleet.InstanceID, out *wire.Outbox) {
	if id != s.self {
		out.Send(id, wire.FeedPull{})
	}
}
