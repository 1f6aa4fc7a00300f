package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxSources bounds the number of sources recorded per feed.
const maxSources = 4

// busyRetryDelay is the time before the next pull after a peer replied with its digest only,
// because its reply limit was reached.
const busyRetryDelay = 250 * time.Millisecond

// OnHeader compares the revisions in a peer's message header with the local ones. A change at a
// higher revision is pulled unless it is pushed within PullDelay. A peer that lags for
// LaggingDigestDelay is sent the local digest.
func (s *State) OnHeader(now time.Time, from fleet.InstanceID, h wire.Header, out *wire.Outbox) {
	s.startup.onHeader(h)
	for i, rev := range [feedCount]fleet.Revision{h.Config, h.Instances, h.Endpoints} {
		f := &s.feeds[i]
		if rev > f.rev {
			s.onPeerAhead(now, f, from, rev, out)
		}
		s.lagging.observe(now, from, i, rev < f.rev)
	}
}

func (s *State) onPeerAhead(now time.Time, f *feedState, from fleet.InstanceID, rev fleet.Revision, out *wire.Outbox) {
	p := &f.pull
	if f.rev != 0 && len(p.sources) == 0 && !now.Before(p.nextPullAt) {
		p.nextPullAt = now.Add(s.opts.PullDelay)
	}
	p.addSource(from, rev)
	s.pull(now, f, out)
}

// OnPull replies to a peer's pull. The reply to an empty pull, a query of a starting instance, carries
// the revisions in its header and the ready flag.
func (s *State) OnPull(now time.Time, from fleet.InstanceID, m wire.FeedPull, out *wire.Outbox) {
	f := s.feedStateOf(m.Feed)
	if f == nil {
		s.push(from, wire.Delta{}, out)
		return
	}
	if m.From == f.rev && m.From != 0 && m.Hash != f.hash {
		s.resolveConflict(now, f, from, m.Hash, out)
		return
	}
	s.lagging.observe(now, from, int(m.Feed-1), false)
	s.push(from, s.limitReply(now, f, f.deltaSince(m.From)), out)
}

func (s *State) push(to fleet.InstanceID, d wire.Delta, out *wire.Outbox) {
	out.Send(to, wire.FeedPush{Delta: d, Ready: s.Ready()})
}

// limitReply replaces a large delta by the digest if the byte rate of large replies is exceeded. The
// requester retries later or with another peer.
func (s *State) limitReply(now time.Time, f *feedState, d wire.Delta) wire.Delta {
	n := deltaSize(&d)
	if n < s.opts.LargeReplyBytes || s.replyLimit.take(now, n) {
		return d
	}
	return f.digest()
}

// resolveConflict handles a peer whose content at the current revision has another hash: it sends the
// peer a snapshot if the local hash is higher, and pulls one if it is lower.
func (s *State) resolveConflict(now time.Time, f *feedState, peer fleet.InstanceID, hash uint64, out *wire.Outbox) {
	if hash < f.hash {
		s.push(peer, s.limitReply(now, f, f.snapshot()), out)
		return
	}
	s.pullSnapshot(now, f, peer, out)
}

// OnPush handles a delta or digest that a peer sent.
func (s *State) OnPush(now time.Time, from fleet.InstanceID, m wire.FeedPush, out *wire.Outbox) Result {
	d := &m.Delta
	if m.Ready {
		s.startup.onReadyPeer(from)
	}
	if d.Feed == 0 {
		return Result{Outcome: Unchanged}
	}
	f := s.feedStateOf(d.Feed)
	if f == nil || d.From > d.To {
		return Result{Feed: d.Feed, Outcome: Rejected, Revision: d.To, Err: ErrInvalidRecord}
	}
	isReply := f.pull.finishPull(from)
	res := Result{Feed: d.Feed, Revision: d.To}
	switch {
	case d.To < f.rev:
		res.Outcome = Stale
	case d.From == d.To:
		res.Outcome = s.onDigest(now, f, from, d, isReply, out)
	case d.To == f.rev:
		s.onSameRevision(now, f, from, d, &res, out)
	case d.From > f.rev:
		res.Outcome = Deferred
		f.pull.addSource(from, d.To)
		s.pull(now, f, out)
	default:
		s.adoptDelta(now, f, from, d, &res, out)
	}
	return res
}

