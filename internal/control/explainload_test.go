package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/contention"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// unevenPlacement is randomPlacement in a state in which endpoints have reported speeds, prompts are outstanding and the cost of
// requests may have been learned.
func unevenPlacement(seed uint64) (*State, boottime.Instant, PlacementRequest) {
	s, now, req := randomPlacement(seed)
	r := rand.New(rand.NewPCG(seed, 2))
	var ad Admission
	s.findRoute(now, "h", "/chat/x", &ad)
	ad.Route.GoalLatency, ad.Route.GoalEventGap = time.Duration(r.IntN(600))*time.Millisecond, time.Duration(r.IntN(60))*time.Millisecond
	size := func() cost.Request {
		q := cost.Request{Service: "s", Route: "chat", PromptTokens: 1 + r.IntN(12_000), MaxOutputTokens: r.IntN(900), LengthHint: r.IntN(600)}
		q.SharedTokens = r.IntN(q.PromptTokens)
		return q
	}
	for range r.IntN(30) {
		q := size()
		first := time.Duration(5+q.PromptTokens/85) * time.Millisecond
		s.costs.Observe(cost.Observation{Request: q, Speed: 1, First: first, Total: first + time.Second, Events: 20, Stream: true})
	}
	peers := map[uint32]time.Duration{}
	for _, e := range s.services["s"] {
		e.Capacity = 16
		at := now.Add(-time.Duration(r.IntN(4000)) * time.Millisecond)
		switch r.IntN(4) {
		case 0:
			s.noteSpeedReport(at, e, 250)
			s.backlog.tracker.ReportSpeed(at, e.shortID(), 250)
		case 1:
			s.backlog.tracker.PeerSpeed(now, e.shortID(), 25+r.IntN(300), now.Sub(at))
		}
		s.backlog.tracker.Sent(now, e.shortID(), e.ID, time.Duration(r.IntN(300))*time.Millisecond)
		peers[e.shortID()] = time.Duration(r.IntN(300)) * time.Millisecond
	}
	s.backlog.tracker.PeerReads(now, peers)
	s.backlog.stale = r.IntN(4) == 0 // the peers' prompts are no longer outstanding
	req.Cost, req.Workspace = size(), "w"
	s.authorizeByID(now, "w", &ad)
	req.Goal = ad.Goal()
	return s, now, req
}

// contendedPlacement is unevenPlacement in a state in which the service may be contended.
func contendedPlacement(seed uint64) (*State, boottime.Instant, PlacementRequest) {
	s, now, req := unevenPlacement(seed)
	r := rand.New(rand.NewPCG(seed, 3))
	ad := Admission{Service: "s", Workspace: "w"}
	s.findRoute(now, "h", "/chat/x", &ad)
	c := s.serviceLoadOf("s").contention
	utilization, late := 0.8+3*r.Float64(), time.Duration(r.IntN(1200))*time.Millisecond
	const ticks = 60
	for i := range ticks {
		at := now.Add(-late - time.Duration(ticks-i)*40*time.Millisecond)
		c.Update(at, utilization*100, 100, 900*time.Millisecond, 200*time.Millisecond)
		if r.IntN(2) == 0 {
			c.SetWorkspaceLoads(map[uint32]int{workspaceKey("s", "w"): 60, 1: 20, 2: 20})
		}
		for range r.IntN(3) {
			limit := time.Duration(1+r.IntN(3000)) * time.Millisecond
			s.noteTimeLimit(at, ad.Route, limit)
			ad.Timeout = limit
			q := contentionRequest(&ad, s.table.WorkspaceByID("w"), s.usualTimeLimit(at, ad.Route, limit))
			if r.IntN(2) == 0 {
				q.Workspace = r.Uint32N(20)
			}
			c.Admit(at, q)
		}
	}
	s.serviceLoads["s"].contended = c.State(now).Contended
	return s, now, req
}

// TestExplainAgreesWithPlaceByTime is TestExplainAgreesWithPlace where endpoints report speeds. It also guards against times that are
// missing, or that do not belong to the choice.
func TestExplainAgreesWithPlaceByTime(t *testing.T) {
	byTime, notFirst := 0, 0
	for seed, x := range checkExplainAgreesWithPlace(t, unevenPlacement) {
		s, now, _ := unevenPlacement(uint64(seed))
		for _, e := range x.Endpoints {
			if (e.Times != nil) != s.uneven(now, "s") {
				t.Fatalf("seed %d: times %+v", seed, e.Times)
			}
			if e.Times == nil {
				continue
			}
			if sum := e.Times.WaitMS + e.Times.ReadMS + e.Times.DistanceMS; math.Abs(sum-e.Times.TotalMS) > 0.2 {
				t.Fatalf("seed %d: the parts of %+v do not add up", seed, e.Times)
			}
			if e.Endpoint == x.Decision.Endpoint && x.Rule == ruleAffinity.String() {
				byTime++
				if !e.Times.Compared {
					t.Fatalf("seed %d: the chosen endpoint was not compared: %+v", seed, e.Times)
				}
				if first := firstCompared(x); first != e.Endpoint {
					notFirst++
				}
			}
		}
	}
	t.Log(byTime, "by time,", notFirst, "not at the first endpoint")
	if byTime < randomPlacements/10 || notFirst < byTime/50 {
		t.Errorf("%d choices by time, %d not of the first endpoint of the order", byTime, notFirst)
	}
}

