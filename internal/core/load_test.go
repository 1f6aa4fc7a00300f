package core_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/coretest"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestSteadyLoadIsServed checks that a fleet without faults answers all requests of a load below its
// capacity.
func TestSteadyLoadIsServed(t *testing.T) {
	w := coretest.New(1)
	w.Measures.LoadBound = 1.5
	w.Measures.MinMean = 2
	w.Build(coretest.Coulee)
	w.Run(10 * time.Second)
	for _, n := range w.Nodes {
		if !n.Ready {
			t.Fatalf("%s is not ready", n.ID)
		}
	}
	l := &coretest.Load{Rate: steady(20), Chats: 300}
	w.StartLoad(l, time.Minute)
	w.Run(80 * time.Second)
	t.Logf("%+v", w.Measures)
	t.Logf("sent %d answered %d not run %d unknown %d %v", l.Sent, l.Answered, l.NotRun, l.Unknown, l.Reasons)
	for _, n := range w.Nodes {
		t.Logf("%s %+v bytes/s %d", n.ID, n.Core.Stats(), n.Sent.Bytes/90)
	}
	if l.Answered != l.Sent {
		t.Errorf("answered %d of %d", l.Answered, l.Sent)
	}
}
