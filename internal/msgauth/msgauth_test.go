package msgauth

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	start       = boottime.Instant(time.Hour)
	formerTTL   = time.Minute
	switchDelay = 2 * time.Second
)

var (
	alice = Process{ID: "a-1", Incarnation: 11}
	bob   = Process{ID: "b-1", Incarnation: 22}
)

// config returns a configuration with one workspace for each API key.
func config(apiKeys ...string) *routing.Config {
	c := &routing.Config{}
	for i, k := range apiKeys {
		c.Workspaces = append(c.Workspaces, routing.Workspace{ID: fleet.WorkspaceID(fmt.Sprint("w", i)), Keys: []string{k}})
	}
	return c
}

func newRing(t rapid.TB, now boottime.Instant, c *routing.Config) *Keyring {
	r := NewKeyring(KeyringOptions{FormerKeyTTL: formerTTL, SwitchDelay: switchDelay})
	adopt(t, r, now, c)
	return r
}

func adopt(t rapid.TB, r *Keyring, now boottime.Instant, c *routing.Config) {
	if err := r.Adopt(now, c); err != nil {
		t.Fatal(err)
	}
}

func sign(t rapid.TB, a *Authenticator, now boottime.Instant, to Process, sequence uint64, body []byte) wire.Signature {
	s, err := a.Sign(now, to, wire.KindStatus, sequence, body)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// wantError fails the test unless an error is the wanted one, nil for none.
func wantError(t rapid.TB, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("%s: error %v, want %v", what, err, want)
	}
}

func drawAPIKeys(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.StringN(1, 20, -1), 2, 6, rapid.ID[string]).Draw(t, "api keys")
}

func drawBody(t *rapid.T) []byte { return rapid.SliceOfN(rapid.Byte(), 0, 1000).Draw(t, "body") }

// TestSignedMessageIsAccepted: with the same API keys in any order and workspaces, a signed message is accepted.
func TestSignedMessageIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		apiKeys := drawAPIKeys(t)
		shuffled := rapid.Permutation(apiKeys).Draw(t, "shuffled")
		other := &routing.Config{Workspaces: []routing.Workspace{{ID: "all", Keys: append(shuffled, shuffled[0], "")}}}
		body := drawBody(t)
		a, b := New(alice, newRing(t, start, config(apiKeys...))), New(bob, newRing(t, start, other))
		s := sign(t, a, start, bob, 1, body)
		wantError(t, "verify", b.Verify(start, alice, wire.KindStatus, body, s), nil)
	})
}

// TestForgedMessageIsRefused: whoever lacks one of the API keys cannot sign, also with the ID of the right key.
func TestForgedMessageIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		apiKeys := drawAPIKeys(t)
		ring := newRing(t, start, config(apiKeys...))
		missing := rapid.IntRange(0, len(apiKeys)-1).Draw(t, "missing")
		known := slices.Delete(slices.Clone(apiKeys), missing, missing+1)
		if rapid.Bool().Draw(t, "guesses") {
			known = append(known, apiKeys[missing]+rapid.StringN(1, 3, -1).Draw(t, "suffix"))
		}
		body := drawBody(t)
		s := sign(t, New(alice, newRing(t, start, config(known...))), start, bob, 1, body)
		b := New(bob, ring)
		wantError(t, "forged", b.Verify(start, alice, wire.KindStatus, body, s), ErrUnknownKey)
		s.KeyID = ring.keys[0].id
		wantError(t, "forged with the key's ID", b.Verify(start, alice, wire.KindStatus, body, s), ErrBadMAC)
		if len(b.replays.senders) != 0 {
			t.Fatalf("remembers %d senders of forged messages", len(b.replays.senders))
		}
	})
}