// onDigest handles a peer's digest, whose revision is not below the current one.
func (s *State) onDigest(now time.Time, f *feedState, from fleet.InstanceID, d *wire.Delta, isReply bool, out *wire.Outbox) Outcome {
	if d.To > f.rev {
		f.pull.addSource(from, d.To)
		if isReply {
			f.pull.nextPullAt = now.Add(busyRetryDelay)
		}
		s.pull(now, f, out)
		return Deferred
	}
	if d.Hash == f.hash || f.rev == 0 {
		return Unchanged
	}
	if isReply { // the peer's reply limit was reached
		f.pull.nextPullAt = now.Add(busyRetryDelay)
		return Conflict
	}
	s.resolveConflict(now, f, from, d.Hash, out)
	return Conflict
}

// onSameRevision handles a delta that leads to the current revision.
func (s *State) onSameRevision(now time.Time, f *feedState, from fleet.InstanceID, d *wire.Delta, res *Result, out *wire.Outbox) {
	res.Outcome, res.Replaced = f.compareHash(d.Hash)
	if !res.Replaced {
		return
	}
	if d.From != 0 {
		res.Replaced = false
		s.pullSnapshot(now, f, from, out)
		return
	}
	if err := f.adopt(d.To, f.changesFor(d), d.Hash); err != nil {
		res.Outcome, res.Replaced, res.Err = Rejected, false, err
		f.pull.reject(now, from, d.To)
		return
	}
	s.onAdopted(now, f, from, out)
}

// adoptDelta adopts a delta that leads to a higher revision. A hash mismatch may mean that the two
// instances had different content at the base revision, so the snapshot is then pulled.
func (s *State) adoptDelta(now time.Time, f *feedState, from fleet.InstanceID, d *wire.Delta, res *Result, out *wire.Outbox) {
	err := f.adopt(d.To, f.changesFor(d), d.Hash)
	switch {
	case err == nil:
		res.Outcome = Adopted
		s.onAdopted(now, f, from, out)
	case err == errHashMismatch && d.From != 0:
		res.Outcome = Deferred
		s.pullSnapshot(now, f, from, out)
	default:
		res.Outcome, res.Err = Rejected, err
		f.pull.reject(now, from, d.To)
	}
}

// onAdopted updates the pull state after a change was adopted and disseminates it.
func (s *State) onAdopted(now time.Time, f *feedState, from fleet.InstanceID, out *wire.Outbox) {
	f.pull.onAdopted(f.rev)
	if f.feed == wire.FeedInstances {
		s.lagging.retain(s.view)
	}
	s.disseminate(now, f, from, out)
	s.pull(now, f, out)
}

// pull sends a pull to the source with the highest revision, unless a pull is in flight or delayed.
func (s *State) pull(now time.Time, f *feedState, out *wire.Outbox) {
	p := &f.pull
	if len(p.sources) == 0 || now.Before(p.nextPullAt) {
		return
	}
	s.sendPull(now, f, p.sources[0].id, out)
}

// pullSnapshot requests a snapshot from a peer, unless a pull is in flight.
func (s *State) pullSnapshot(now time.Time, f *feedState, peer fleet.InstanceID, out *wire.Outbox) {
	p := &f.pull
	if p.pendingPeer != "" && now.Before(p.nextPullAt) {
		return
	}
	p.wantSnapshot = true
	s.sendPull(now, f, peer, out)
}

func (s *State) sendPull(now time.Time, f *feedState, peer fleet.InstanceID, out *wire.Outbox) {
	p := &f.pull
	p.pendingPeer = peer
	p.nextPullAt = now.Add(s.opts.PullTimeout)
	m := wire.FeedPull{Feed: f.feed, From: f.rev, Hash: f.hash}
	if p.wantSnapshot || f.rev == 0 {
		m.From, m.Hash = 0, 0
		p.nextPullAt = now.Add(snapshotTimeoutFactor * s.opts.PullTimeout)
	}
	out.Send(peer, m)
}

// Tick queries peers and checks for readiness during startup, retries pulls that timed out, and sends
// the digests that are due to lagging peers and for anti-entropy.
func (s *State) Tick(now time.Time, out *wire.Outbox) {
	s.tickStartup(now, out)
	for i := range s.feeds {
		s.expirePull(now, &s.feeds[i], out)
	}
	s.pushToLaggingPeers(now, out)
	s.tickAntiEntropy(now, out)
}

// expirePull ends a pull that timed out, drops its source and pulls from the next one.
func (s *State) expirePull(now time.Time, f *feedState, out *wire.Outbox) {
	p := &f.pull
	if now.Before(p.nextPullAt) {
		return
	}
	if p.pendingPeer != "" {
		p.removeSource(p.pendingPeer)
		p.pendingPeer = ""
		p.wantSnapshot = false
	}
	s.pull(now, f, out)
}
