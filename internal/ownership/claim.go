package ownership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// SetClaimInterval tells how often claims go to each peer.
func (s *State) SetClaimInterval(p time.Duration) { s.period = p }

// VoteTTL returns how long a backing lasts that is given to this router. In a large data
// centre one backer that lapses costs little, so that the next claim need not be spare.
func (s *State) VoteTTL() time.Duration {
	if len(s.members) > smallSize {
		return largeTTLPeriods*s.period + defaultPeriod
	}
	return smallTTLPeriods * s.period
}

// Tick sends claims to the peers that are due, and to all after resources
// were gained or released.
func (s *State) Tick(now time.Time, due, suspects []fleet.InstanceID, out *wire.Outbox) {
	if s.gained || now.Sub(s.backedSelf) >= s.period/selfBackings {
		s.backedSelf = now
		s.backSelf(now)
		s.forgetPromises(now)
	}
	all := (len(s.released) > 0 || s.gained) && now.Sub(s.expedited) >= expediteEvery
	if all {
		due = s.members
		s.expedited = now
	}
	for _, id := range due {
		if id != s.self && s.listed(id) {
			s.sendClaim(now, id, suspects, out)
		}
	}
	for _, id := range s.urgent {
		if s.listed(id) && s.known[id] != s.set {
			s.sendClaim(now, id, suspects, out)
		}
	}
	s.urgent = s.urgent[:0]
	if all {
		s.released = nil
		s.gained = false
	}
}

func (s *State) sendClaim(now time.Time, to fleet.InstanceID, suspects []fleet.InstanceID, out *wire.Outbox) {
	s.seq++
	resources := s.current()
	c := sentClaim{seq: s.seq, at: now, ttl: s.VoteTTL(), set: s.set, resources: resources}
	s.sent[to] = append(s.sent[to], c)
	if n := len(s.sent[to]); n > maxUnanswered {
		s.sent[to] = append(s.sent[to][:0], s.sent[to][n-maxUnanswered:]...)
	}
	m := wire.Claim{
		Seq:         c.seq,
		TTLMS:       uint32(c.ttl / time.Millisecond),
		ListVersion: c.set,
		Suspects:    suspects,
		Released:    s.released,
		Leaving:     s.stopped,
		StartingMS:  s.startingMS(now),
	}
	if s.known[to] != s.set {
		m.Resources = c.resources
		m.Full = true
	}
	out.Send(to, m)
}

// current returns the resources that claims name now, and gives each new list a number.
func (s *State) current() []wire.Resource {
	if s.changed {
		s.changed = false
		s.set++
		s.claimed = append([]wire.Resource(nil), s.order...)
	}
	return s.claimed
}

// OnClaim answers a claim of a run of a peer. It returns false for a claim that
// arrived after a later one, which must not be answered.
func (s *State) OnClaim(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, c wire.Claim) (wire.ClaimAck, bool) {
	last := s.seen[from]
	if inc < last.inc || (inc == last.inc && c.Seq <= last.seq) {
		return wire.ClaimAck{}, false
	}
	if s.listed(from) {
		s.seen[from] = claimant{inc: inc, seq: c.Seq}
	}
	s.noteReturn(now, from, inc, c)
	for _, r := range c.Released {
		s.releasePromise(r, from, inc)
	}
	ack := wire.ClaimAck{Seq: c.Seq, Leaving: s.stopped, StartingMS: s.startingMS(now)}
	resources, ok := s.resourcesOf(from, inc, c)
	if !ok {
		ack.Resend = true
		return ack, true
	}
	ttl := time.Duration(c.TTLMS) * time.Millisecond
	ack.Granted = make([]byte, (len(resources)+7)/8)
	for i, r := range resources {
		if s.back(now, from, inc, r, ttl) {
			ack.Granted[i/8] |= 1 << (i % 8)
		}
		ack.OtherVotesMS = max(ack.OtherVotesMS, s.boundMS(now, from, r))
	}
	return ack, true
}

// resourcesOf returns the resources that a claim names, in full or by the number of a
// list that came before. It returns false when the list is not known here.
func (s *State) resourcesOf(from fleet.InstanceID, inc fleet.Incarnation, c wire.Claim) ([]wire.Resource, bool) {
	if c.Full {
		if len(c.Resources) > maxClaimEntries {
			return nil, true
		}
		if s.listed(from) {
			s.lists[from] = claimedSet{inc, c.ListVersion, c.Resources}
		}
		return c.Resources, true
	}
	l, ok := s.lists[from]
	return l.resources, ok && l.inc == inc && l.set == c.ListVersion
}

// ClaimedBy returns the resources of the last claim of a peer that this router answered.
func (s *State) ClaimedBy(from fleet.InstanceID) []wire.Resource { return s.lists[from].resources }

// noteReturn brings a peer that stopped and runs anew back into the count of backers,
// shortly before its new run may back somebody.
func (s *State) noteReturn(now time.Time, id fleet.InstanceID, inc fleet.Incarnation, c wire.Claim) {
	d, ok := s.left[id]
	if !ok || inc <= d.inc {
		return
	}
	d.until = now.Add(time.Duration(c.StartingMS)*time.Millisecond - returnMargin)
	s.left[id] = d
	if !d.until.After(now) {
		delete(s.left, id)
		delete(s.known, id) // a new run knows no list
		s.urgent = append(s.urgent, id)
	}
}

