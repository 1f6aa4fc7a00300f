package membership

import (
	"testing"
	"time"
)

func BenchmarkDue(b *testing.B) {
	net := newTestNetwork(1, 82)
	net.run(5 * time.Second)
	s, now := net.processes[0].st, net.now
	b.ReportAllocs()
	for b.Loop() {
		s.TakeDueHeartbeats(now)
	}
}

func BenchmarkHeard(b *testing.B) {
	net := newTestNetwork(1, 82)
	s, now := net.processes[0].st, net.now
	b.ReportAllocs()
	for b.Loop() {
		s.OnMessage(now, "r001", 1)
	}
}

func BenchmarkUsable(b *testing.B) {
	net := newTestNetwork(1, 82)
	s := net.processes[0].st
	b.ReportAllocs()
	for b.Loop() {
		s.Usable("r001")
	}
}
