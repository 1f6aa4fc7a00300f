package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// feedCount is the number of feeds.
const feedCount = 3

// State is what one process adopted of the platform's feeds.
type State struct {
	self fleet.InstanceID
	dc   fleet.DataCentreID
	opts Options

	values [feedCount]value
	config *fleet.Configuration
	insts  *fleet.InstanceList
	ends   *fleet.EndpointList
	view   *fleet.View

	behind  behindPeers
	probes  probes
	start   startup
	serving bucket
}

// New returns the state of a process that has adopted nothing.
func New(self fleet.InstanceID, dc fleet.DataCentreID, opts Options) *State {
	s := &State{self: self, dc: dc, opts: opts.withDefaults()}
	for i := range s.values {
		s.values[i].feed = wire.Feed(i + 1)
		s.values[i].history.maxBytes = s.opts.MaxHistoryBytes
		s.values[i].history.maxSteps = s.opts.MaxHistoryEntries
	}
	s.values[0].install = s.installConfig
	s.values[1].install = s.installInstances
	s.values[2].install = s.installEndpoints
	s.serving = bucket{tokens: float64(s.opts.ReplyBurstBytes), burst: s.opts.ReplyBurstBytes, rate: s.opts.ReplyBytesPerSecond}
	s.view = fleet.NewView(nil, nil, nil)
	return s
}

// View returns what is in force. The pointer changes whenever the content does.
func (s *State) View() *fleet.View { return s.view }

// Revisions returns the revisions in force, 0 for a feed without a value.
func (s *State) Revisions() (cfg, inst, ends fleet.Revision) {
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
	s.insts = l
	s.rebuild()
	return nil
}

func (s *State) installEndpoints(rev fleet.Revision, r records) error {
	l, err := decodeEndpoints(rev, r)
	if err != nil {
		return err
	}
	s.ends = l
	s.rebuild()
	return nil
}

func (s *State) rebuild() { s.view = fleet.NewView(s.config, s.insts, s.ends) }

// value returns the state of a feed, or nil for a feed that does not exist.
func (s *State) value(f wire.Feed) *value {
	if f < 1 || f > feedCount {
		return nil
	}
	return &s.values[f-1]
}

// PublishConfig offers a valid configuration read from the platform.
func (s *State) PublishConfig(now time.Time, c *fleet.Configuration, out *wire.Outbox) Result {
	return s.publish(now, &s.values[0], c.Revision, encodeConfig(c), out)
}

// PublishInstances offers an instance list read from the platform.
func (s *State) PublishInstances(now time.Time, l *fleet.InstanceList, out *wire.Outbox) Result {
	return s.publish(now, &s.values[1], l.Revision, encodeInstances(l), out)
}

// PublishEndpoints offers an endpoint list read from the platform.
func (s *State) PublishEndpoints(now time.Time, l *fleet.EndpointList, out *wire.Outbox) Result {
	return s.publish(now, &s.values[2], l.Revision, encodeEndpoints(l), out)
}

func (s *State) publish(now time.Time, v *value, rev fleet.Revision, r records, out *wire.Outbox) Result {
	res := Result{Feed: v.feed, Outcome: Stale, Revision: rev}
	if rev == 0 || rev < v.rev {
		return res
	}
	hash := r.hash()
	if rev == v.rev {
		res.Outcome, res.Replaced = v.compare(hash)
		if !res.Replaced {
			return res
		}
	} else {
		res.Outcome = Adopted
	}
	if err := v.put(rev, v.records.diff(r), hash); err != nil {
		return Result{Feed: v.feed, Outcome: Rejected, Revision: rev, Err: err}
	}
	s.adopted(now, v, "", out)
	return res
}

// compare judges another content at the revision in force. The higher hash wins.
func (v *value) compare(hash uint64) (o Outcome, replace bool) {
	if hash == v.hash {
		return Unchanged, false
	}
	return Conflict, hash > v.hash
}
