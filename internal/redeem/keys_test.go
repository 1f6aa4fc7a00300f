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

// TestKeyNeedsCompleteRecords checks which keys a home serves that it has no record
// of. The life of a key is 40 s, the clocks differ by 10 s at most.
func TestKeyNeedsCompleteRecords(t *testing.T) {
	ago := func(d time.Duration) time.Time { return t0.Add(-d * time.Second) }
	covered := func(since, opened time.Duration) *slotState {
		return &slotState{covered: true, since: ago(since), opened: ago(opened)}
	}
	for _, tc := range []struct {
		name  string
		key   string
		since time.Duration // seconds that this router has been home
		slot  *slotState
		want  bool
	}{
		{"plain key, old home", "k", 40, nil, true},
		{"key too long", strings.Repeat("k", MaxKeyBytes+1), 1000, nil, false},
		{"plain key, young home", "k", 39, nil, false},
		{"dated after the home", uuidv7(ago(5)), 15, nil, true},
		{"dated within the skew", uuidv7(ago(6)), 15, nil, false},
		{"dated before the home", uuidv7(ago(20)), 15, nil, false},
		{"dated in the future", uuidv7(ago(-6)), 5, nil, false},
		{"dated a little ahead", uuidv7(ago(-4)), 6, nil, true},
		{"dated before a key's life", uuidv7(ago(41)), 1000, nil, false},
		{"version 4", "00000000-0000-4000-8000-000000000000", 39, nil, false},
		{"handed over", "k", 3, covered(50, 8), true},
		{"handed over by a young home", "k", 3, covered(39, 8), false},
		{"handed over long before", "k", 3, covered(50, 9), false},
		{"handed over after", "k", 3, covered(50, 2), false},
	} {
		s := newTestServer("n", nil)
		if tc.slot != nil {
			s.slots[Slot(pumpWS, tc.key, len(s.slots))] = *tc.slot
		}
		home := func(int) (time.Time, bool) { return ago(tc.since), true }
		got, _ := s.OnRedeem(t0, "from", wire.Redeem{Key: tc.key, Workspace: pumpWS, Request: "r"}, home)
		if (got.Result == wire.RedeemGranted) != tc.want {
			t.Errorf("%s: result %d, want to run: %v", tc.name, got.Result, tc.want)
		}
	}
}
