package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// hugeFleetSizes are the numbers of gateways per data centre of the largest deployment.
var hugeFleetSizes = []int{49, 52, 42, 50, 50, 52}

const hugeFleetRate = 1100 // requests per second

// hugeFleet returns a simulation of 295 gateways over six data centres and 204 engines, as the processes
// start, without any time for convergence. In each data centre three gateways have more processor time.
func hugeFleet(t testing.TB) *controltest.World {
	t.Logf("seed %d", seed)
	w := controltest.New(seed)
	w.Options = func(o *control.Options) { o.Self.CPUMillis = cpuMillis(o.Self.ID) }
	for dc, n := range hugeFleetSizes {
		for i := range n {
			w.AddNode(fleet.DataCentreID(rune('a'+dc)), i+1)
		}
	}
	w.Write(publishedtest.Config(config(1, "key")))
	for i := range 204 {
		w.Publish(engine(i, fleet.DataCentreID(rune('a'+i%len(hugeFleetSizes)))))
	}
	return w
}

// cpuMillis returns the processor share of a gateway named by its data centre and number: more for the
// numbers 11 to 13.
func cpuMillis(id fleet.InstanceID) uint32 {
	var dc rune
	var n int
	if _, err := fmt.Sscanf(string(id), "%c-%d", &dc, &n); err == nil && n >= 11 && n <= 13 {
		return 800
	}
	return 192
}

// inFlightHistory records the requests in flight at an endpoint over time.
type inFlightHistory struct {
	at    []boottime.Instant
	count []int
}

// ageOf returns how long ago the count was last the given one within a tolerance of one request.
func (h *inFlightHistory) ageOf(now boottime.Instant, count int) time.Duration {
	for i := len(h.at) - 1; i >= 0; i-- {
		if d := h.count[i] - count; d >= -1 && d <= 1 {
			end := now
			if i+1 < len(h.at) {
				end = h.at[i+1]
			}
			return now.Sub(end)
		}
	}
	return now.Sub(h.at[0])
}

// TestAgeOfCountedLoad: in a fleet of 295 gateways, the requests in flight that a gateway counts at an
// endpoint were in flight there at most 250 ms ago in half of the cases, and at most 600 ms ago in 99 of 100.
func TestAgeOfCountedLoad(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * convergenceTime)
	const ramp, interval = 4 * time.Second, 20 * time.Millisecond
	// One engine gets a load that rises all the time, so that each count has one time.
	target := w.Endpoints["engine-0"]
	h := &inFlightHistory{}
	var sample func()
	sample = func() {
		h.at, h.count = append(h.at, w.Now()), append(h.count, target.InFlight)
		w.After(interval/4, sample)
	}
	sample()
	for _, e := range w.Endpoints {
		e.ServiceTime = time.Minute
	}
	rng := w.Rand()
	for i := range 200 {
		n := w.Nodes[rng.IntN(len(w.Nodes))]
		w.After(time.Duration(i)*interval, func() { n.Send(affinityOf(w, target), ignore) })
	}
	var ages []time.Duration
	for range 20 {
		w.Run(ramp / 20)
		for _, n := range w.Nodes {
			for _, e := range n.State.Dump(w.Now()).Endpoints {
				if e.ID == target.ID && e.Load > 0 {
					ages = append(ages, h.ageOf(w.Now(), e.Load))
				}
			}
		}
	}
	slices.Sort(ages)
	median, p99 := ages[len(ages)/2], ages[len(ages)*99/100]
	t.Logf("age of counts: median %v, 99th percentile %v", median, p99)
	if median > 250*time.Millisecond || p99 > 600*time.Millisecond {
		t.Errorf("age of counts: median %v, 99th percentile %v", median, p99)
	}
}

// affinityOf returns a chat request that hashes to an engine.
func affinityOf(w *controltest.World, target *controltest.Endpoint) controltest.Request {
	r := chatRequest
	for n := uint64(1); ; n++ {
		best, bestWeight := fleet.EndpointID(""), uint64(0)
		for id := range w.Endpoints {
			if x := fleet.Weight(n, fleet.Hash(string(id))); x > bestWeight {
				best, bestWeight = id, x
			}
		}
		if best == target.ID {
			r.Affinity = n
			return r
		}
	}
}

