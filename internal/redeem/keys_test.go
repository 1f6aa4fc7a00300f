package redeem

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func uuidv7(at time.Time) string {
	made := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", made>>16, made&0xffff)
}

// TestKeyNeedsCompleteRecords checks for which keys without a record the owner of their slot grants
// the execution right. The lifetime of a key is 40 s and the maximum clock skew is 10 s.
func TestKeyNeedsCompleteRecords(t *testing.T) {
	ago := func(d time.Duration) time.Time { return t0.Add(-d * time.Second) }
	complete := func(completeFrom, completeUntil time.Duration) *slotState {
		return &slotState{complete: true, completeFrom: ago(completeFrom), completeUntil: ago(completeUntil)}
	}
	for _, tc := range []struct {
		name  string
		key   string
		since time.Duration // seconds for which this router has owned the slot
		slot  *slotState
		want  bool
	}{
		{"undated key, long ownership", "k", 40, nil, true},
		{"key too long", strings.Repeat("k", MaxKeyBytes+1), 1000, nil, false},
		{"undated key, short ownership", "k", 39, nil, false},
		{"dated after the start of ownership", uuidv7(ago(5)), 15, nil, true},
		{"dated within the clock skew", uuidv7(ago(6)), 15, nil, false},
		{"dated before the start of ownership", uuidv7(ago(20)), 15, nil, false},
		{"dated in the future", uuidv7(ago(-6)), 5, nil, false},
		{"dated slightly in the future", uuidv7(ago(-4)), 6, nil, true},
		{"older than the lifetime of a key", uuidv7(ago(41)), 1000, nil, false},
		{"version 4", "00000000-0000-4000-8000-000000000000", 39, nil, false},
		{"handed over", "k", 3, complete(50, 8), true},
		{"handed over with too short a history", "k", 3, complete(39, 8), false},
		{"handed over long before the ownership", "k", 3, complete(50, 9), false},
		{"handed over after the start of ownership", "k", 3, complete(50, 2), false},
	} {
		s := newTestServer("n", nil)
		if tc.slot != nil {
			s.slots[KeySlot(testWorkspace, tc.key, len(s.slots))] = *tc.slot
		}
		ownedSince := func(int) (time.Time, bool) { return ago(tc.since), true }
		got, _ := s.OnRedeem(t0, "from", wire.Redeem{Key: tc.key, Workspace: testWorkspace, Request: "r"}, ownedSince)
		if (got.Result == wire.RedeemGranted) != tc.want {
			t.Errorf("%s: result %d, want a grant: %v", tc.name, got.Result, tc.want)
		}
	}
}
