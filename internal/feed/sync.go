package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxSources bounds the peers remembered as ahead, for each feed.
const maxSources = 4

// busyRetry is the time before the next pull after a peer was too busy to answer one.
const busyRetry = 250 * time.Millisecond

// OnHeader compares a peer's revisions with those in force. A peer that is ahead is
// pulled from unless its change arrives by itself within the pull delay; one that
// stays behind is told.
func (s *State) OnHeader(now time.Time, from fleet.InstanceID, h wire.Header, out *wire.Outbox) {
	s.start.saw(h)
	for i, rev := range [feedCount]fleet.Revision{h.Config, h.Instances, h.Endpoints} {
		v := &s.values[i]
		if rev > v.rev {
			s.sawAhead(now, v, from, rev, out)
		}
		s.behind.note(now, from, i, rev < v.rev)
	}
}

func (s *State) sawAhead(now time.Time, v *value, from fleet.InstanceID, rev fleet.Revision, out *wire.Outbox) {
	f := &v.fetch
	if v.rev != 0 && len(f.sources) == 0 && !now.Before(f.retryAt) {
		f.retryAt = now.Add(s.opts.PullDelay)
	}
	f.addSource(from, rev)
	s.pull(now, v, out)
}

// OnPull answers a peer's pull.
func (s *State) OnPull(now time.Time, from fleet.InstanceID, m wire.FeedPull, out *wire.Outbox) {
	v := s.value(m.Feed)
	if v == nil {
		s.push(from, wire.Delta{}, out)
		return
	}
	if m.From == v.rev && m.From != 0 && m.Hash != v.hash {
		s.settleConflict(now, v, from, m.Hash, out)
		return
	}
	s.behind.note(now, from, int(m.Feed-1), false)
	s.push(from, s.serve(now, v, v.since(m.From)), out)
}

func (s *State) push(to fleet.InstanceID, d wire.Delta, out *wire.Outbox) {
	out.Send(to, wire.FeedPush{Delta: d, Ready: s.Ready()})
}

// serve limits the bytes of large answers. A peer that gets only the position
// although it is behind asks again later, or elsewhere.
func (s *State) serve(now time.Time, v *value, d wire.Delta) wire.Delta {
	n := deltaSize(&d)
	if n < s.opts.LargeReplyBytes || s.serving.take(now, n) {
		return d
	}
	return v.position()
}

// settleConflict makes two peers with different content at one revision agree.
func (s *State) settleConflict(now time.Time, v *value, peer fleet.InstanceID, hash uint64, out *wire.Outbox) {
	if hash < v.hash {
		s.push(peer, s.serve(now, v, v.whole()), out)
		return
	}
	s.pullWhole(now, v, peer, out)
}

// OnPush takes the change that a peer sent.
func (s *State) OnPush(now time.Time, from fleet.InstanceID, m wire.FeedPush, out *wire.Outbox) Result {
	d := &m.Delta
	if m.Ready {
		s.start.heard(from)
	}
	if d.Feed == 0 {
		return Result{Outcome: Unchanged}
	}
	v := s.value(d.Feed)
	if v == nil || d.From > d.To {
		return Result{Feed: d.Feed, Outcome: Rejected, Revision: d.To, Err: ErrInvalidRecord}
	}
	answered := v.fetch.answered(from)
	res := Result{Feed: d.Feed, Revision: d.To}
	switch {
	case d.To < v.rev:
		res.Outcome = Stale
	case d.From == d.To:
		res.Outcome = s.onPosition(now, v, from, d, answered, out)
	case d.To == v.rev:
		s.onRival(now, v, from, d, &res, out)
	case d.From > v.rev:
		res.Outcome = Deferred
		v.fetch.addSource(from, d.To)
		s.pull(now, v, out)
	default:
		s.takeDelta(now, v, from, d, &res, out)
	}
	return res
}