// firstCompared returns the first endpoint of the rendezvous order that was compared by time.
func firstCompared(x Explanation) (first fleet.EndpointID) {
	best := math.MaxInt
	for _, e := range x.Endpoints {
		if e.Times.Compared && *e.Rank < best {
			first, best = e.Endpoint, *e.Rank
		}
	}
	return first
}

// TestAttemptEstimateAgreesWithExplain guards against log lines about placements with times of other endpoints than those compared.
func TestAttemptEstimateAgreesWithExplain(t *testing.T) {
	runnersUp := 0
	for seed := range uint64(2000) {
		s, now, req := unevenPlacement(seed)
		x := s.Explain(now, explainChat(req))
		p := s.Place(now, req)
		if p.Attempt == nil {
			continue
		}
		a := p.Attempt.Estimate
		if a.Hold <= 0 || a.Read <= 0 {
			t.Fatalf("seed %d: %+v", seed, a)
		}
		want := AttemptEstimate{Read: a.Read, Hold: a.Hold}
		for _, e := range x.Endpoints {
			if x.Rule != ruleAffinity.String() || e.Times == nil || !e.Times.Compared {
				continue
			}
			total := time.Duration(e.Times.TotalMS * float64(time.Millisecond))
			switch {
			case e.Endpoint == p.Attempt.Endpoint:
				want.FirstEvent = total
			case want.RunnerUp == "" || total < want.RunnerUpAt:
				want.RunnerUp, want.RunnerUpAt = e.Endpoint, total
			}
		}
		if want.RunnerUp != "" {
			runnersUp++
		}
		const rounding = 100 * time.Microsecond
		if (a.FirstEvent-want.FirstEvent).Abs() > rounding || (a.RunnerUpAt-want.RunnerUpAt).Abs() > rounding || (a.RunnerUp == "") != (want.RunnerUp == "") {
			t.Fatalf("seed %d: %+v, explained as %+v", seed, a, want)
		}
	}
	if runnersUp < 100 {
		t.Errorf("only %d runners-up", runnersUp)
	}
}

// TestExplainUnderLoadChangesNothing is TestExplainChangesNothing where endpoints report speeds and the service is contended.
func TestExplainUnderLoadChangesNothing(t *testing.T) {
	checkExplainChangesNothing(t, contendedPlacement)
}

// TestExplainAgreesWithAdmit guards against an explanation that says another probability, reason or Retry-After than the admission
// of the same request under contention has.
func TestExplainAgreesWithAdmit(t *testing.T) {
	var expected, variance, admitted float64
	reasons := map[contention.Reason]int{}
	for seed := range uint64(3000) {
		s, now, _ := contendedPlacement(seed)
		limit := []time.Duration{0, 700 * time.Millisecond, 2500 * time.Millisecond}[seed%3]
		resumed := seed%10 == 0
		req := ExplainRequest{Host: "h", Path: "/chat/x", Workspace: "w", CallerTimeout: limit}
		if resumed {
			req.Placement.Version = 1
		}
		x := s.Explain(now, req)
		if (x.Contention != nil) != s.contended("s") || (x.WorkspaceShare != nil) != s.contended("s") {
			t.Fatalf("seed %d: %+v", seed, x)
		}
		probability, reason, after := 1.0, "", int64(0)
		if c := x.Contention; c != nil {
			probability, reason, after = c.Probability, c.Reason, c.RetryAfterMS
		}
		if (probability == 0) != (x.Decision.Reason == ReasonContention.String()) {
			t.Fatalf("seed %d: probability %v, decision %+v", seed, probability, x.Decision)
		}
		ad := s.Admit(now, AdmissionRequest{Host: "h", Path: "/chat/x", APIKey: "secret-key", CallerTimeout: limit, Resumed: resumed})
		expected, variance = expected+probability, variance+probability*(1-probability)
		switch {
		case ad.Reason == ReasonNone && probability > 0:
			admitted++
		case ad.Reason != ReasonContention || probability == 1 || reason == "" || ad.RetryAfter < time.Duration(after)*time.Millisecond/2-time.Millisecond ||
			ad.RetryAfter > time.Duration(after)*time.Millisecond*2:
			t.Fatalf("seed %d: explained as %+v, %+v, admitted as %+v", seed, x.Contention, x.Decision, ad)
		default:
			reasons[ad.Contention]++
			if (ad.Contention == contention.ReasonDeadline) != (reason == contention.ReasonDeadline.String()) {
				t.Fatalf("seed %d: explained as %s, rejected as %s", seed, reason, ad.Contention)
			}
		}
	}
	t.Logf("%v admitted, %.1f expected, rejections %v", admitted, expected, reasons)
	if math.Abs(admitted-expected) > 4*math.Sqrt(variance) {
		t.Errorf("%v admitted, %.1f expected", admitted, expected)
	}
	for _, r := range []contention.Reason{contention.ReasonShare, contention.ReasonOrder, contention.ReasonDeadline} {
		if reasons[r] < 20 {
			t.Errorf("only %d rejections because of %s", reasons[r], r)
		}
	}
}
