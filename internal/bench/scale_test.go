package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// requestsPerSecondPerRouter is the load at the target size: 2,300 requests/s over 410 routers.
const requestsPerSecondPerRouter = 2300.0 / 410

// scaledShape returns a deployment with a number of routers, scaled from the target size of 410 routers, 600
// engines and 320 workspaces.
func scaledShape(routers int) coretest.Shape {
	return coretest.Shape{
		Regions:         2,
		DataCentres:     5,
		Instances:       routers,
		Engines:         routers * 600 / 410,
		Models:          4,
		ServiceReplicas: 5,
		Workspaces:      max(2, routers*320/410),
		Capacity:        256,
	}
}

// serveTime returns the duration of a response at the target size: 1.1 M tokens/s over 2,300 requests/s
// are 478 tokens per response, at about 50 ms each.
func serveTime(*coretest.Endpoint, core.Dispatch, bool) time.Duration { return 24 * time.Second }

func BenchmarkControl(b *testing.B) {
	for _, routers := range []int{9, 27, 81, 162} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for b.Loop() {
				reportControlTraffic(b, routers)
			}
		})
	}
}

// reportControlTraffic reports the control traffic per router and second, in total and by kind of message, and
// the real time spent in a core as a percentage of the virtual time.
func reportControlTraffic(b *testing.B, routers int) {
	w := coretest.New(seed)
	w.Build(scaledShape(routers))
	for _, e := range w.Endpoints {
		e.Serve = serveTime
	}
	rate := requestsPerSecondPerRouter * float64(routers)
	l := &coretest.Load{Rate: func(time.Duration) float64 { return rate }, Chats: 400 * routers}
	w.Run(20 * time.Second)
	w.StartLoad(l, 80*time.Second)
	w.Run(50 * time.Second)
	before := make([]coretest.Traffic, len(w.Nodes))
	var busy time.Duration
	for i, n := range w.Nodes {
		before[i] = n.Sent
		busy -= n.StepTime
	}
	w.Run(30 * time.Second)
	var sum coretest.Traffic
	highest := 0.0
	for i, n := range w.Nodes {
		busy += n.StepTime
		bytes := n.Sent.Bytes - before[i].Bytes
		highest = max(highest, float64(bytes)/30)
		sum.Bytes += bytes
		sum.Messages += n.Sent.Messages - before[i].Messages
		for k := range sum.ByKind {
			sum.ByKind[k] += n.Sent.ByKind[k] - before[i].ByKind[k]
		}
	}
	routerSeconds := 30 * float64(routers)
	b.ReportMetric(float64(sum.Bytes)/routerSeconds, "B/s")
	b.ReportMetric(highest, "max-B/s")
	b.ReportMetric(float64(sum.Messages)/routerSeconds, "msg/s")
	b.ReportMetric(100*busy.Seconds()/routerSeconds, "core-%")
	for k, name := range kindNames {
		if sum.ByKind[k] > 0 {
			b.ReportMetric(float64(sum.ByKind[k])/routerSeconds, name+"-B/s")
		}
	}
	b.ReportMetric(0, "ns/op")
}

var kindNames = map[wire.Kind]string{
	wire.KindClaim:         "claim",
	wire.KindClaimAck:      "claimack",
	wire.KindLeaseRequest:  "lease",
	wire.KindLeaseReply:    "leasereply",
	wire.KindLeaseUpdate:   "leaseupdate",
	wire.KindBorrow:        "borrow",
	wire.KindBorrowReply:   "borrowreply",
	wire.KindLoadGossip:    "digest",
	wire.KindFeedPull:      "pull",
	wire.KindFeedPush:      "push",
	wire.KindLeaseHandover: "handover",
}