// maxTTL is the longest time for which this router backs an owner.
func (s *State) maxTTL() time.Duration { return s.VoteTTL() + ttlTolerance }

// Starting tells whether promises of an earlier run of this router may still last. It
// backs nobody until then, and takes no duties.
func (s *State) Starting(now time.Time) bool {
	return now.Sub(s.started) < s.maxTTL()+promiseMargin
}

func (s *State) startingMS(now time.Time) uint32 {
	if !s.Starting(now) {
		return 0
	}
	return uint32((s.maxTTL()+promiseMargin-now.Sub(s.started))/time.Millisecond) + 1
}

// boundMS returns for how long this router is bound to an owner of r other than the given one.
func (s *State) boundMS(now time.Time, owner fleet.InstanceID, r wire.Resource) uint32 {
	p, ok := s.promises[r]
	if !ok || p.owner == owner || !p.until.After(now) {
		return 0
	}
	return uint32(p.until.Sub(now)/time.Millisecond) + 1
}

// back promises a resource to a run of an owner, if this router sees the same owner
// and is bound to no other.
func (s *State) back(now time.Time, owner fleet.InstanceID, inc fleet.Incarnation, r wire.Resource, ttl time.Duration) bool {
	if s.owners[r] != owner || ttl > s.maxTTL() || s.Starting(now) || s.stopped {
		return false
	}
	p, bound := s.promises[r]
	bound = bound && p.until.After(now)
	same := p.owner == owner && p.inc == inc
	if bound && !same {
		return false
	}
	until := now.Add(ttl + promiseMargin)
	if bound && p.until.After(until) {
		until = p.until // an older, longer promise still binds
	}
	s.promises[r] = promise{owner: owner, inc: inc, until: until}
	return true
}

func (s *State) releasePromise(r wire.Resource, owner fleet.InstanceID, inc fleet.Incarnation) {
	if p, ok := s.promises[r]; ok && p.owner == owner && p.inc == inc {
		delete(s.promises, r)
	}
}

func (s *State) forgetPromises(now time.Time) {
	for r, p := range s.promises {
		if !p.until.After(now) {
			delete(s.promises, r)
		}
	}
}

// backSelf counts this router among the backers of what it owns, by the same rule.
func (s *State) backSelf(now time.Time) {
	if s.stopped {
		return
	}
	ttl := s.VoteTTL()
	for _, r := range s.order {
		if s.back(now, s.self, 0, r, ttl) {
			s.owned[r].extend(s.self, now, now, ttl)
		}
	}
}

// OnAck counts the backings that an acknowledgement of a recent claim gives, and
// returns their resources.
func (s *State) OnAck(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, a wire.ClaimAck) []wire.Resource {
	c, ok := s.answered(from, a.Seq)
	if !ok {
		return nil
	}
	if a.Resend {
		delete(s.known, from)
		s.urgent = append(s.urgent, from)
		return nil
	}
	s.known[from] = c.set
	if a.Leaving {
		s.leave(now, from, inc, a)
	}
	var backed []wire.Resource
	for i, r := range c.resources {
		if i/8 >= len(a.Granted) || a.Granted[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if o := s.owned[r]; o != nil && !c.at.Before(o.since) {
			o.extend(from, now, c.at, c.ttl)
			backed = append(backed, r)
		}
	}
	return backed
}

// leave takes a stopping peer out of the count of backers, from the time on at which it is
// bound to nobody else.
func (s *State) leave(now time.Time, id fleet.InstanceID, inc fleet.Incarnation, a wire.ClaimAck) {
	if _, known := s.left[id]; known {
		return
	}
	s.left[id] = departure{
		inc:  inc,
		from: now.Add(time.Duration(a.OtherVotesMS) * time.Millisecond),
	}
}

// answered returns the claim that an acknowledgement answers and forgets it and all earlier ones.
func (s *State) answered(from fleet.InstanceID, seq uint64) (sentClaim, bool) {
	for i, c := range s.sent[from] {
		if c.seq == seq {
			s.sent[from] = append(s.sent[from][:0], s.sent[from][i+1:]...)
			return c, true
		}
	}
	return sentClaim{}, false
}

// extend records a backing that was confirmed at now for a claim sent at sent.
func (o *owned) extend(id fleet.InstanceID, now, sent time.Time, ttl time.Duration) {
	until := sent.Add(ttl)
	if !until.After(now) {
		return
	}
	b, ok := o.backed[id]
	if !ok || !b.until.After(now) {
		b.from = now
	}
	if until.After(b.until) {
		b.until = until
	}
	o.backed[id] = b
}

// Stop gives up all resources for good. The next Tick tells the peers.
func (s *State) Stop(now time.Time) {
	s.stopped = true
	for r := range s.owned {
		delete(s.owned, r)
		s.releasePromise(r, s.self, 0)
	}
	s.released = append(s.released[:0], s.order...)
	s.order = s.order[:0]
	s.changed = true
}
