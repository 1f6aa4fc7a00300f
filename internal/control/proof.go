package control

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// readVerdict is what a full read of the store tells of unproven content, which peers may have published after the read
// was sent.
type readVerdict int

const (
	// contentGenuine: the content was signed with the key of the store's configuration. It stays where it is later than the read.
	contentGenuine readVerdict = iota
	// contentSuperseded: the read replaces the content. It is at least as recent, or the content claimed a revision that the store
	// had not reached when the read was sent.
	contentSuperseded
	// contentUndecided: the content was received after the read was sent, is later, and has another key. It is forged, or its
	// configuration was published after the read was sent. Only a read that is sent from now on can tell.
	contentUndecided
	// contentMayBeLost: the content has another key and records of a former era. It is forged, or the store has lost its configuration
	// by its return with an older copy. Only a proof can tell, see dispute.
	contentMayBeLost
	// contentUnjudged: the configuration of the store cannot be read, so that the read tells nothing of the keys. The content stays
	// where it is later than the read, and unproven.
	contentUnjudged
)

// assessRead returns what a full read, sent while the mirror covered a revision, tells of the unproven content.
func (s *State) assessRead(now boottime.Instant, u published.Update, coveredAtSend fleet.Revision) readVerdict {
	era := published.EraOf(u.Revision)
	switch covered := s.mirror.CoveredRevision(); {
	case s.trust.ring.HoldsAny(s.ringOf(now, u.Items).Fingerprints(now)):
		return contentGenuine
	case s.trust.ring.HasKey() && !s.trust.refuted && s.hasUnreadableConfig(u.Items):
		return contentUnjudged
	case u.Revision >= covered && s.mirror.HoldsFormerEra(era) && era > s.trust.proofEra:
		return contentMayBeLost
	case u.Revision >= covered || u.Revision < coveredAtSend:
		return contentSuperseded
	default:
		return contentUndecided
	}
}

// applyRead applies the result of a read of the store that was sent while the mirror covered a revision. It returns false if the
// read neither proves nor replaces unproven content.
func (s *State) applyRead(now boottime.Instant, u published.Update, coveredAtSend fleet.Revision) bool {
	if !u.Snapshot || s.trust.proven {
		s.noteMirrorConfirmed(now, u.Confirmed)
		s.apply(now, u)
		return true
	}
	verdict := s.assessRead(now, u, coveredAtSend)
	if verdict == contentUndecided || verdict == contentMayBeLost {
		s.noteStoreResponse(now, u.Confirmed)
		s.log(event.ContentUndecided, "revision", u.Revision, "covered_at_send", coveredAtSend, "covered", s.mirror.CoveredRevision(),
			"may_be_lost", verdict == contentMayBeLost, "age_ms", now.Sub(u.Confirmed).Milliseconds())
		s.beginDispute(now)
		if verdict == contentMayBeLost {
			s.awaitProof(now, u)
		}
		return false
	}
	s.trust.proven = verdict != contentUnjudged
	s.noteMirrorConfirmed(now, u.Confirmed)
	if verdict == contentSuperseded {
		s.replaceContent(now, u)
		return true
	}
	s.apply(now, u)
	return true
}

// hasUnreadableConfig reports whether the configuration among items cannot be read.
func (s *State) hasUnreadableConfig(items []published.Item) bool {
	return slices.ContainsFunc(items, func(it published.Item) bool {
		record, err := s.opts.Protocol.DecodeItem(it)
		return err != nil && isConfigRecord(record, err)
	})
}

// replaceContent discards the content and its keys, and applies a full read.
func (s *State) replaceContent(now boottime.Instant, u published.Update) {
	if former := s.mirror.CoveredRevision(); former > u.Revision {
		s.log(event.ContentReplaced, "revision", u.Revision, "former", former)
	}
	s.applyWith(now, u, s.mirror.Replace)
	s.trust.ring.Clear()
	s.trust.refuted = false
	if !s.mirror.HasConfig() {
		s.table = nil
	}
	if s.table != nil {
		s.adoptKey(now, s.table.Config())
	}
}