// TestKeysThatConcatenateAlikeDiffer: API keys with the same concatenation give different keys.
func TestKeysThatConcatenateAlikeDiffer(t *testing.T) {
	a, b := newRing(t, start, config("ab", "c")), newRing(t, start, config("a", "bc"))
	if a.keys[0].id == b.keys[0].id {
		t.Error("the same key")
	}
}

// TestAlteredMessageIsRefused: a change of any part of a message or its signature is refused, and the message itself is
// accepted after it.
func TestAlteredMessageIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := newRing(t, start, config(drawAPIKeys(t)...))
		a, b := New(alice, ring), New(bob, ring)
		body := append(drawBody(t), 0)
		s := sign(t, a, start, bob, 7, body)
		from, kind, changed := alice, wire.KindStatus, slices.Clone(body)
		forged := s
		forged.MAC = slices.Clone(s.MAC)
		bit := func(n int) (int, byte) {
			i := rapid.IntRange(0, 8*n-1).Draw(t, "bit")
			return i / 8, 1 << (i % 8)
		}
		want := ErrBadMAC
		switch rapid.SampledFrom([]string{"body", "mac", "sequence", "key", "sender", "incarnation", "kind", "short mac", "short body", "long mac"}).Draw(t, "part") {
		case "body":
			i, flip := bit(len(changed))
			changed[i] ^= flip
		case "mac":
			i, flip := bit(macBytes)
			forged.MAC[i] ^= flip
		case "sequence":
			forged.Sequence ^= 1 << rapid.IntRange(0, 63).Draw(t, "bit")
		case "key":
			forged.KeyID ^= 1 << rapid.IntRange(0, 31).Draw(t, "bit")
			want = ErrUnknownKey
		case "sender":
			from.ID = "a-2"
		case "incarnation":
			from.Incarnation ^= 1 << rapid.IntRange(0, 63).Draw(t, "bit")
		case "kind":
			kind = wire.KindStreamOrigins
		case "short mac":
			forged.MAC = forged.MAC[:rapid.IntRange(0, macBytes-1).Draw(t, "length")]
		case "short body":
			changed = changed[:rapid.IntRange(0, len(changed)-1).Draw(t, "length")]
		case "long mac":
			forged.MAC = append(forged.MAC, 0)
		}
		wantError(t, "altered", b.Verify(start, from, kind, changed, forged), want)
		wantError(t, "original", b.Verify(start, alice, wire.KindStatus, body, s), nil)
	})
}

// TestSignatureOfOtherReceiverIsRefused: a message is accepted only by the process that it was signed for. A restarted
// receiver refuses all that were recorded before.
func TestSignatureOfOtherReceiverIsRefused(t *testing.T) {
	ring := newRing(t, start, config("k1", "k2"))
	s := sign(t, New(alice, ring), start, bob, 1, []byte("x"))
	for name, p := range map[string]Process{
		"other gateway":      {ID: "b-2", Incarnation: bob.Incarnation},
		"restarted receiver": {ID: bob.ID, Incarnation: bob.Incarnation + 1},
		"sender":             alice,
	} {
		wantError(t, name, New(p, ring).Verify(start, alice, wire.KindStatus, []byte("x"), s), ErrBadMAC)
	}
}

// TestEachMessageIsAcceptedOnce delivers messages of several processes of a sender repeatedly and out of order.
func TestEachMessageIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := newRing(t, start, config("k1", "k2"))
		b := New(bob, ring)
		accepted := map[Process]map[uint64]bool{}
		highest := map[Process]uint64{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "deliveries") {
			now = now.Add(time.Second)
			from := Process{ID: alice.ID, Incarnation: fleet.Incarnation(rapid.IntRange(1, maxProcesses).Draw(t, "incarnation"))}
			sequence := rapid.Uint64Range(1, 200).Draw(t, "sequence")
			s := sign(t, New(from, ring), start, bob, sequence, nil)
			var want error
			if accepted[from][sequence] || sequence+windowSize <= highest[from] {
				want = ErrReplayed
			}
			wantError(t, fmt.Sprint(from, sequence), b.Verify(now, from, wire.KindStatus, nil, s), want)
			if want != nil {
				continue
			}
			if accepted[from] == nil {
				accepted[from] = map[uint64]bool{}
			}
			accepted[from][sequence] = true
			highest[from] = max(highest[from], sequence)
		}
	})
}

