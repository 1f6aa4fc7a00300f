package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/msgauth"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Which changes of the store are accepted from peers:
//
// Anyone can become a member and send a Status or answer a pull. A process whose configuration has API keys therefore
// accepts changes only with a signature by one of its keys (package msgauth), which stay if a configuration takes all API keys
// away. A process whose content has never had API keys takes the first ones from the store only. A process without
// content has no key. It accepts the first one from any peer, because it must become ready while the store cannot be read; the
// signature must then be of the key of that configuration itself, so that whoever signed knew all its API keys.
//
// This content is unproven until a seed, whose address is in the settings, names the same key. If the seed names
// others, the process reads the store and discards what it had. All reads of an unproven process are of the whole
// store, and prove its content or replace it, see assessRead. A seed that is unproven reads the store when it is queried.

const (
	formerKeyTTL   = 15 * time.Minute
	keySwitchDelay = 4 * time.Second
)

// contentTrust is what is known of the origin of the mirror's content.
type contentTrust struct {
	ring   *msgauth.Keyring
	auth   *msgauth.Authenticator // of messages other than a Status; uses ring
	proven bool                   // the content is that of the store, and not only what a peer has claimed
	// refuted is set while a seed has named other keys than those of unproven content.
	refuted bool
	dispute
}

// keyringOptions are those of the keys of the content. Peers adopt a configuration within half of SwitchDelay, unless they are
// cut off; for those, FormerKeyTTL is a time in which operators notice it.
var keyringOptions = msgauth.KeyringOptions{FormerKeyTTL: formerKeyTTL, SwitchDelay: keySwitchDelay}

// newContentTrust returns that of a process without content.
func newContentTrust(o Options) contentTrust {
	ring := msgauth.NewKeyring(keyringOptions)
	self := msgauth.Process{ID: o.Self.ID, Incarnation: o.Incarnation}
	return contentTrust{ring: ring, auth: msgauth.New(self, ring)}
}

// adoptKey adopts the key of a configuration.
func (s *State) adoptKey(now boottime.Instant, c *routing.Config) {
	if err := s.trust.ring.Adopt(now, c); err != nil {
		s.log(event.ConfigRefused, "version", c.Version, "err", err.Error())
	}
}

// errKeysFromPeer reports the first API keys in an update of a peer. Anyone could have made them up.
var errKeysFromPeer = errors.New("control: the first API keys are read from the store only")

// acceptsUpdate reports whether an update of a peer may be applied.
func (s *State) acceptsUpdate(now boottime.Instant, from fleet.InstanceID, m *wire.StoreUpdate) bool {
	if s.disputed(now) {
		return false
	}
	ring := s.trust.ring
	if !ring.HasKey() {
		ring = s.ringOf(now, publishedItems(m.Items))
		if !ring.HasKey() {
			return true // no API keys are known, and the update has none
		}
		if s.mirror.Revision() != 0 {
			s.refuseUpdate(from, m, errKeysFromPeer)
			return false
		}
	}
	if err := verifyUpdate(now, ring, m); err != nil {
		s.refuseUpdate(from, m, err)
		return false
	}
	return true
}

func (s *State) refuseUpdate(from fleet.InstanceID, m *wire.StoreUpdate, err error) {
	s.log(event.PeerRefused, "peer", from, "revision", m.Revision, "items", len(m.Items), "err", err.Error())
	s.shortenBackoff()
}

func verifyUpdate(now boottime.Instant, ring *msgauth.Keyring, m *wire.StoreUpdate) error {
	if m.Signature == nil {
		return msgauth.ErrUnknownKey
	}
	return ring.VerifyContent(now, m.AppendSigned(nil), *m.Signature)
}

// ringOf returns a ring with the key of the configuration among items, or without one if there is none.
func (s *State) ringOf(now boottime.Instant, items []published.Item) *msgauth.Keyring {
	ring := msgauth.NewKeyring(keyringOptions)
	for _, it := range items {
		record, err := s.opts.Protocol.DecodeItem(it)
		if err != nil {
			continue // reported when it is applied
		}
		if c, ok := record.(published.Config); ok && ring.Adopt(now, c.Config) != nil {
			return msgauth.NewKeyring(keyringOptions)
		}
	}
	return ring
}

func itemOf(it *wire.StoreItem) published.Item {
	return published.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted}
}

// SignItems signs an update for a peer whose key has the given ID, 0 for none. Without API keys it stays unsigned.
func (s *State) SignItems(now boottime.Instant, u *wire.StoreUpdate, key uint32) {
	u.Signature = nil
	sig, err := s.trust.ring.SignContent(now, key, u.AppendSigned(nil))
	if err != nil {
		return // there are no API keys
	}
	u.Signature = &sig
}

// signedChanges returns the recent changes for a Status, with a signature of the key that signs messages now.
func (s *State) signedChanges(now boottime.Instant) *wire.StoreUpdate {
	u := s.recentChanges
	if u == nil {
		return nil
	}
	if key := s.trust.ring.SigningKey(now); u.Signature == nil || u.Signature.KeyID != key {
		signed := *u
		s.SignItems(now, &signed, key)
		s.recentChanges = &signed
	}
	return s.recentChanges
}

// Fingerprints returns those of the keys of proven content, for gateways that query this one as a seed.
func (s *State) Fingerprints(now boottime.Instant) []msgauth.Fingerprint {
	if !s.trust.proven {
		return nil
	}
	return s.trust.ring.Fingerprints(now)
}

// SeedKeys handles the fingerprints that a seed has returned.
func (s *State) SeedKeys(now boottime.Instant, seed []msgauth.Fingerprint) {
	if s.trust.proven || len(seed) == 0 || s.mirror.Revision() == 0 {
		return
	}
	if s.trust.ring.HoldsPresent(seed) {
		s.trust.proven, s.trust.refuted = true, false
		return
	}
	s.trust.refuted = true
	s.scheduleOnDemandRead(now, "")
}

// unproven reports whether the content has API keys and a seed may still prove it.
func (s *State) unproven() bool { return !s.trust.proven && s.trust.ring.HasKey() }

// proveAsSeed schedules a read of the store if this process, which was queried as a seed, has unproven content. It
// leaves the store alone while many gateways may start.
func (s *State) proveAsSeed(now boottime.Instant) {
	if !s.trust.proven && s.mirror.Revision() != 0 && now.Sub(s.join.processStart) >= joinPeriod {
		s.scheduleOnDemandRead(now, "")
	}
}
