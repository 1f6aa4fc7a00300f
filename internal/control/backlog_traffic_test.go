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

// fleetTraffic is what gateways send per second, with the headers of UDP and IP.
type fleetTraffic struct {
	mean, median, busiest controlTraffic // the median is that of an ordinary gateway, the busiest one is an aggregator
	largest               int            // size of the largest message
}

// measureTraffic returns what the gateways of a fleet send in a time.
func measureTraffic(w *controltest.World, span time.Duration) (f fleetTraffic) {
	const udpIPHeaderBytes = 28
	sent := map[*controltest.Node]controlTraffic{}
	w.OnSend = func(n *controltest.Node, frame []byte) {
		f.largest = max(f.largest, len(frame))
		sent[n] = controlTraffic{sent[n].bytes + len(frame) + udpIPHeaderBytes, sent[n].packets + 1}
	}
	w.Run(span)
	seconds := int(span / time.Second)
	var bytes, packets []int
	for _, n := range w.Nodes {
		bytes = append(bytes, sent[n].bytes/seconds)
		packets = append(packets, sent[n].packets/seconds)
		f.mean.bytes += sent[n].bytes
		f.mean.packets += sent[n].packets
	}
	f.mean = controlTraffic{f.mean.bytes / seconds / len(w.Nodes), f.mean.packets / seconds / len(w.Nodes)}
	slices.Sort(bytes)
	slices.Sort(packets)
	f.median = controlTraffic{bytes[len(bytes)/2], packets[len(packets)/2]}
	f.busiest = controlTraffic{slices.Max(bytes), slices.Max(packets)}
	return f
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
				f := measureTraffic(w, span)
				t.Logf("prompts of %v, per second: %+v", readTime, f)
				if f.mean.bytes > maxControlBytes || f.mean.packets > maxControlPackets {
					t.Errorf("prompts of %v: a gateway sends %d bytes and %d packets per second", readTime, f.mean.bytes, f.mean.packets)
				}
				if f.largest > maxDatagram {
					t.Errorf("prompts of %v: a message of %d bytes", readTime, f.largest)
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
					f := measureTraffic(w, span)
					b.ReportMetric(float64(f.mean.bytes), "B/s")
					b.ReportMetric(float64(f.mean.packets), "packets/s")
					b.ReportMetric(float64(f.median.bytes), "median-B/s")
					b.ReportMetric(float64(f.busiest.bytes), "busiest-B/s")
					b.ReportMetric(float64(f.largest), "largest-B")
					b.ReportMetric(time.Since(began).Seconds()*1e6/float64(size)/span.Seconds(), "cpu-µs/s")
				}
			})
		}
	}
}