// TestSequenceZeroIsRefused: a signed message without a sequence number is refused and leaves no record.
func TestSequenceZeroIsRefused(t *testing.T) {
	ring := newRing(t, start, config("k1", "k2"))
	b := New(bob, ring)
	s := sign(t, New(alice, ring), start, bob, 0, nil)
	wantError(t, "sequence 0", b.Verify(start, alice, wire.KindStatus, nil, s), ErrReplayed)
	if len(b.replays.senders) != 0 {
		t.Error("remembers the sender")
	}
}

// TestReplayFilterIsBounded: of more senders and processes than the bounds, those silent for the longest time are forgotten.
func TestReplayFilterIsBounded(t *testing.T) {
	f := newReplayFilter()
	now := start
	accept := func(p Process, sequence uint64) error {
		now = now.Add(time.Second)
		return f.accept(now, p, sequence)
	}
	for i := range 2 * maxSenders {
		wantError(t, "new sender", accept(Process{ID: fleet.InstanceID(fmt.Sprint(i)), Incarnation: 1}, 1), nil)
		if i > 0 {
			wantError(t, "replay of the regular sender", accept(alice, uint64(i)), ErrReplayed)
		}
		wantError(t, "regular sender", accept(alice, uint64(i+1)), nil)
	}
	if len(f.senders) != maxSenders {
		t.Errorf("%d senders, want %d", len(f.senders), maxSenders)
	}
	for i := range 2 * maxProcesses {
		wantError(t, "new process", accept(Process{ID: alice.ID, Incarnation: fleet.Incarnation(100 + i)}, 1), nil)
		wantError(t, "regular process", accept(alice, uint64(2*maxSenders+1+i)), nil)
	}
	if n := len(f.senders[alice.ID].processes); n != maxProcesses {
		t.Errorf("%d processes, want %d", n, maxProcesses)
	}
	wantError(t, "replay of the regular process", accept(alice, 2*maxSenders+1), ErrReplayed)
}

// TestVersionsOfConfigurationMayDiffer: sender and receiver adopt a series of configurations at times that differ by
// less than SwitchDelay. All messages are accepted.
func TestVersionsOfConfigurationMayDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aRing, bRing := newRing(t, start, config("k0", "k")), newRing(t, start, config("k0", "k"))
		a, b := New(alice, aRing), New(bob, bRing)
		type adoption struct {
			at   boottime.Instant
			ring *Keyring
			key  string
		}
		var adoptions []adoption
		at := start
		for i := range rapid.IntRange(1, 6).Draw(t, "configurations") {
			at = at.Add(time.Duration(rapid.IntRange(1000, 10_000).Draw(t, "ms between")) * time.Millisecond)
			key := fmt.Sprint("k", i+1)
			skew := time.Duration(rapid.IntRange(-1999, 1999).Draw(t, "skew in ms")) * time.Millisecond
			adoptions = append(adoptions, adoption{at, aRing, key}, adoption{at.Add(skew), bRing, key})
		}
		slices.SortStableFunc(adoptions, func(x, y adoption) int { return int(x.at - y.at) })
		end := at.Add(3 * switchDelay)
		sequence := uint64(0)
		for now := start; now < end; now = now.Add(100 * time.Millisecond) {
			for len(adoptions) > 0 && adoptions[0].at <= now {
				adopt(t, adoptions[0].ring, now, config(adoptions[0].key, "k"))
				adoptions = adoptions[1:]
			}
			sequence++
			s := sign(t, a, now, bob, sequence, []byte("x"))
			wantError(t, fmt.Sprint("at ", now.Sub(start)), b.Verify(now, alice, wire.KindStatus, []byte("x"), s), nil)
		}
	})
}

