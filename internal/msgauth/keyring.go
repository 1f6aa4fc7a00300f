package msgauth

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	// maxFormerKeys bounds the keys of former configurations that are accepted.
	maxFormerKeys = 8
	keyBytes      = sha256.Size
	// keyInfo separates these keys from others that may be derived from the same secrets.
	keyInfo = "dandelionvane messages between gateways, key 1"
)

// KeyringOptions configures a Keyring.
type KeyringOptions struct {
	// FormerKeyTTL is how long a key is accepted after the next one was adopted.
	FormerKeyTTL time.Duration
	// SwitchDelay is how long a key is the present one before it signs. Receivers that adopt a configuration within half
	// of this time after the sender, or before it, miss no message, also if they skip configurations.
	SwitchDelay time.Duration
}

// Keyring holds the key of the present configuration and those of a few former ones.
type Keyring struct {
	opts KeyringOptions
	keys []derivedKey // the latest one first, at most 1+maxFormerKeys
}

// derivedKey is a key and its times.
type derivedKey struct {
	id       uint32
	secret   []byte
	adopted  boottime.Instant
	replaced boottime.Instant // when the next one was adopted; 0: it is the present one, the first of the ring
}

// NewKeyring returns a Keyring without keys.
func NewKeyring(o KeyringOptions) *Keyring { return &Keyring{opts: o} }

// Adopt makes the key of a configuration the present one. A configuration with the same API keys changes nothing, and neither does
// one without API keys: without a key, the next ones could be anyone's. The error reports that the key cannot be derived.
func (r *Keyring) Adopt(now boottime.Instant, c *routing.Config) error {
	secret, err := deriveKey(c)
	if secret == nil {
		return err
	}
	next := derivedKey{id: keyID(secret), secret: secret, adopted: now}
	if len(r.keys) > 0 {
		present := &r.keys[0]
		if present.id == next.id {
			return nil
		}
		present.replaced = now
	}
	r.keys = slices.DeleteFunc(r.keys, func(k derivedKey) bool { return k.id == next.id || r.expired(&k, now) })
	r.keys = slices.Insert(r.keys, 0, next)
	if len(r.keys) > 1+maxFormerKeys {
		r.dropFormer(now)
	}
	return nil
}

// dropFormer removes a former key: the oldest that has signed at no other gateway either, because it was replaced within half of
// SwitchDelay, else the oldest of all. The first key of a ring may have signed.
func (r *Keyring) dropFormer(now boottime.Instant) {
	drop := len(r.keys) - 1
	for i := drop - 1; i > 0; i-- {
		if r.keys[i].presentFor(now) < r.opts.SwitchDelay/2 {
			drop = i
			break
		}
	}
	r.keys = slices.Delete(r.keys, drop, drop+1)
}

// Clear removes all keys.
func (r *Keyring) Clear() { r.keys = nil }

// HasKey reports whether messages can be signed and verified.
func (r *Keyring) HasKey() bool { return len(r.keys) > 0 }

func (r *Keyring) expired(k *derivedKey, now boottime.Instant) bool {
	return k.replaced != 0 && now.Sub(k.replaced) >= r.opts.FormerKeyTTL
}

// presentFor returns how long a key has been, or was, the present one.
func (k *derivedKey) presentFor(now boottime.Instant) time.Duration {
	if k.replaced != 0 {
		return k.replaced.Sub(k.adopted)
	}
	return now.Sub(k.adopted)
}

// keyOrSigning returns the key that has an ID if it is held and has not expired, else the one to sign with.
func (r *Keyring) keyOrSigning(now boottime.Instant, id uint32) *derivedKey {
	for i := range r.keys {
		if k := &r.keys[i]; k.id == id && !r.expired(k, now) {
			return k
		}
	}
	return r.signingKey(now)
}

// signingKey returns the latest key that was the present one for SwitchDelay, else the oldest accepted one, or nil if there is none.
func (r *Keyring) signingKey(now boottime.Instant) *derivedKey {
	var oldest *derivedKey
	for i := range r.keys {
		k := &r.keys[i]
		if r.expired(k, now) {
			continue
		}
		if k.presentFor(now) >= r.opts.SwitchDelay {
			return k
		}
		oldest = k
	}
	return oldest
}

// deriveKey returns the key of a configuration, or nil if it has no API keys.
func deriveKey(c *routing.Config) ([]byte, error) {
	apiKeys := apiKeysOf(c)
	if len(apiKeys) == 0 {
		return nil, nil
	}
	var secret []byte
	for _, k := range apiKeys {
		secret = binary.BigEndian.AppendUint64(secret, uint64(len(k)))
		secret = append(secret, k...)
	}
	key, err := hkdf.Key(sha256.New, secret, nil, keyInfo, keyBytes)
	if err != nil {
		return nil, errors.Wrap(err, "msgauth: derive key")
	}
	return key, nil
}

// apiKeysOf returns the different API keys of all workspaces, sorted. An empty one is no secret and is left out.
func apiKeysOf(c *routing.Config) []string {
	var keys []string
	for i := range c.Workspaces {
		keys = append(keys, c.Workspaces[i].Keys...)
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	return slices.DeleteFunc(keys, func(k string) bool { return k == "" })
}

// keyID returns the number by which signatures name a key. It tells nothing of the key.
func keyID(secret []byte) uint32 {
	f := fingerprint(secret)
	return binary.BigEndian.Uint32(f[:])
}
