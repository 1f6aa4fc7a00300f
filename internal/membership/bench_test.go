package membership

import (
	"testing"
	"time"
)

func BenchmarkDue(b *testing.B) {
	w := newTestNetwork(1, 82)
	w.run(5 * time.Second)
	s, now := w.ps[0].st, w.now
	b.ReportAllocs()
	for b.Loop() {
		s.TakeDueHeartbeats(now)
	}
}

func BenchmarkHeard(b *testing.B) {
	w := newTestNetwork(1, 82)
	s, now := w.ps[0].st, w.now
	b.ReportAllocs()
	for b.Loop() {
		s.OnMessage(now, "r001", 1)
	}
}

func BenchmarkUsable(b *testing.B) {
	w := newTestNetwork(1, 82)
	s := w.ps[0].st
	b.ReportAllocs()
	for b.Loop() {
		s.Usable("r001")
	}
}