const (
	maxControlBytes   = 5000 // per second and gateway, with the headers of UDP and IP
	maxControlPackets = 40   // per second and gateway
)

// controlTraffic is what a gateway sends to peers.
type controlTraffic struct{ bytes, packets int }

// measureHugeFleet returns the traffic per second of 295 gateways under load: the mean, and that of the busiest
// gateway.
func measureHugeFleet(t *testing.T) (mean, busiest controlTraffic) {
	const (
		udpIPHeaderBytes = 28
		span             = 10 * time.Second
		seconds          = int(span / time.Second)
	)
	w := hugeFleet(t)
	w.Run(2*convergenceTime + 10*time.Second)
	sendLoad(w, hugeFleetRate, w.Now().Add(span), chatRequests(w, 1000, 0), ignore)
	before := map[fleet.InstanceID]controlTraffic{}
	for _, n := range w.Nodes {
		before[n.ID] = controlTraffic{n.SentBytes, n.Sent}
	}
	w.Run(span)
	for _, n := range w.Nodes {
		packets := n.Sent - before[n.ID].packets
		bytes := n.SentBytes - before[n.ID].bytes + udpIPHeaderBytes*packets
		mean.bytes += bytes
		mean.packets += packets
		busiest.bytes = max(busiest.bytes, bytes/seconds)
		busiest.packets = max(busiest.packets, packets/seconds)
	}
	mean.bytes /= len(w.Nodes) * seconds
	mean.packets /= len(w.Nodes) * seconds
	t.Logf("per second: mean %+v, busiest %+v", mean, busiest)
	return mean, busiest
}

// TestControlTrafficOfHugeFleet bounds the mean control traffic of 295 gateways.
func TestControlTrafficOfHugeFleet(t *testing.T) {
	if mean, _ := measureHugeFleet(t); mean.bytes > maxControlBytes || mean.packets > maxControlPackets {
		t.Errorf("a gateway sends %d bytes and %d packets per second", mean.bytes, mean.packets)
	}
}

// TestAggregatorTraffic bounds the control traffic of the busiest of 295 gateways, an aggregator, to four times
// that of an ordinary one.
func TestAggregatorTraffic(t *testing.T) {
	if _, busiest := measureHugeFleet(t); busiest.bytes > 4*maxControlBytes || busiest.packets > 4*maxControlPackets {
		t.Errorf("an aggregator sends %d bytes and %d packets per second", busiest.bytes, busiest.packets)
	}
}

// TestFailedEndpointIsKnownFleetWide: an endpoint that one gateway cannot connect to is down for all of 295
// gateways within a second.
func TestFailedEndpointIsKnownFleetWide(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * convergenceTime)
	target := w.Endpoints["engine-7"]
	target.Down = true
	w.Nodes[100].Send(affinityOf(w, target), ignore)
	w.Run(time.Second)
	up := 0
	for _, n := range w.Nodes {
		for _, e := range n.State.Dump(w.Now()).Endpoints {
			if e.ID == target.ID && !e.Down {
				up++
			}
		}
	}
	if up > 0 {
		t.Errorf("%d of %d gateways do not know after a second that %s is down", up, len(w.Nodes), target.ID)
	}
}

// TestLostAggregators kills the aggregators of all data centres at once, which do not come back. Within two
// seconds the others count the requests of the whole fleet again.
func TestLostAggregators(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * convergenceTime)
	for _, n := range w.Nodes {
		if cpuMillis(n.ID) > 192 {
			n.RestartAfter(time.Hour)
		}
	}
	for _, e := range w.Endpoints {
		e.ServiceTime = time.Minute
	}
	w.Run(2 * time.Second)
	target := w.Endpoints["engine-0"]
	r := affinityOf(w, target)
	sent := 0
	for i, n := range w.Nodes {
		if n.State != nil && i%40 == 0 {
			sent++
			n.Send(r, ignore)
		}
	}
	w.Run(600 * time.Millisecond)
	for _, n := range w.Nodes {
		if n.State == nil {
			continue
		}
		for _, e := range n.State.Dump(w.Now()).Endpoints {
			if e.ID == target.ID && e.Load != sent {
				t.Errorf("%s counts %d of %d requests in flight", n.ID, e.Load, sent)
			}
		}
	}
}

