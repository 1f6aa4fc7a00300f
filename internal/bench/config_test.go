package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/coretest"
)

// packetLoss is the fraction of messages lost in the runs with message loss.
const packetLoss = 0.05

func BenchmarkConfigInForce(b *testing.B) {
	for _, routers := range []int{9, 27, 81, 162} {
		for _, loss := range []float64{0, packetLoss} {
			b.Run(fmt.Sprintf("routers=%d/loss=%v", routers, loss), func(b *testing.B) {
				for b.Loop() {
					worst, mean := adoptionTimes(routers, loss, 5)
					b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
					b.ReportMetric(float64(mean.Milliseconds()), "mean-ms")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// adoptionTimes publishes changes of the configuration one after the other, and returns the longest
// and the mean time from a publication until all routers have adopted it.
func adoptionTimes(routers int, loss float64, changes int) (worst, mean time.Duration) {
	w := coretest.New(seed)
	w.Net.Loss = loss
	w.Build(scaledShape(routers))
	w.Run(20 * time.Second)
	for i := range changes {
		w.Platform.SetDataCentre("dc2", i%2 == 0)
		published := w.Now()
		w.RunUntil(time.Minute, func() bool { return allAdopted(w) })
		took := w.Now().Sub(published)
		worst = max(worst, took)
		mean += took / time.Duration(changes)
		w.Run(3 * time.Second)
	}
	return worst, mean
}

// allAdopted reports whether all routers have adopted the published configuration.
func allAdopted(w *coretest.World) bool {
	for _, n := range w.Nodes {
		if n.Core.ConfigRevision() != w.Platform.ConfigRevision() {
			return false
		}
	}
	return true
}

func TestConfigIsInForceInTime(t *testing.T) {
	for _, loss := range []float64{0, packetLoss} {
		worst, mean := adoptionTimes(27, loss, 5)
		t.Logf("loss %v: longest %v, mean %v", loss, worst, mean)
		if worst > maxConfigDelay {
			t.Errorf("loss %v: adoption of a change by all routers took %v", loss, worst)
		}
	}
}
