package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const feedCount = 3

// State is the replica of the platform's feeds of this instance.
type State struct {
	self fleet.InstanceID
	dc   fleet.DataCentreID
	opts Options

	feeds     [feedCount]feedState
	config    *fleet.Configuration
	instances *fleet.InstanceList
	endpoints *fleet.EndpointList
	view      *fleet.View

	lagging     laggingPeers
	antiEntropy antiEntropy
	startup     startup
	replyLimit  tokenBucket
}

// New returns a State with empty feeds at revision 0.
func New(self fleet.InstanceID, dc fleet.DataCentreID, opts Options) *State {
	s := &State{self: self, dc: dc, opts: opts.withDefaults()}
	for i := range s.feeds {
		s.feeds[i].feed = wire.Feed(i + 1)
		s.feeds[i].history.maxBytes = s.opts.MaxHistoryBytes
		s.feeds[i].history.maxEntries = s.opts.MaxHistoryEntries
	}
	s.feeds[0].install = s.installConfig
	s.feeds[1].install = s.installInstances
	s.feeds[2].install = s.installEndpoints
	s.replyLimit = tokenBucket{tokens: float64(s.opts.ReplyBurstBytes), burst: s.opts.ReplyBurstBytes, rate: s.opts.ReplyBytesPerSecond}
	s.view = fleet.NewView(nil, nil, nil)
	return s
}

// View returns the current content of all feeds. The pointer changes whenever the content does.
func (s *State) View() *fleet.View { return s.view }

// Revisions returns the current revisions, 0 for a feed without content.
func (s *State) Revisions() (cfg, instances, endpoints fleet.Revision) {
	return s.feeds[0].rev, s.feeds[1].rev, s.feeds[2].rev
}

func (s *State) installConfig(rev fleet.Revision, r records) error {
	c, err := decodeConfig(rev, r)
	if err != nil {
		return err
	}
	s.config = c
	s.rebuild()
	return nil
}

func (s *State) installInstances(rev fleet.Revision, r records) error {
	l, err := decodeInstances(rev, r)
	if err != nil {
		return err
	}
	s.instances = l
	s.rebuild()
	return nil
}

func (s *State) installEndpoints(rev fleet.Revision, r records) error {
	l, err := decodeEndpoints(rev, r)
	if err != nil {
		return err
	}
	s.endpoints = l
	s.rebuild()
	return nil
}

func (s *State) rebuild() { s.view = fleet.NewView(s.config, s.instances, s.endpoints) }

// feedStateOf returns the state of a feed, or nil for an unknown feed.
func (s *State) feedStateOf(f wire.Feed) *feedState {
	if f < 1 || f > feedCount {
		return nil
	}
	return &s.feeds[f-1]
}

// OfferConfig offers a validated configuration that was read from the platform.
func (s *State) OfferConfig(now time.Time, c *fleet.Configuration, out *wire.Outbox) Result {
	return s.offer(now, &s.feeds[0], c.Revision, encodeConfig(c), out)
}

// OfferInstances offers an instance list that was read from the platform.
func (s *State) OfferInstances(now time.Time, l *fleet.InstanceList, out *wire.Outbox) Result {
	return s.offer(now, &s.feeds[1], l.Revision, encodeInstances(l), out)
}

// OfferEndpoints offers an endpoint list that was read from the platform.
func (s *State) OfferEndpoints(now time.Time, l *fleet.EndpointList, out *wire.Outbox) Result {
	return s.offer(now, &s.feeds[2], l.Revision, encodeEndpoints(l), out)
}

// offer adopts content that was read from the platform if its revision is higher than the current
// one, or if it wins a conflict at the current revision.
func (s *State) offer(now time.Time, f *feedState, rev fleet.Revision, r records, out *wire.Outbox) Result {
	res := Result{Feed: f.feed, Outcome: Stale, Revision: rev}
	if rev == 0 || rev < f.rev {
		return res
	}
	hash := r.hash()
	if rev == f.rev {
		res.Outcome, res.Replaced = f.compareHash(hash)
		if !res.Replaced {
			return res
		}
	} else {
		res.Outcome = Adopted
	}
	if err := f.adopt(rev, f.records.diff(r), hash); err != nil {
		return Result{Feed: f.feed, Outcome: Rejected, Revision: rev, Err: err}
	}
	s.onAdopted(now, f, "", out)
	return res
}

// compareHash compares content at the current revision with the current content. The higher hash
// wins.
func (f *feedState) compareHash(hash uint64) (o Outcome, replace bool) {
	if hash == f.hash {
		return Unchanged, false
	}
	return Conflict, hash > f.hash
}
