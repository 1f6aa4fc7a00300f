package ownership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// SetClaimInterval sets the period at which package membership lets claims to each peer become due.
// VoteTTL and the interval of the votes for this router itself follow from it.
func (s *State) SetClaimInterval(p time.Duration) { s.claimInterval = p }

// VoteTTL returns the validity of votes for this router. In a large data centre the expiry of a
// single vote reduces the vote share only slightly, so the TTL has less reserve for lost claims.
func (s *State) VoteTTL() time.Duration {
	if len(s.instances) > smallDataCentreSize {
		return largeTTLIntervals*s.claimInterval + defaultClaimInterval
	}
	return smallTTLIntervals * s.claimInterval
}

// Tick renews this router's votes for itself, drops the expired votes that it granted, and sends
// claims to the peers that are due, to all peers after resources were gained or released, and to
// the peers that need the full list of resources.
func (s *State) Tick(now time.Time, due, suspects []fleet.InstanceID, out *wire.Outbox) {
	if s.hasNewResources || now.Sub(s.lastSelfVote) >= s.claimInterval/selfVotesPerInterval {
		s.lastSelfVote = now
		s.voteForSelf(now)
		s.dropExpiredVotes(now)
	}
	expedited := (len(s.released) > 0 || s.hasNewResources) && now.Sub(s.lastExpedited) >= expeditedClaimInterval
	if expedited {
		due = s.instances
		s.lastExpedited = now
	}
	for _, id := range due {
		if id != s.self && s.listed(id) {
			s.sendClaim(now, id, suspects, out)
		}
	}
	for _, id := range s.needFullList {
		if s.listed(id) && s.ackedVersions[id] != s.listVersion {
			s.sendClaim(now, id, suspects, out)
		}
	}
	s.needFullList = s.needFullList[:0]
	if expedited {
		s.released = nil
		s.hasNewResources = false
	}
}

func (s *State) sendClaim(now time.Time, to fleet.InstanceID, suspects []fleet.InstanceID, out *wire.Outbox) {
	s.seq++
	resources := s.currentList()
	sent := sentClaim{seq: s.seq, sentAt: now, ttl: s.VoteTTL(), listVersion: s.listVersion, resources: resources}
	s.unacked[to] = append(s.unacked[to], sent)
	if n := len(s.unacked[to]); n > maxUnackedClaims {
		s.unacked[to] = append(s.unacked[to][:0], s.unacked[to][n-maxUnackedClaims:]...)
	}
	m := wire.Claim{
		Seq:         sent.seq,
		TTLMS:       uint32(sent.ttl / time.Millisecond),
		ListVersion: sent.listVersion,
		Suspects:    suspects,
		Released:    s.released,
		Leaving:     s.stopped,
		StartingMS:  s.startingMS(now),
	}
	if s.ackedVersions[to] != s.listVersion {
		m.Resources = sent.resources
		m.Full = true
	}
	out.Send(to, m)
}

// currentList returns the list of resources for claims and assigns a version to each new list.
func (s *State) currentList() []wire.Resource {
	if s.listChanged {
		s.listChanged = false
		s.listVersion++
		s.claimedResources = append([]wire.Resource(nil), s.ownedSorted...)
	}
	return s.claimedResources
}

// OnClaim returns the acknowledgement of a claim. It returns false for a claim that arrives after a
// later one of the same peer; such a claim must not be acknowledged.
func (s *State) OnClaim(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, c wire.Claim) (wire.ClaimAck, bool) {
	last := s.lastClaims[from]
	if inc < last.inc || (inc == last.inc && c.Seq <= last.seq) {
		return wire.ClaimAck{}, false
	}
	if s.listed(from) {
		s.lastClaims[from] = lastClaim{inc: inc, seq: c.Seq}
	}
	s.noteRestart(now, from, inc, c)
	for _, r := range c.Released {
		s.releaseVote(r, from, inc)
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
		if s.grantVote(now, from, inc, r, ttl) {
			ack.Granted[i/8] |= 1 << (i % 8)
		}
		ack.OtherVotesMS = max(ack.OtherVotesMS, s.otherVoteMS(now, from, r))
	}
	return ack, true
}

// resourcesOf returns the resources of a claim, which carries the full list or the version of
// a list received before. It returns false if that version is unknown.
func (s *State) resourcesOf(from fleet.InstanceID, inc fleet.Incarnation, c wire.Claim) ([]wire.Resource, bool) {
	if c.Full {
		if len(c.Resources) > maxClaimResources {
			return nil, true
		}
		if s.listed(from) {
			s.peerLists[from] = claimedList{inc, c.ListVersion, c.Resources}
		}
		return c.Resources, true
	}
	l, ok := s.peerLists[from]
	return l.resources, ok && l.inc == inc && l.listVersion == c.ListVersion
}

// ClaimedBy returns the last full list of resources received from a peer.
func (s *State) ClaimedBy(from fleet.InstanceID) []wire.Resource { return s.peerLists[from].resources }

// noteRestart counts a stopped peer as a voter again after its restart, shortly before its new
// incarnation may grant votes.
func (s *State) noteRestart(now time.Time, id fleet.InstanceID, inc fleet.Incarnation, c wire.Claim) {
	stop, ok := s.stoppedPeers[id]
	if !ok || inc <= stop.inc {
		return
	}
	stop.until = now.Add(time.Duration(c.StartingMS)*time.Millisecond - restartMargin)
	s.stoppedPeers[id] = stop
	if !stop.until.After(now) {
		delete(s.stoppedPeers, id)
		delete(s.ackedVersions, id) // a new incarnation has received no list
		s.needFullList = append(s.needFullList, id)
	}
}

