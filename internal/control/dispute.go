package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/msgauth"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// disputeTimeout bounds the time in which no update of a peer is accepted, if the next read does not end.
	disputeTimeout = 2 * time.Second
	// proofWait is how long a proof of content that the store may have lost is waited for before the store is read again.
	proofWait = time.Second
	// proofInterval is the time between two questions for a proof.
	proofInterval = 200 * time.Millisecond
	// proofPeers is the number of peers that are asked at once.
	proofPeers = 3
)

// dispute is the state of unproven content that a read has left undecided. It begins with the read, and ends with the next one, with a
// proof, or by disputeTimeout. No update of a peer is accepted meanwhile, so that the next read decides.
//
// Content that is later than the read is read again at once. Content that the store may have lost by its return with an older copy would
// not be in the next read either. A seed proves it by its keys, and a peer by its copy of the same configuration, signed with the key of
// the configuration in the store: peers that have adopted the later configuration hold that key as a former one, and a forger does not
// know it. Without a proof in time, the next read replaces the content.
type dispute struct {
	disputedUntil boottime.Instant // 0: the content is not disputed
	proofEra      uint64           // the latest era of a read that was followed by a wait for a proof; the next read of the era decides
	proofUntil    boottime.Instant // a proof is waited for; 0: it is not
	proofAskedAt  boottime.Instant
	storeRing     *msgauth.Keyring // of the configuration in the undecided read
}

// disputed reports whether the content is disputed.
func (s *State) disputed(now boottime.Instant) bool {
	return !s.trust.proven && now.Before(s.trust.disputedUntil)
}

// awaitsProof reports whether no read is sent because a proof may arrive.
func (s *State) awaitsProof(now boottime.Instant) bool {
	return !s.trust.proven && now.Before(s.trust.proofUntil)
}

// beginDispute schedules another read after an undecided one.
func (s *State) beginDispute(now boottime.Instant) {
	s.trust.disputedUntil = now.Add(disputeTimeout)
	s.scheduleOnDemandRead(now, "")
}

// awaitProof defers that read until a proof may have arrived.
func (s *State) awaitProof(now boottime.Instant, undecided published.Update) {
	s.trust.proofEra = published.EraOf(undecided.Revision)
	s.trust.proofUntil = now.Add(proofWait)
	s.trust.storeRing = s.ringOf(now, undecided.Items)
}

// endDispute is called at the end of a read.
func (s *State) endDispute() { s.trust.disputedUntil, s.trust.proofUntil = 0, 0 }

// tickDispute asks a seed and peers for a proof while one is waited for.
func (s *State) tickDispute(now boottime.Instant) {
	d := &s.trust.dispute
	if !s.awaitsProof(now) || now.Sub(d.proofAskedAt) < proofInterval {
		return
	}
	d.proofAskedAt = now
	s.emit(QuerySeeds{})
	if !d.storeRing.HasKey() {
		return
	}
	for _, m := range s.proofSources(now) {
		limit := maxPullBytes
		if s.mesh.IsLocalAggregator(m.ID) {
			limit = maxAggregatorPullBytes
		}
		s.emit(PullItems{From: m.ID, Control: m.ControlAddr, MaxBytes: limit, Key: d.storeRing.PresentKey()})
	}
}

// proofSources returns the peers that are asked for a proof: those from which the whole content may be pulled.
func (s *State) proofSources(now boottime.Instant) []mesh.Member {
	if !s.mesh.Aggregated() {
		return s.mesh.RandomPeers(now, s.rng, proofPeers)
	}
	var out []mesh.Member
	for _, id := range s.mesh.LocalAggregators() {
		if m, ok := s.mesh.Member(id); ok && id != s.opts.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

// proveDisputed marks disputed content as proven if a peer's snapshot proves it, and reports whether it does.
func (s *State) proveDisputed(now boottime.Instant, from fleet.InstanceID, m *wire.StoreUpdate) bool {
	if !s.awaitsProof(now) || !m.Snapshot || verifyUpdate(now, s.trust.storeRing, m) != nil {
		return false
	}
	if !s.trust.ring.HoldsAny(s.ringOf(now, publishedItems(m.Items)).Fingerprints(now)) {
		return false
	}
	s.trust.proven = true
	s.log(event.ContentProven, "peer", from, "revision", m.Revision, "covered", s.mirror.CoveredRevision())
	return true
}
