package redeem

import (
	"encoding/hex"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// MaxKeyBytes is the maximum length of a caller's key. Longer keys are rejected as invalid.
const MaxKeyBytes = 256

// KeySlot returns the hash slot of a caller's key, where slots is the number of slots.
func KeySlot(ws fleet.WorkspaceID, key string, slots int) int {
	return int(fleet.Hash(string(ws)+"\x00"+key) % uint64(slots))
}

// slotState is the handover state of a key slot.
type slotState struct {
	moved     bool             // handed over or frozen for a handover; its records are no longer used here
	successor fleet.InstanceID // of a moved slot

	// If complete is set, the records handed over by the former owner contain every use of the
	// slot's keys from completeFrom to at least completeUntil, which is the earliest time at which
	// the former owner can have stopped using them.
	complete      bool
	completeFrom  time.Time
	completeUntil time.Time
}

func (s *Server) redeemKey(now time.Time, from fleet.InstanceID, m *wire.Redeem, ownedSince OwnedSince) (wire.RedeemReply, bool) {
	if len(m.Key) > MaxKeyBytes {
		return result(m, wire.RedeemInvalid), true
	}
	slot := KeySlot(m.Workspace, m.Key, s.opt.KeySlots)
	st := &s.slots[slot]
	if st.moved {
		reply := result(m, wire.RedeemNotOwner)
		reply.Owner = st.successor
		return reply, true
	}
	since, ok := ownedSince(slot)
	if !ok {
		return result(m, wire.RedeemNotOwner), !s.receivingSlot(slot)
	}
	id := keyID{m.Workspace, m.Key}
	r := s.keys[id]
	if r == nil {
		if !s.neverUsed(now, m.Key, st.completeSince(since, s.opt.MaxClockSkew)) {
			return result(m, wire.RedeemHistoryIncomplete), !s.receivingSlot(slot)
		}
		if len(s.keys) >= s.opt.MaxKeys || s.perWorkspace[m.Workspace] >= s.opt.MaxRecordsPerWorkspace {
			reply := result(m, wire.RedeemFull)
			reply.RetryAfterMS = uint32(max(s.nextExpiry.Sub(now), minRetryAfter) / time.Millisecond)
			return reply, true
		}
		r = &record{workspace: m.Workspace}
		s.keys[id] = r
		s.perWorkspace[m.Workspace]++
	}
	reply := r.redeem(now, from, m, &s.opt)
	if reply.Result == wire.RedeemGranted {
		r.keepUntil(r.grantedAt.Add(s.keyRetention()))
	}
	return reply, true
}

// keyRetention covers the lifetime of a key and a run that starts at its end.
func (s *Server) keyRetention() time.Duration { return s.opt.KeyLifetime + s.opt.RunValidity }

// completeSince returns the time since which the records contain every use of the slot's keys, for
// an owner since ownedSince. Records that were handed over count if the ownership followed so soon
// after the stop of the former owner that no other router can have accepted a key in between: a new
// owner without records accepts only keys that were created MaxClockSkew after it became the owner.
func (st *slotState) completeSince(ownedSince time.Time, skew time.Duration) time.Time {
	gap := ownedSince.Sub(st.completeUntil)
	if st.complete && gap >= 0 && gap <= skew/2 && st.completeFrom.Before(ownedSince) {
		return st.completeFrom
	}
	return ownedSince
}

// neverUsed reports whether a key without a record is certain to be unused, for records that are
// complete since the given time.
func (s *Server) neverUsed(now time.Time, key string, since time.Time) bool {
	made, dated := uuidv7Time(key)
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

// uuidv7Time returns the wall-clock time of a UUIDv7. It returns false for other keys.
func uuidv7Time(key string) (time.Time, bool) {
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
	slot := KeySlot(m.Workspace, m.Key, s.opt.KeySlots)
	if st := &s.slots[slot]; st.moved {
		ack.Owner = st.successor
		return true
	}
	r := s.keys[keyID{m.Workspace, m.Key}]
	if r == nil {
		return false
	}
	s.settle(now, r, from, m, s.keyRetention())
	return true
}
