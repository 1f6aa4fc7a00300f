package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const feedCount = 3

// State holds the values of the platform's feeds that this process has adopted.
type State struct {
	self fleet.InstanceID
	dc   fleet.DataCentreID
	opts Options

	values    [feedCount]value
	config    *fleet.Configuration
	instances *fleet.InstanceList
	endpoints *fleet.EndpointList
	view      *fleet.View

	lagging    laggingPeers
	probes     probeState
	startup    startup
	replyLimit tokenBucket
}

// New returns a State without values.
func New(self fleet.InstanceID, dc fleet.DataCentreID, opts Options) *State {
	s := &State{self: self, dc: dc, opts: opts.withDefaults()}
	for i := range s.values {
		s.values[i].feed = wire.Feed(i + 1)
		s.values[i].history.maxBytes = s.opts.MaxHistoryBytes
		s.values[i].history.maxEntries = s.opts.MaxHistoryEntries
	}
	s.values[0].install = s.installConfig
	s.values[1].install = s.installInstances
	s.values[2].install = s.installEndpoints
	s.replyLimit = tokenBucket{tokens: float64(s.opts.ReplyBurstBytes), burst: s.opts.ReplyBurstBytes, rate: s.opts.ReplyBytesPerSecond}
	s.view = fleet.NewView(nil, nil, nil)
	return s
}

// View returns the current values. The pointer changes whenever a value does.
func (s *State) View() *fleet.View { return s.view }

// Revisions returns the current revisions, 0 for a feed without a value.
func (s *State) Revisions() (cfg, instances, endpoints fleet.Revision) {
	return s.values[0].rev, s.values[1].rev, s.values[2].rev
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

// valueOf returns the state of a feed, or nil if the feed does not exist.
func (s *State) valueOf(f wire.Feed) *value {
	if f < 1 || f > feedCount {
		return nil
	}
	return &s.values[f-1]
}

// OfferConfig offers a validated configuration that was read from the platform.
func (s *State) OfferConfig(now time.Time, c *fleet.Configuration, out *wire.Outbox) Result {
	return s.publish(now, &s.values[0], c.Revision, encodeConfig(c), out)
}

// OfferInstances offers an instance list that was read from the platform.
func (s *State) OfferInstances(now time.Time, l *fleet.InstanceList, out *wire.Outbox) Result {
	return s.publish(now, &s.values[1], l.Revision, encodeInstances(l), out)
}

// OfferEndpoints offers an endpoint list that was read from the platform.
func (s *State) OfferEndpoints(now time.Time, l *fleet.EndpointList, out *wire.Outbox) Result {
	return s.publish(now, &s.values[2], l.Revision, encodeEndpoints(l), out)
}

func (s *State) publish(now time.Time, v *value, rev fleet.Revision, r records, out *wire.Outbox) Result {
	res := Result{Feed: v.feed, Outcome: Stale, Revision: rev}
	if rev == 0 || rev < v.rev {
		return res
	}
	hash := r.hash()
	if rev == v.rev {
		res.Outcome, res.Replaced = v.compareHash(hash)
		if !res.Replaced {
			return res
		}
	} else {
		res.Outcome = Adopted
	}
	if err := v.adopt(rev, v.records.diff(r), hash); err != nil {
		return Result{Feed: v.feed, Outcome: Rejected, Revision: rev, Err: err}
	}
	s.onAdopted(now, v, "", out)
	return res
}

// compareHash compares content at the current revision with the current content. The higher hash
// wins.
func (v *value) compareHash(hash uint64) (o Outcome, replace bool) {
	if hash == v.hash {
		return Unchanged, false
	}
	return Conflict, hash > v.hash
}
