package control

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/contention"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// cost returns what is known about the size of a request.
func (r *ExplainRequest) cost(route string, service fleet.ServiceID) cost.Request {
	return cost.Request{
		Service: service, Route: route,
		PromptTokens: r.PromptTokens, SharedTokens: r.SharedTokens, MaxOutputTokens: r.MaxOutputTokens, LengthHint: r.LengthHint,
	}
}

// explainContention explains whether a request is admitted, if its service is contended. It returns the rejection if it is
// certain. A request that goes on with a stream is admitted: it names the stream or its version.
func (s *State) explainContention(now boottime.Instant, req *ExplainRequest, ad *Admission, x *Explanation) Placement {
	l := s.serviceLoads[ad.Service]
	if l == nil {
		return Placement{}
	}
	r := contentionRequest(ad, s.table.WorkspaceByID(req.Workspace), s.usualTimeLimit(now, ad.Route, ad.Timeout))
	p := l.contention.Peek(now, r)
	if !p.Contended {
		return Placement{}
	}
	if req.Placement.Stream != "" || req.Placement.Version != 0 {
		p.Probability, p.Reason, p.RetryAfter = 1, contention.ReasonNone, 0
	}
	st := l.contention.State(now)
	x.Contention = &ContentionDecision{
		SinceMS: now.Sub(st.Since).Milliseconds(), Utilization: st.Utilization, Target: st.Target, AdmittedShare: st.AdmittedShare,
		Rank: p.Rank, Probability: p.Probability, RetryAfterMS: p.RetryAfter.Milliseconds(),
	}
	if p.Reason != contention.ReasonNone {
		x.Contention.Reason = p.Reason.String()
	}
	if ad.Workspace != "" {
		x.WorkspaceShare = &WorkspaceShare{Share: p.WithinShare, AgeMS: p.RunningAge.Milliseconds()}
		if p.RunningKnown {
			x.WorkspaceShare.Running = &p.Running
		}
	}
	if p.Probability > 0 {
		return Placement{}
	}
	return Placement{Reason: ReasonContention, RetryAfter: p.RetryAfter}
}

// explainTimes returns the estimated times at a candidate. Those of candidates that were not compared by time are estimated for
// their position in the whole rendezvous order.
func (s *State) explainTimes(now boottime.Instant, req *PlacementRequest, w *weighing, c *candidate, rank int) *EstimatedTimes {
	t := c.times
	compared := t != nil
	if !compared {
		estimated := s.timesAt(now, req, w, c, rank)
		t = &estimated
	}
	b := w.backlog.Endpoint(now, c.shortID())
	e := &EstimatedTimes{
		TotalMS: Milliseconds(t.Total), WaitMS: Milliseconds(t.Wait), ReadMS: Milliseconds(t.Read), DistanceMS: Milliseconds(t.Distance),
		PendingReadMS: Milliseconds(b.PendingRead), SpeedPercent: percentOf(b.Speed), Compared: compared, Learned: t.Learned,
	}
	if b.Known {
		age := b.SpeedAge.Milliseconds()
		e.SpeedAgeMS = &age
	}
	return e
}

// percentOf returns a speed as endpoints report it.
func percentOf(speed float64) int { return int(math.Round(speed * percent)) }

// Milliseconds returns a time in milliseconds with one decimal, for logs and documents.
func Milliseconds(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Millisecond/10)) / 10
}