// TestMessageIsAcceptedAfterItsKeyIsAdopted: a receiver that learns a configuration late refuses messages of its key, and
// accepts the same ones after it has adopted it.
func TestMessageIsAcceptedAfterItsKeyIsAdopted(t *testing.T) {
	aRing, bRing := newRing(t, start, config("k1", "k")), newRing(t, start, config("k1", "k"))
	a, b := New(alice, aRing), New(bob, bRing)
	adopt(t, aRing, start, config("k2", "k"))
	now := start.Add(switchDelay)
	s := sign(t, a, now, bob, 1, nil)
	wantError(t, "before", b.Verify(now, alice, wire.KindStatus, nil, s), ErrUnknownKey)
	adopt(t, bRing, now, config("k2", "k"))
	wantError(t, "after", b.Verify(now, alice, wire.KindStatus, nil, s), nil)
}

// TestFormerKeyExpires: a former key is accepted for FormerKeyTTL and then neither accepted nor used.
func TestFormerKeyExpires(t *testing.T) {
	former, ring := newRing(t, start, config("k1", "k")), newRing(t, start, config("k1", "k"))
	a, b := New(alice, former), New(bob, ring)
	adopt(t, ring, start, config("k2", "k"))
	last := start.Add(formerTTL - 1)
	wantError(t, "within the time", b.Verify(last, alice, wire.KindStatus, nil, sign(t, a, last, bob, 1, nil)), nil)
	wantError(t, "after the time", b.Verify(last+1, alice, wire.KindStatus, nil, sign(t, a, last+1, bob, 2, nil)), ErrUnknownKey)
}

// TestFormerKeysAreBounded: of more changes in quick succession than maxFormerKeys, the key that signs and the latest ones are accepted.
func TestFormerKeysAreBounded(t *testing.T) {
	signing, dropped, ring := newRing(t, start, config("k0")), newRing(t, start, config("k1")), newRing(t, start, config("k0"))
	a, c, b := New(alice, signing), New(alice, dropped), New(bob, ring)
	for i := range maxFormerKeys {
		adopt(t, ring, start, config(fmt.Sprint("k", i+1)))
	}
	wantError(t, "second before", b.Verify(start, alice, wire.KindStatus, nil, sign(t, c, start, bob, 1, nil)), nil)
	adopt(t, ring, start, config("last"))
	wantError(t, "second after", b.Verify(start, alice, wire.KindStatus, nil, sign(t, c, start, bob, 2, nil)), ErrUnknownKey)
	wantError(t, "the one that signs", b.Verify(start, alice, wire.KindStatus, nil, sign(t, a, start, bob, 3, nil)), nil)
	if len(ring.keys) != 1+maxFormerKeys {
		t.Errorf("%d keys", len(ring.keys))
	}
}

// TestFormerKeysThatHaveSignedAreBounded: after more changes than maxFormerKeys, of which each has signed, the oldest key is no longer
// accepted.
func TestFormerKeysThatHaveSignedAreBounded(t *testing.T) {
	former, ring := newRing(t, start, config("k0")), newRing(t, start, config("k0"))
	a, b := New(alice, former), New(bob, ring)
	now := start
	for i := range maxFormerKeys {
		now = now.Add(switchDelay)
		adopt(t, ring, now, config(fmt.Sprint("k", i+1)))
	}
	wantError(t, "before", b.Verify(now, alice, wire.KindStatus, nil, sign(t, a, now, bob, 1, nil)), nil)
	now = now.Add(switchDelay)
	adopt(t, ring, now, config("last"))
	wantError(t, "after", b.Verify(now, alice, wire.KindStatus, nil, sign(t, a, now, bob, 2, nil)), ErrUnknownKey)
	if len(ring.keys) != 1+maxFormerKeys {
		t.Errorf("%d keys", len(ring.keys))
	}
}

