package control_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// The load reports of endpoints in the deployments with a fourth figure: at any time slowShare of them take 2.5 times as long as usual,
// and each time of speedPeriod others do.
const (
	slowShare   = 0.15
	speedPeriod = 600 * time.Millisecond
	// promptReadTime is the prefill time of a prompt of 5,000 tokens.
	promptReadTime = 60 * time.Millisecond
)

// varySpeeds has all endpoints report four figures until a time, and gateways count prompts for readTime.
func varySpeeds(w *controltest.World, until boottime.Instant, readTime time.Duration) {
	var endpoints []*controltest.Endpoint
	for _, e := range w.Endpoints {
		e.ReportsLoad, e.ReadTime = true, readTime
		endpoints = append(endpoints, e)
	}
	slices.SortFunc(endpoints, func(a, b *controltest.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	var vary func()
	vary = func() {
		for _, e := range endpoints {
			e.Speed = 100
		}
		for _, i := range w.Rand().Perm(len(endpoints))[:int(slowShare*float64(len(endpoints)))] {
			endpoints[i].Speed = 250
		}
		if w.Now().Before(until) {
			w.After(speedPeriod, vary)
		}
	}
	vary()
}

// sentPerSecond returns what a gateway of a fleet sends per second on average, with the headers of UDP and IP, and the largest message.
func sentPerSecond(w *controltest.World, span time.Duration) (mean controlTraffic, largest int) {
	const udpIPHeaderBytes = 28
	w.OnSend = func(_ *controltest.Node, frame []byte) { largest = max(largest, len(frame)) }
	bytes, packets, _ := counts(w)
	w.Run(span)
	bytesAfter, packetsAfter, _ := counts(w)
	seconds := len(w.Nodes) * int(span/time.Second)
	packets = packetsAfter - packets
	return controlTraffic{(bytesAfter - bytes + udpIPHeaderBytes*packets) / seconds, packets / seconds}, largest
}

// fleetOf returns a fleet over five data centres after convergence.
func fleetOf(size, engines int) *controltest.World {
	const dataCentres = 5
	var perDC []int
	for dc := range dataCentres {
		perDC = append(perDC, (size+dc)/dataCentres)
	}
	w := controltest.New(seed, perDC...)
	w.Write(publishedtest.Config(config(1, "key")))
	for i := range engines {
		w.Publish(engine(i, fleet.DataCentreID(rune('a'+i%dataCentres))))
	}
	w.Run(2 * convergenceTime)
	return w
}

// TestControlTrafficWithSpeeds: the bounds of TestControlTraffic and of TestControlTrafficOfHugeFleet hold where 15% of the endpoints
// are slow, others each 600 ms, also if all prompts are counted while they are prefilled. All messages are datagrams.
func TestControlTrafficWithSpeeds(t *testing.T) {
	const span, maxDatagram = 10 * time.Second, 1100
	for _, c := range []struct {
		name string
		new  func() *controltest.World
		rate float64
	}{
		{"83 gateways", func() *controltest.World { return largeFleet(t) }, 1000},
		{"295 gateways", func() *controltest.World {
			w := hugeFleet(t)
			w.Run(2 * convergenceTime)
			return w
		}, hugeFleetRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, readTime := range []time.Duration{0, promptReadTime} {
				w := c.new()
				varySpeeds(w, w.Now().Add(span), readTime)
				sendLoad(w, c.rate, w.Now().Add(span), chatRequests(w, 600, 0), ignore)
				mean, largest := sentPerSecond(w, span)
				t.Logf("prompts of %v, per second: %+v, largest message %d bytes", readTime, mean, largest)
				if mean.bytes > maxControlBytes || mean.packets > maxControlPackets {
					t.Errorf("prompts of %v: a gateway sends %d bytes and %d packets per second", readTime, mean.bytes, mean.packets)
				}
				if largest > maxDatagram {
					t.Errorf("prompts of %v: a message of %d bytes", readTime, largest)
				}
			}
		})
	}
}

// BenchmarkBacklog measures the mean control traffic of a gateway with three figures and with four. The fleets have the ratios of
// engines and requests to gateways of BenchmarkFleet. Its results are the figures of docs/design/endpoint-speed.md.
func BenchmarkBacklog(b *testing.B) {
	const span, perGateway = 10 * time.Second, 2300.0 / 410
	for _, size := range []int{9, 83, 295, 411} {
		for _, load := range []string{"three figures", "speeds", "speeds and prompts"} {
			b.Run(fmt.Sprintf("%d/%s", size, load), func(b *testing.B) {
				for b.Loop() {
					w := fleetOf(size, size*600/410)
					switch load {
					case "speeds":
						varySpeeds(w, w.Now().Add(span), 0)
					case "speeds and prompts":
						varySpeeds(w, w.Now().Add(span), promptReadTime)
					}
					sendLoad(w, perGateway*float64(size), w.Now().Add(span), chatRequests(w, 4*size, 0), ignore)
					began := time.Now()
					mean, largest := sentPerSecond(w, span)
					b.ReportMetric(float64(mean.bytes), "B/s")
					b.ReportMetric(float64(mean.packets), "packets/s")
					b.ReportMetric(float64(largest), "largest-B")
					b.ReportMetric(time.Since(began).Seconds()*1e6/float64(size)/span.Seconds(), "cpu-µs/s")
				}
			})
		}
	}
}