// TestCutDataCentreKeepsItsCounts cuts off a data centre: its gateways still count each other's requests.
func TestCutDataCentreKeepsItsCounts(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * convergenceTime)
	inB := func(name string) bool { return name[0] == 'b' }
	const reachable = "engine-1" // an engine of data centre b
	w.Partitioned = func(a, b string) bool { return inB(a) != inB(b) && a != reachable && b != reachable }
	for _, e := range w.Endpoints {
		e.ServiceTime = time.Minute
	}
	w.Run(2500 * time.Millisecond) // the keys of callers are still accepted
	target := w.Endpoints[reachable]
	r := affinityOf(w, target)
	sent := 0
	for _, n := range w.Nodes {
		if n.DataCentre == "b" && sent < 5 {
			sent++
			n.Send(r, ignore)
		}
	}
	w.Run(600 * time.Millisecond)
	for _, n := range w.Nodes {
		if n.DataCentre != "b" {
			continue
		}
		for _, e := range n.State.Dump(w.Now()).Endpoints {
			if e.ID == target.ID && e.Load != sent {
				t.Errorf("%s counts %d of %d requests in flight", n.ID, e.Load, sent)
			}
		}
	}
	w.Partitioned = nil
	w.Run(3 * time.Second)
	for _, n := range w.Nodes {
		for _, e := range n.State.Dump(w.Now()).Endpoints {
			if e.ID == target.ID && e.Load != sent {
				t.Errorf("after the partition %s counts %d of %d requests in flight", n.ID, e.Load, sent)
			}
		}
	}
}

// TestStartOfHugeFleet: when 295 gateways start together, most get the store's content from an aggregator of
// their data centre: all are ready within 2 s, and at most a quarter of them have read the store.
func TestStartOfHugeFleet(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * time.Second)
	checkStart(t, w)
}

// TestHugeFleetRestartsTogether kills all of 295 gateways; they start again within 300 ms of each other.
func TestHugeFleetRestartsTogether(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * convergenceTime)
	for _, n := range w.Nodes {
		n.Reads = 0
		n.RestartAfter(time.Duration(500+w.Rand().IntN(300)) * time.Millisecond)
	}
	w.Run(800*time.Millisecond + 2*time.Second)
	checkStart(t, w)
}

// TestMembersAfterRestartOfAll: all of 295 gateways are killed, and the three seeds start again at different times,
// among the last. Three seconds later all gateways know each other, so that they agree on the aggregators.
func TestMembersAfterRestartOfAll(t *testing.T) {
	w := hugeFleet(t)
	w.Run(2 * convergenceTime)
	for i, n := range w.Nodes {
		delay := time.Duration(500+w.Rand().IntN(400)) * time.Millisecond
		if i < 3 {
			delay = time.Duration(700+100*i) * time.Millisecond
		}
		n.RestartAfter(delay)
	}
	w.Run(900*time.Millisecond + 3*time.Second)
	incomplete := 0
	for _, n := range w.Nodes {
		if len(n.State.Members()) != len(w.Nodes) {
			incomplete++
		}
	}
	if incomplete > 0 {
		t.Errorf("%d of %d gateways do not know all members", incomplete, len(w.Nodes))
	}
}

func checkStart(t *testing.T, w *controltest.World) {
	t.Helper()
	readers, notReady := 0, 0
	for _, n := range w.Nodes {
		if n.Reads > 0 {
			readers++
		}
		if !n.State.Ready(w.Now()) {
			notReady++
		}
	}
	t.Logf("%d gateways have read the store", readers)
	if notReady > 0 {
		t.Errorf("%d of %d gateways are not ready", notReady, len(w.Nodes))
	}
	if readers > len(w.Nodes)/4 {
		t.Errorf("%d of %d gateways have read the store", readers, len(w.Nodes))
	}
}