// skippingRing adopts the configurations of a series, each within a time after it was published, and skips those that it learns
// later than a following one.
type skippingRing struct {
	*Keyring
	adoptedAt []boottime.Instant // of each configuration
	present   int
}

func (r *skippingRing) adoptUntil(t *rapid.T, now boottime.Instant) {
	for i, at := range r.adoptedAt {
		if at <= now && i > r.present {
			r.present = i
			adopt(t, r.Keyring, now, config(fmt.Sprint("k", i), "k"))
		}
	}
}

// TestStormOfConfigurations: sender and receiver adopt or skip the configurations of a series, which follow each other at any
// distance, within half of SwitchDelay. All messages are accepted.
func TestStormOfConfigurations(t *testing.T) {
	const step = 20 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		rings := []*skippingRing{{Keyring: newRing(t, start, config("k0", "k"))}, {Keyring: newRing(t, start, config("k0", "k"))}}
		a, b := New(alice, rings[0].Keyring), New(bob, rings[1].Keyring)
		at := start
		longest := rapid.SampledFrom([]int{50, 500, 10_000}).Draw(t, "longest distance in ms")
		for _, r := range rings {
			r.adoptedAt = []boottime.Instant{start}
		}
		for range rapid.IntRange(1, 40).Draw(t, "configurations") {
			at = at.Add(time.Duration(rapid.IntRange(1, longest).Draw(t, "ms between")) * time.Millisecond)
			for _, r := range rings {
				lag := time.Duration(rapid.Int64Range(0, int64(switchDelay/2-step)).Draw(t, "lag"))
				r.adoptedAt = append(r.adoptedAt, at.Add(lag))
			}
		}
		end := at.Add(2 * switchDelay)
		sequence := uint64(0)
		for now := start; now < end; now = now.Add(step) {
			rings[0].adoptUntil(t, now)
			rings[1].adoptUntil(t, now)
			sequence++
			s := sign(t, a, now, bob, sequence, []byte("x"))
			wantError(t, fmt.Sprint("at ", now.Sub(start)), b.Verify(now, alice, wire.KindStatus, []byte("x"), s), nil)
		}
	})
}

// TestSameKeysDoNotChangeTheRing: configurations that differ only in other things leave the ring as it is.
func TestSameKeysDoNotChangeTheRing(t *testing.T) {
	ring := newRing(t, start, config("k1", "k2"))
	before := slices.Clone(ring.keys)
	c := config("k2", "k1")
	c.Version = 9
	c.Routes = []routing.Route{{Name: "r", Host: "h"}}
	adopt(t, ring, start.Add(time.Second), c)
	if len(ring.keys) != 1 || ring.keys[0].adopted != before[0].adopted || ring.keys[0].replaced != 0 {
		t.Errorf("ring %+v, before %+v", ring.keys, before)
	}
}

// TestReturnToFormerConfiguration: a former key that is adopted again does not expire.
func TestReturnToFormerConfiguration(t *testing.T) {
	ring := newRing(t, start, config("k1"))
	adopt(t, ring, start, config("k2"))
	adopt(t, ring, start, config("k1"))
	a, b := New(alice, newRing(t, start, config("k1"))), New(bob, ring)
	late := start.Add(10 * formerTTL)
	wantError(t, "verify", b.Verify(late, alice, wire.KindStatus, nil, sign(t, a, late, bob, 1, nil)), nil)
	if len(ring.keys) != 2 {
		t.Errorf("%d keys, want 2", len(ring.keys))
	}
}

// withoutKeys returns configurations without API keys.
func withoutKeys() map[string]*routing.Config {
	return map[string]*routing.Config{
		"no workspace": {},
		"no key":       {Workspaces: []routing.Workspace{{ID: "w"}}},
		"empty key":    config("", ""),
	}
}

