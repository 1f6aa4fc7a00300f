package msgauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// macBytes is the size of a truncated HMAC-SHA256.
const macBytes = 16

// Errors of Sign and Verify.
var (
	ErrNoKey      = errors.New("msgauth: there is no key")
	ErrUnknownKey = errors.New("msgauth: the signature is of an unknown or expired key")
	ErrBadMAC     = errors.New("msgauth: the signature does not match the message")
	ErrReplayed   = errors.New("msgauth: the message was accepted before, or is too old to tell")
)

// Process is one run of a gateway.
type Process struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
}

// Authenticator signs the messages of one process and verifies those that it receives.
type Authenticator struct {
	self    Process
	ring    *Keyring
	replays replayFilter
}

// New returns an Authenticator of a process that uses the keys of ring.
func New(self Process, ring *Keyring) *Authenticator {
	return &Authenticator{self: self, ring: ring, replays: newReplayFilter()}
}

// Sign returns the signature of a message of this process to another. The sequence number must be positive and higher
// than in all earlier messages to the same process; several receivers may get the same one. The error is ErrNoKey.
func (a *Authenticator) Sign(now boottime.Instant, to Process, kind wire.Kind, sequence uint64, body []byte) (wire.Signature, error) {
	return a.SignWith(now, 0, to, kind, sequence, body)
}

// SignWith is Sign with the key that has an ID, if it is held: a message in reply to one that was signed with it.
func (a *Authenticator) SignWith(now boottime.Instant, id uint32, to Process, kind wire.Kind, sequence uint64, body []byte) (wire.Signature, error) {
	k := a.ring.keyOrSigning(now, id)
	if k == nil {
		return wire.Signature{}, ErrNoKey
	}
	m := message{from: a.self, to: to, kind: kind, sequence: sequence, body: body}
	return wire.Signature{Sequence: sequence, KeyID: k.id, MAC: m.mac(k.secret)}, nil
}

// Verify accepts a message to this process once. The errors are ErrNoKey, ErrUnknownKey, ErrBadMAC and ErrReplayed. A
// refused message changes nothing: the same one may be accepted later, when its key has been adopted.
func (a *Authenticator) Verify(now boottime.Instant, from Process, kind wire.Kind, body []byte, s wire.Signature) error {
	m := message{from: from, to: a.self, kind: kind, sequence: s.Sequence, body: body}
	if err := a.ring.check(now, s, m.mac); err != nil {
		return err
	}
	return a.replays.accept(now, from, s.Sequence)
}

// check compares a signature with the MACs of the accepted keys of its ID.
func (r *Keyring) check(now boottime.Instant, s wire.Signature, mac func(secret []byte) []byte) error {
	if !r.HasKey() {
		return ErrNoKey
	}
	err := ErrUnknownKey
	for i := range r.keys {
		k := &r.keys[i]
		if k.id != s.KeyID || r.expired(k, now) {
			continue
		}
		if hmac.Equal(s.MAC, mac(k.secret)) {
			return nil
		}
		err = ErrBadMAC
	}
	return err
}

// message is what a signature covers.
type message struct {
	from, to Process
	kind     wire.Kind
	sequence uint64
	body     []byte
}

// mac returns the MAC of a message. All fields before the body have a fixed length, or a length before them.
func (m *message) mac(secret []byte) []byte {
	head := make([]byte, 0, 128)
	head = appendProcess(head, m.from)
	head = appendProcess(head, m.to)
	head = append(head, byte(m.kind))
	head = binary.BigEndian.AppendUint64(head, m.sequence)
	h := hmac.New(sha256.New, secret)
	h.Write(head)
	h.Write(m.body)
	return h.Sum(nil)[:macBytes]
}

func appendProcess(b []byte, p Process) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(p.ID)))
	b = append(b, p.ID...)
	return binary.BigEndian.AppendUint64(b, uint64(p.Incarnation))
}
