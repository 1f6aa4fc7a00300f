package redeem

import (
	"encoding/hex"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// MaxKeyBytes bounds a caller's key. A longer one is invalid.
const MaxKeyBytes = 256

// Slot returns the slot of a caller's key among slots.
func Slot(ws fleet.WorkspaceID, key string, slots int) int {
	return int(fleet.Hash(string(ws)+"\x00"+key) % uint64(slots))
}

// slotState is what a Server knows of a key slot besides the registers in it.
type slotState struct {
	moved bool             // handed over, or about to be: not served here any more
	heir  fleet.InstanceID // of a moved slot

	// Records of the slot that a stopped home handed over were complete from
	// since until at least opened, the earliest time at which it can have stopped.
	covered bool
	since   time.Time
	opened  time.Time
}

func (s *Server) redeemKey(now time.Time, from fleet.InstanceID, m *wire.Redeem, home OwnedSince) (wire.RedeemReply, bool) {
	if len(m.Key) > MaxKeyBytes {
		return result(m, wire.RedeemInvalid), true
	}
	slot := Slot(m.Workspace, m.Key, s.opt.KeySlots)
	st := &s.slots[slot]
	if st.moved {
		reply := result(m, wire.RedeemNotOwner)
		reply.Owner = st.heir
		return reply, true
	}
	since, ok := home(slot)
	if !ok {
		return result(m, wire.RedeemNotOwner), !s.stagingSlot(slot)
	}
	id := keyID{m.Workspace, m.Key}
	r := s.keys[id]
	if r == nil {
		if !s.complete(now, m.Key, st.completeSince(since, s.opt.MaxClockSkew)) {
			return result(m, wire.RedeemHistoryIncomplete), !s.stagingSlot(slot)
		}
		if len(s.keys) >= s.opt.MaxKeys || s.perWorkspace[m.Workspace] >= s.opt.MaxPerWorkspace {
			reply := result(m, wire.RedeemFull)
			reply.RetryAfterMS = uint32(max(s.nextForget.Sub(now), minIssueRetry) / time.Millisecond)
			return reply, true
		}
		r = &register{workspace: m.Workspace}
		s.keys[id] = r
		s.perWorkspace[m.Workspace]++
	}
	reply := r.redeem(now, from, m, &s.opt)
	if reply.Result == wire.RedeemGranted {
		r.extend(r.granted.Add(s.keyRetention()))
	}
	return reply, true
}

// keyRetention covers the life of a key and a run that began at its end.
func (s *Server) keyRetention() time.Duration { return s.opt.KeyLifetime + s.opt.RunValidity }

// completeSince returns since when this home, home since the given time, has seen
// every use of the slot's keys. Records that were handed over count when this
// router became home so soon after the former home stopped that no other router can
// have served a key in between: such a router serves only keys that were made
// KeySkew after it became home.
func (st *slotState) completeSince(home time.Time, skew time.Duration) time.Time {
	gap := home.Sub(st.opened)
	if st.covered && gap >= 0 && gap <= skew/2 && st.since.Before(home) {
		return st.since
	}
	return home
}

// complete tells whether a key that has no register here was never used.
func (s *Server) complete(now time.Time, key string, since time.Time) bool {
	made, dated := keyTime(key)
	if dated && made.Before(now.Add(-s.opt.KeyLifetime)) {
		return false
	}
	if now.Sub(since) >= s.opt.KeyLifetime {
		return true
	}
	if !dated || made.After(now.Add(s.opt.MaxClockSkew/2)) {
		return false
	}
	return !made.Before(now.Add(s.opt.MaxClockSkew - now.Sub(since)))
}

// keyTime returns the wall-clock time in a UUIDv7.
func keyTime(key string) (time.Time, bool) {
	const textLen = 36
	if len(key) != textLen || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	var b [16]byte
	digits := key[0:8] + key[9:13] + key[14:18] + key[19:23] + key[24:]
	if _, err := hex.Decode(b[:], []byte(digits)); err != nil {
		return time.Time{}, false
	}
	if b[6]>>4 != 7 || b[8]>>6 != 0b10 {
		return time.Time{}, false
	}
	var ms int64
	for _, c := range b[:6] {
		ms = ms<<8 | int64(c)
	}
	return time.UnixMilli(ms), true
}

func (s *Server) settleKey(now time.Time, from fleet.InstanceID, m *wire.Settle, ack *wire.SettleAck) bool {
	slot := Slot(m.Workspace, m.Key, s.opt.KeySlots)
	if st := &s.slots[slot]; st.moved {
		ack.Owner = st.heir
		return true
	}
	r := s.keys[keyID{m.Workspace, m.Key}]
	if r == nil {
		return false
	}
	s.settle(now, r, from, m, s.keyRetention())
	return true
}