// onPosition handles a peer's word on which content it has.
func (s *State) onPosition(now time.Time, v *value, from fleet.InstanceID, d *wire.Delta, answered bool, out *wire.Outbox) Outcome {
	if d.To > v.rev {
		v.fetch.addSource(from, d.To)
		if answered {
			v.fetch.retryAt = now.Add(busyRetry)
		}
		s.pull(now, v, out)
		return Deferred
	}
	if d.Hash == v.hash || v.rev == 0 {
		return Unchanged
	}
	if answered { // the peer is too busy to send its content
		v.fetch.retryAt = now.Add(busyRetry)
		return Conflict
	}
	s.settleConflict(now, v, from, d.Hash, out)
	return Conflict
}

// onRival handles content at the revision in force.
func (s *State) onRival(now time.Time, v *value, from fleet.InstanceID, d *wire.Delta, res *Result, out *wire.Outbox) {
	res.Outcome, res.Replaced = v.compare(d.Hash)
	if !res.Replaced {
		return
	}
	if d.From != 0 {
		res.Replaced = false
		s.pullWhole(now, v, from, out)
		return
	}
	if err := v.put(d.To, v.changesFor(d), d.Hash); err != nil {
		res.Outcome, res.Replaced, res.Err = Rejected, false, err
		v.fetch.refuse(now, from, d.To)
		return
	}
	s.adopted(now, v, from, out)
}

// takeDelta adopts a delta that leads to a higher revision. One that does not fit
// the content in force shows that the two peers differ, and the whole value is asked for.
func (s *State) takeDelta(now time.Time, v *value, from fleet.InstanceID, d *wire.Delta, res *Result, out *wire.Outbox) {
	err := v.put(d.To, v.changesFor(d), d.Hash)
	switch {
	case err == nil:
		res.Outcome = Adopted
		s.adopted(now, v, from, out)
	case err == errHash && d.From != 0:
		res.Outcome = Deferred
		s.pullWhole(now, v, from, out)
	default:
		res.Outcome, res.Err = Rejected, err
		v.fetch.refuse(now, from, d.To)
	}
}

// adopted follows up on a new value in force.
func (s *State) adopted(now time.Time, v *value, from fleet.InstanceID, out *wire.Outbox) {
	v.fetch.adopted(v.rev)
	if v.feed == wire.FeedInstances {
		s.behind.retain(s.view)
	}
	s.spread(now, v, from, out)
	s.pull(now, v, out)
}

// pull asks the best known source for a feed, unless a pull is in flight.
func (s *State) pull(now time.Time, v *value, out *wire.Outbox) {
	f := &v.fetch
	if len(f.sources) == 0 || now.Before(f.retryAt) {
		return
	}
	s.ask(now, v, f.sources[0].id, out)
}

// pullWhole asks one peer for the whole value, in place of any pull in flight with it.
func (s *State) pullWhole(now time.Time, v *value, peer fleet.InstanceID, out *wire.Outbox) {
	f := &v.fetch
	if f.from != "" && now.Before(f.retryAt) {
		return
	}
	f.whole = true
	s.ask(now, v, peer, out)
}

func (s *State) ask(now time.Time, v *value, peer fleet.InstanceID, out *wire.Outbox) {
	f := &v.fetch
	f.from = peer
	f.retryAt = now.Add(s.opts.PullTimeout)
	m := wire.FeedPull{Feed: v.feed, From: v.rev, Hash: v.hash}
	if f.whole || v.rev == 0 {
		m.From, m.Hash = 0, 0
		f.retryAt = now.Add(wholeTimeouts * s.opts.PullTimeout)
	}
	out.Send(peer, m)
}

// Tick lets time pass: repeats pulls that timed out, pushes to peers that stay
// behind, and exchanges content hashes.
func (s *State) Tick(now time.Time, out *wire.Outbox) {
	s.tickStart(now, out)
	for i := range s.values {
		s.expirePull(now, &s.values[i], out)
	}
	s.pushBehind(now, out)
	s.tickProbes(now, out)
}

// expirePull gives up an unanswered pull and asks the next source.
func (s *State) expirePull(now time.Time, v *value, out *wire.Outbox) {
	f := &v.fetch
	if now.Before(f.retryAt) {
		return
	}
	if f.from != "" {
		f.removeSource(f.from)
		f.from = ""
		f.whole = false
	}
	s.pull(now, v, out)
}
