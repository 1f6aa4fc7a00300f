package callerconn

import (
	"testing"
	"time"
)

// TestDecide checks the decision for each phase and reason, just before and just after its time.
func TestDecide(t *testing.T) {
	const tick = time.Millisecond
	for _, tc := range []struct {
		name  string
		state State
		why   Reason
		limit time.Duration
		age   time.Duration // of the phase
		want  Verdict
	}{
		{"idle until the published limit", State{Phase: Waiting}, Idle, 5 * time.Second, 5*time.Second + Margin, KeepPromised},
		{"idle beyond the published limit", State{Phase: Waiting}, Idle, 5 * time.Second, 5*time.Second + Margin + tick, Close},
		{"the limit became shorter", State{Phase: Waiting, Announced: 9 * time.Second}, Idle, 5 * time.Second, 9*time.Second + Margin, KeepPromised},
		{"the limit became shorter, and the announced time is over", State{Phase: Waiting, Announced: 9 * time.Second}, Idle, 5 * time.Second, 9*time.Second + Margin + tick, Close},
		{"the limit became longer", State{Phase: Waiting, Announced: 5 * time.Second}, Idle, 9 * time.Second, 9*time.Second + Margin, KeepPromised},
		{"the limit was removed", State{Phase: Waiting, Announced: 5 * time.Second}, Idle, 0, 5*time.Second + Margin + tick, Close},
		{"no limit at all", State{Phase: Waiting}, Idle, 0, time.Hour, KeepPromised},
		{"stop within the announced time", State{Phase: Waiting, Announced: 5 * time.Second}, PlannedStop, 60 * time.Second, 5*time.Second + Margin, KeepPromised},
		{"stop after the announced time", State{Phase: Waiting, Announced: 5 * time.Second}, PlannedStop, 60 * time.Second, 5*time.Second + Margin + tick, Close},
		{"stop, nothing announced", State{Phase: Waiting}, PlannedStop, 5 * time.Second, 5*time.Second + Margin, KeepPromised},
		{"stop, nothing announced, limit over", State{Phase: Waiting}, PlannedStop, 5 * time.Second, 5*time.Second + Margin + tick, Close},
		{"stop, no limit at all", State{Phase: Waiting}, PlannedStop, 0, Margin + tick, Close},
		{"end of the grace period within the announced time", State{Phase: Waiting, Announced: time.Hour}, GraceEnd, time.Hour, 0, Close},

		{"a new connection has the server's time for a head", State{Phase: Fresh}, Idle, time.Second, time.Hour, KeepPromised},
		{"a new connection at a stop", State{Phase: Fresh}, PlannedStop, time.Second, Margin, KeepPromised},
		{"a new connection some time after a stop", State{Phase: Fresh}, PlannedStop, time.Second, Margin + tick, Close},
		{"a new connection at the end of the grace period", State{Phase: Fresh}, GraceEnd, time.Second, 0, Close},

		{"some bytes of a head, idle", State{Phase: Started}, Idle, time.Second, maxStartOfHead, KeepRequest},
		{"some bytes of a head for long, idle", State{Phase: Started}, Idle, time.Second, maxStartOfHead + tick, Close},
		{"some bytes of a head, stop", State{Phase: Started}, PlannedStop, time.Second, maxStartOfHead, KeepRequest},
		{"some bytes of a head, end of the grace period", State{Phase: Started}, GraceEnd, time.Second, maxStartOfHead, KeepRequest},

		{"no connections left, part of a request", State{Phase: InFlight, Incomplete: true}, Connections, 0, 0, Close},
		{"no connections left, a new connection", State{Phase: Fresh, Incomplete: true}, Connections, 0, 0, Close},
		{"no connections left, a complete request", State{Phase: InFlight}, Connections, 0, time.Hour, KeepRequest},
		{"no connections left within the announced time", State{Phase: Waiting, Announced: 5 * time.Second}, Connections, 0, 5*time.Second + Margin, KeepPromised},
		{"no connections left after the announced time", State{Phase: Waiting, Announced: 5 * time.Second}, Connections, 0, 5*time.Second + Margin + tick, Close},
		{"no memory left, part of a request", State{Phase: InFlight, Incomplete: true}, Memory, 0, 0, Close},
		{"no memory left, a complete request", State{Phase: InFlight}, Memory, 0, time.Hour, KeepRequest},

		{"a request, idle", State{Phase: InFlight}, Idle, time.Second, time.Hour, KeepRequest},
		{"a request, stop", State{Phase: InFlight}, PlannedStop, time.Second, time.Hour, KeepRequest},
		{"a request, end of the grace period", State{Phase: InFlight}, GraceEnd, time.Second, time.Hour, KeepRequest},
	} {
		began := time.Unix(1000, 0)
		tc.state.Since = began
		if got := Decide(tc.state, tc.why, tc.limit, began.Add(tc.age)); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