// maxVoteTTL returns the longest validity of a vote that this router grants.
func (s *State) maxVoteTTL() time.Duration { return s.VoteTTL() + maxTTLExcess }

// Starting reports whether votes granted by an earlier incarnation of this router may still be valid.
// Until they have expired, this router grants no votes and must own no resources.
func (s *State) Starting(now time.Time) bool {
	return now.Sub(s.started) < s.maxVoteTTL()+clockDriftMargin
}

func (s *State) startingMS(now time.Time) uint32 {
	if !s.Starting(now) {
		return 0
	}
	return uint32((s.maxVoteTTL()+clockDriftMargin-now.Sub(s.started))/time.Millisecond) + 1
}

// otherVoteMS returns the remaining validity of this router's vote for an owner of r other than
// the given one.
func (s *State) otherVoteMS(now time.Time, owner fleet.InstanceID, r wire.Resource) uint32 {
	vote, ok := s.grantedVotes[r]
	if !ok || vote.owner == owner || !vote.until.After(now) {
		return 0
	}
	return uint32(vote.until.Sub(now)/time.Millisecond) + 1
}

// grantVote votes for one incarnation of an owner, if this router's view has the same owner and no
// vote for another owner or incarnation is valid.
func (s *State) grantVote(now time.Time, owner fleet.InstanceID, inc fleet.Incarnation, r wire.Resource, ttl time.Duration) bool {
	if s.owners[r] != owner || ttl > s.maxVoteTTL() || s.Starting(now) || s.stopped {
		return false
	}
	vote, active := s.grantedVotes[r]
	active = active && vote.until.After(now)
	same := vote.owner == owner && vote.inc == inc
	if active && !same {
		return false
	}
	until := now.Add(ttl + clockDriftMargin)
	if active && vote.until.After(until) {
		until = vote.until // an earlier vote with a later expiry remains valid
	}
	s.grantedVotes[r] = grantedVote{owner: owner, inc: inc, until: until}
	return true
}

func (s *State) releaseVote(r wire.Resource, owner fleet.InstanceID, inc fleet.Incarnation) {
	if vote, ok := s.grantedVotes[r]; ok && vote.owner == owner && vote.inc == inc {
		delete(s.grantedVotes, r)
	}
}

func (s *State) dropExpiredVotes(now time.Time) {
	for r, vote := range s.grantedVotes {
		if !vote.until.After(now) {
			delete(s.grantedVotes, r)
		}
	}
}

// voteForSelf grants this router's votes for the resources that it owns, by the same rules as votes
// for peers. These votes are recorded with incarnation 0.
func (s *State) voteForSelf(now time.Time) {
	if s.stopped {
		return
	}
	ttl := s.VoteTTL()
	for _, r := range s.ownedSorted {
		if s.grantVote(now, s.self, 0, r, ttl) {
			s.owned[r].addVote(s.self, now, now, ttl)
		}
	}
}

// OnAck records the votes granted by the acknowledgement of a recent claim and returns their
// resources.
func (s *State) OnAck(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, a wire.ClaimAck) []wire.Resource {
	claim, ok := s.takeUnacked(from, a.Seq)
	if !ok {
		return nil
	}
	if a.Resend {
		delete(s.ackedVersions, from)
		s.needFullList = append(s.needFullList, from)
		return nil
	}
	s.ackedVersions[from] = claim.listVersion
	if a.Leaving {
		s.noteStopping(now, from, inc, a)
	}
	var granted []wire.Resource
	for i, r := range claim.resources {
		if i/8 >= len(a.Granted) || a.Granted[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if o := s.owned[r]; o != nil && !claim.sentAt.Before(o.since) {
			o.addVote(from, now, claim.sentAt, claim.ttl)
			granted = append(granted, r)
		}
	}
	return granted
}

// noteStopping excludes a stopping peer from the voters, starting when its votes for other
// owners have expired.
func (s *State) noteStopping(now time.Time, id fleet.InstanceID, inc fleet.Incarnation, a wire.ClaimAck) {
	if _, known := s.stoppedPeers[id]; known {
		return
	}
	s.stoppedPeers[id] = peerStop{
		inc:  inc,
		from: now.Add(time.Duration(a.OtherVotesMS) * time.Millisecond),
	}
}

// takeUnacked returns the claim that an acknowledgement belongs to, and removes it and all earlier
// claims to the peer.
func (s *State) takeUnacked(from fleet.InstanceID, seq uint64) (sentClaim, bool) {
	for i, claim := range s.unacked[from] {
		if claim.seq == seq {
			s.unacked[from] = append(s.unacked[from][:0], s.unacked[from][i+1:]...)
			return claim, true
		}
	}
	return sentClaim{}, false
}

// addVote records the vote of voter id, received at now for a claim that was sent at sent.
func (o *ownedResource) addVote(id fleet.InstanceID, now, sent time.Time, ttl time.Duration) {
	until := sent.Add(ttl)
	if !until.After(now) {
		return
	}
	vote, ok := o.votes[id]
	if !ok || !vote.until.After(now) {
		vote.from = now
	}
	if until.After(vote.until) {
		vote.until = until
	}
	o.votes[id] = vote
}

// Stop releases all resources and grants no more votes. The next Tick informs the peers.
func (s *State) Stop(now time.Time) {
	s.stopped = true
	for r := range s.owned {
		delete(s.owned, r)
		s.releaseVote(r, s.self, 0)
	}
	s.released = append(s.released[:0], s.ownedSorted...)
	s.ownedSorted = s.ownedSorted[:0]
	s.listChanged = true
}