// TestPulledSnapshotKeepsItsAge: the store stops responding, and a gateway restarts. It gets the store's content
// from an aggregator, and no longer accepts keys once that content is older than the bound.
func TestPulledSnapshotKeepsItsAge(t *testing.T) {
	w := controltest.New(seed, 20)
	w.Write(publishedtest.Config(config(1, "key")))
	w.Publish(engine(1, "a"))
	w.Run(convergenceTime)
	w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
	w.Run(2 * time.Second)
	restarted := w.Nodes[4]
	restarted.RestartAfter(0)
	w.Run(500 * time.Millisecond)
	if !restarted.State.Ready(w.Now()) {
		t.Errorf("not ready with a snapshot of %v", restarted.State.SnapshotAge(w.Now()))
	}
	w.Run(2 * time.Second) // the store has been silent for 4.5 s, the bound is 4 s
	restarted.Send(chatRequest, func(o controltest.Outcome) {
		if o.Reason == control.ReasonNone {
			t.Errorf("a key was accepted with a snapshot of %v", restarted.State.SnapshotAge(w.Now()))
		}
	})
	w.Run(time.Second)
}

// TestFailingReplicaIsAvoidedFleetWide: one of six replicas of a plain service answers every request with a
// failure, of a load of which each of 295 gateways sends it a request every four seconds. From one second on,
// it gets at most a quarter of its usual share. Once it is sound again, it gets its share within ten seconds.
func TestFailingReplicaIsAvoidedFleetWide(t *testing.T) {
	const rate, replicas = 460, 6
	w := hugeFleet(t)
	for i := range replicas {
		w.Publish(replica(i, fleet.DataCentreID(rune('a'+i))))
	}
	w.Run(2 * convergenceTime)
	countFailed := func(span time.Duration) (failed, at int) {
		target := w.Endpoints["desk-2"]
		before := len(target.Arrivals)
		sendLoad(w, rate, w.Now().Add(span), func() controltest.Request { return bookRequest }, func(o controltest.Outcome) {
			if o.Failed {
				failed++
			}
		})
		w.Run(span)
		return failed, len(target.Arrivals) - before
	}
	countFailed(3 * time.Second)
	w.Endpoints["desk-2"].Failing = true
	countFailed(time.Second)
	failed, _ := countFailed(5 * time.Second)
	if share := rate / replicas * 5; failed > share/4 {
		t.Errorf("%d requests failed in 5 s, the replica's share is %d", failed, share)
	}
	t.Logf("%d requests failed in 5 s", failed)
	w.Endpoints["desk-2"].Failing = false
	countFailed(10 * time.Second)
	if _, at := countFailed(5 * time.Second); at < rate/replicas*5/2 {
		t.Errorf("the sound replica got %d requests in 5 s, its share is %d", at, rate/replicas*5)
	}
}

// TestLateSeedsOfSmallFleet: all gateways of a small fleet restart, the seeds half a second after the others. The
// others have the configuration before the seeds are back.
func TestLateSeedsOfSmallFleet(t *testing.T) {
	w := smallFleet(t)
	for i, n := range w.Nodes {
		delay := 500 * time.Millisecond
		if i < 3 {
			delay = time.Second
		}
		n.RestartAfter(delay)
	}
	w.Run(900 * time.Millisecond)
	for _, n := range w.Nodes[3:] {
		if n.State.Revision() == 0 {
			t.Errorf("%s has no configuration 400 ms after its start", n.ID)
		}
	}
}

// TestChangeOfAggregatorsIsLogged: each gateway of a data centre logs the aggregators that it has chosen, and their
// change when the first one is lost; all name the same ones.
func TestChangeOfAggregatorsIsLogged(t *testing.T) {
	w := controltest.New(seed, 20)
	last := map[fleet.InstanceID]string{}
	w.OnLog = func(n *controltest.Node, l control.Log) {
		if l.Event == event.AggregatorsChanged {
			last[n.ID] = fmt.Sprint(l.Fields[1])
		}
	}
	w.Write(publishedtest.Config(config(1, "key")))
	w.Run(2 * convergenceTime)
	before := last["a-5"]
	for _, n := range w.Nodes {
		if last[n.ID] != before || before == "" {
			t.Errorf("%s names the aggregators %s, a-5 %s", n.ID, last[n.ID], before)
		}
	}
	var first string
	_, _ = fmt.Sscanf(before, "[%s", &first)
	for _, n := range w.Nodes {
		if string(n.ID) == first {
			n.RestartAfter(time.Hour)
		}
	}
	w.Run(2 * time.Second)
	for _, n := range w.Nodes {
		if n.State != nil && last[n.ID] == before {
			t.Errorf("%s still names the aggregators %s", n.ID, before)
		}
	}
}