// TestConfigurationWithoutAPIKeysHasNoKey: nothing is signed or accepted without API keys, nor with an empty one.
func TestConfigurationWithoutAPIKeysHasNoKey(t *testing.T) {
	for name, c := range withoutKeys() {
		b := New(bob, newRing(t, start, c))
		_, err := b.Sign(start, alice, wire.KindStatus, 1, nil)
		wantError(t, name+": sign", err, ErrNoKey)
		s := sign(t, New(alice, newRing(t, start, config("k1", "k2"))), start, bob, 1, nil)
		wantError(t, name+": verify", b.Verify(start, alice, wire.KindStatus, nil, s), ErrNoKey)
		wantError(t, name+": unsigned", b.Verify(start, alice, wire.KindStatus, nil, wire.Signature{}), ErrNoKey)
	}
}

// TestKeysStayWithoutNextOnes guards against a configuration that takes all API keys away and leaves gateways without a key, so that they
// accept anyone's: the former key goes on, and no other one is accepted.
func TestKeysStayWithoutNextOnes(t *testing.T) {
	late := start.Add(10 * formerTTL)
	for name, c := range withoutKeys() {
		ring := newRing(t, start, config("k1", "k2"))
		adopt(t, ring, start, c)
		a, b := New(alice, newRing(t, start, config("k1", "k2"))), New(bob, ring)
		wantError(t, name+": verify", b.Verify(late, alice, wire.KindStatus, nil, sign(t, a, late, bob, 1, nil)), nil)
		own, err := b.Sign(late, alice, wire.KindStatus, 1, nil)
		wantError(t, name+": sign", err, nil)
		wantError(t, name+": verify own", a.Verify(late, bob, wire.KindStatus, nil, own), nil)
		s := sign(t, New(alice, newRing(t, start, config("k1"))), late, bob, 1, nil)
		wantError(t, name+": other key", b.Verify(late, alice, wire.KindStatus, nil, s), ErrUnknownKey)
		wantError(t, name+": unsigned", b.Verify(late, alice, wire.KindStatus, nil, wire.Signature{}), ErrUnknownKey)
	}
}

// benchmarkSizes are those of the messages in benchmarks, in bytes: a Status of a gateway and of an aggregator, and one
// near the largest datagram.
var benchmarkSizes = []int{120, 204, 1000}

func BenchmarkSign(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			a := New(alice, newRing(b, start, config("k1", "k2")))
			body := make([]byte, size)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				sign(b, a, start, bob, uint64(i+1), body)
			}
		})
	}
}

func BenchmarkVerify(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ring := newRing(b, start, config("k1", "k2"))
			from, to := New(alice, ring), New(bob, ring)
			body := make([]byte, size)
			s := sign(b, from, start, bob, 1, body)
			b.ReportAllocs()
			for b.Loop() {
				to.replays = newReplayFilter()
				if err := to.Verify(start, alice, wire.KindStatus, body, s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRefuse measures the refusal of a forged message of 1,000 bytes.
func BenchmarkRefuse(b *testing.B) {
	ring := newRing(b, start, config("k1", "k2"))
	to := New(bob, ring)
	body := make([]byte, 1000)
	s := wire.Signature{Sequence: 1, KeyID: ring.keys[0].id, MAC: make([]byte, macBytes)}
	b.ReportAllocs()
	for b.Loop() {
		if err := to.Verify(start, alice, wire.KindStatus, body, s); !errors.Is(err, ErrBadMAC) {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdopt measures the derivation of a key from 10,000 API keys.
func BenchmarkAdopt(b *testing.B) {
	var apiKeys []string
	for i := range 10_000 {
		apiKeys = append(apiKeys, fmt.Sprintf("key-%032d", i))
	}
	c := config(apiKeys...)
	b.ReportAllocs()
	for b.Loop() {
		newRing(b, start, c)
	}
}
