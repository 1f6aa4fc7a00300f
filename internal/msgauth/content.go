package msgauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Fingerprint identifies a derived key. It tells nothing of the key.
type Fingerprint [sha256.Size]byte

func fingerprint(secret []byte) Fingerprint { return sha256.Sum256(secret) }

// MaxFingerprints is the largest number of keys that a Keyring holds.
const MaxFingerprints = 1 + maxFormerKeys

// contentContext separates signatures of content from those of messages, which begin with the length of an ID.
var contentContext = []byte("\xff content of the store ")

// SignContent returns a signature of content of the store, which is the same for all receivers and may be repeated. It
// is of the key with the given ID if the ring accepts it, so that a receiver that lags behind can verify it; otherwise
// of the present one. The error is ErrNoKey.
func (r *Keyring) SignContent(now boottime.Instant, id uint32, content []byte) (wire.Signature, error) {
	if !r.HasKey() {
		return wire.Signature{}, ErrNoKey
	}
	k := &r.keys[0]
	for i := range r.keys {
		if r.keys[i].id == id && !r.expired(&r.keys[i], now) {
			k = &r.keys[i]
		}
	}
	return wire.Signature{KeyID: k.id, MAC: contentMAC(k.secret, content)}, nil
}

// VerifyContent checks a signature of content of the store. The errors are ErrNoKey, ErrUnknownKey and ErrBadMAC.
func (r *Keyring) VerifyContent(now boottime.Instant, content []byte, s wire.Signature) error {
	return r.check(now, s, func(secret []byte) []byte { return contentMAC(secret, content) })
}

func contentMAC(secret, content []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(contentContext)
	h.Write(content)
	return h.Sum(nil)[:macBytes]
}

// PresentKey returns the ID of the key of the present configuration, or 0 if there is none.
func (r *Keyring) PresentKey() uint32 {
	if !r.HasKey() {
		return 0
	}
	return r.keys[0].id
}

// SigningKey returns the ID of the key that signs messages, or 0 if there is none.
func (r *Keyring) SigningKey(now boottime.Instant) uint32 {
	k := r.signingKey(now)
	if k == nil {
		return 0
	}
	return k.id
}

// Fingerprints returns those of the accepted keys.
func (r *Keyring) Fingerprints(now boottime.Instant) []Fingerprint {
	var out []Fingerprint
	for i := range r.keys {
		if !r.expired(&r.keys[i], now) {
			out = append(out, fingerprint(r.keys[i].secret))
		}
	}
	return out
}

// HoldsPresent reports whether the key of the present configuration is among the given ones.
func (r *Keyring) HoldsPresent(of []Fingerprint) bool {
	return r.HasKey() && slices.Contains(of, fingerprint(r.keys[0].secret))
}

// HoldsAny reports whether one of the given keys is in the ring.
func (r *Keyring) HoldsAny(of []Fingerprint) bool {
	return slices.ContainsFunc(r.keys, func(k derivedKey) bool { return slices.Contains(of, fingerprint(k.secret)) })
}
