package control_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// BenchmarkFleet simulates ten seconds of fleets of several sizes, with the ratios of engines and
// requests to gateways of the capacity target (410 gateways, 600 engines, 2300 requests per second),
// and reports the cost of one gateway per second. Its results are the figures of docs/CAPACITY.md.
func BenchmarkFleet(b *testing.B) {
	const span, perGateway = 10 * time.Second, 2300.0 / 410
	for _, size := range []int{9, 27, 83, 164, 295, 410} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				benchFleet(b, size, span, perGateway)
			}
		})
	}
}

func benchFleet(b *testing.B, size int, span time.Duration, perGateway float64) {
	const udpIPHeaderBytes, dataCentres = 28, 5
	var perDC []int
	for dc := range dataCentres {
		perDC = append(perDC, (size+dc)/dataCentres)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := controltest.New(seed, perDC...)
	w.Write(publishedtest.Config(config(1, "key")))
	for i := range size * 600 / 410 {
		w.Publish(engine(i, fleet.DataCentreID(rune('a'+i%dataCentres))))
	}
	w.Run(2 * convergenceTime)
	sendLoad(w, perGateway*float64(size), w.Now().Add(span), chatRequests(w, 4*size, 0), ignore)
	bytes, packets, reads := counts(w)
	began := time.Now()
	w.Run(span)
	spent := time.Since(began)
	bytesAfter, packetsAfter, readsAfter := counts(w)
	runtime.GC()
	runtime.ReadMemStats(&after)
	gatewaySeconds := float64(size) * span.Seconds()
	b.ReportMetric(float64(bytesAfter-bytes+udpIPHeaderBytes*(packetsAfter-packets))/gatewaySeconds, "B/s")
	b.ReportMetric(float64(packetsAfter-packets)/gatewaySeconds, "packets/s")
	b.ReportMetric(float64(readsAfter-reads)/span.Seconds(), "fleet-store-calls/s")
	b.ReportMetric(spent.Seconds()*1e6/gatewaySeconds, "cpu-µs/s")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heap-B")
	runtime.KeepAlive(w)
}

// counts returns the sent bytes, sent packets and store reads of all gateways.
func counts(w *controltest.World) (bytes, packets, reads int) {
	for _, n := range w.Nodes {
		bytes += n.SentBytes
		packets += n.Sent
		reads += n.Reads
	}
	return bytes, packets, reads
}
