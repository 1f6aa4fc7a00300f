package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/coretest"
)

// TestRandomFaultsNeverOverloadEndpoints overloads a data centre while its routers are
// partitioned from each other, paused, killed and restarted. No endpoint may exceed its
// capacity.
func TestRandomFaultsNeverOverloadEndpoints(t *testing.T) {
	shape := oneDataCentre
	shape.Engines, shape.Capacity, shape.ServiceReplicas = 2, 8, 0
	rapid.Check(t, func(t *rapid.T) {
		shape.Instances = rapid.IntRange(3, 5).Draw(t, "routers")
		w := coretest.New(rapid.Uint64().Draw(t, "seed"))
		w.Net.Loss, w.Net.Jitter, w.Net.Duplicate = 0.02, 50*time.Millisecond, 0.02
		w.Build(shape)
		w.Run(5 * time.Second)
		l := &coretest.Load{Rate: steady(12), Chats: 300}
		w.StartLoad(l, time.Minute)
		w.Run(4 * time.Second)
		nodeIndex := rapid.IntRange(0, len(w.Nodes)-1)
		for range rapid.IntRange(2, 6).Draw(t, "faults") {
			a, b := w.Nodes[nodeIndex.Draw(t, "router")], w.Nodes[nodeIndex.Draw(t, "other")]
			injectFault(w, rapid.IntRange(0, 5).Draw(t, "fault"), a, b)
			w.Run(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			checkWithinCapacity(t, w)
		}
	})
}

func injectFault(w *coretest.World, kind int, a, b *coretest.Node) {
	switch kind {
	case 0, 1:
		w.Partition(string(a.ID), string(b.ID))
	case 2:
		w.HealPartition(string(a.ID), string(b.ID))
	case 3:
		a.Pause()
	case 4:
		a.Resume()
	default:
		a.Kill()
		w.Run(100 * time.Millisecond)
		a.Start()
	}
}

func checkWithinCapacity(t *rapid.T, w *coretest.World) {
	for _, e := range w.Platform.Endpoints() {
		if x := w.Endpoints[e.ID]; x.Refused > 0 || x.Running > x.CurrentCapacity() {
			t.Fatalf("%s runs %d, capacity %d, refused %d", e.ID, x.Running, x.CurrentCapacity(), x.Refused)
		}
	}
}
