package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// ExplainRequest holds the properties of a request that Explain evaluates.
type ExplainRequest struct {
	Host          string
	Path          string
	Workspace     fleet.WorkspaceID // "": the check of the key is left out
	CallerTimeout time.Duration     // 0: not given

	// What the caller says of the request's size; 0: not given.
	PromptTokens, SharedTokens, MaxOutputTokens, LengthHint int

	// Placement is the request to place; Explain sets its Workspace, Cost and Goal. If its Service is set, it is the one that is
	// explained, of a route that has several; a service that the route does not have gives ReasonNoRoute.
	Placement PlacementRequest
}

// Explain says where a request would go now, and why. It decides as Admit and Place do, and has no effect on the state: nothing
// is counted, no random number is drawn, and nothing is requested. Blocks of requests that crash endpoints do not begin in it
// even if they are due.
func (s *State) Explain(now boottime.Instant, req ExplainRequest) Explanation {
	x := Explanation{
		Gateway: s.opts.Self.ID, DataCentre: s.opts.Self.DataCentre, Conditions: s.conditions(now), Revision: published.StoreRevision(s.mirror.Revision()),
		StoreAgeMS: s.SnapshotAge(now).Milliseconds(), Services: []ServiceShare{}, Rule: ruleNone.String(), PeerCountsAgeMS: s.mesh.LoadAge().Milliseconds(),
		Endpoints: []EndpointExplanation{},
	}
	var ad Admission
	reason := s.findRoute(now, req.Host, req.Path, &ad)
	if reason == ReasonNone {
		x.Route, x.Kind = ad.Route.Name, ad.Route.Kind.String()
		reason = s.authorizeByID(now, req.Workspace, &ad)
		ad.Timeout = requestTimeout(ad.Route, req.CallerTimeout)
		x.Workspace, x.Priority, x.TimeLimitMS = ad.Workspace, ad.Priority, ad.Timeout.Milliseconds()
	}
	if reason != ReasonNone {
		x.Decision = rejected(Placement{Reason: reason, RetryAfter: admissionRetryAfter})
		return x
	}
	p := req.Placement
	if p.Service != "" && !slices.Contains(ad.Route.Services(), p.Service) {
		x.Service, x.Decision = p.Service, rejected(Placement{Reason: ReasonNoRoute})
		return x
	}
	p.Service, x.Services = explainService(ad.Route, p)
	x.Service, ad.Service = p.Service, p.Service
	p.Workspace, p.Cost, p.Goal = ad.Workspace, req.cost(ad.Route.Name, p.Service), ad.Goal()
	refused := s.explainContention(now, &req, &ad, &x)
	s.explainPlacement(now, p, &x)
	if refused.Reason != ReasonNone {
		x.Decision = rejected(refused)
	}
	return x
}

// authorizeByID is authorize for a workspace's ID in place of a key. Without one, it leaves out the check of the key itself.
func (s *State) authorizeByID(now boottime.Instant, id fleet.WorkspaceID, ad *Admission) Reason {
	if id != "" {
		return s.authorize(now, true, s.table.WorkspaceByID(id), ad)
	}
	ad.Priority = s.table.Priority(nil, ad.Route, false)
	if !ad.Route.Public && !s.freshEnoughForAuth(now) {
		return ReasonStale
	}
	return ReasonNone
}

// conditions returns the conditions of this gateway, without ConditionBusy.
func (s *State) conditions(now boottime.Instant) []Condition {
	out := []Condition{}
	outdated := s.table != nil && s.SnapshotAge(now) > s.opts.DenialStalenessBound
	for _, c := range []struct {
		applies   bool
		condition Condition
	}{
		{s.table == nil || !s.join.done(now) || s.AwaitsEvidence(now), ConditionStarting},
		{s.stopping, ConditionStopping},
		{s.reader.failing && (outdated || s.table == nil), ConditionCutOff},
		{outdated, ConditionOutdated},
		{s.mesh.Size() > 1 && s.mesh.LivePeers(now) == 0, ConditionAlone},
	} {
		if c.applies {
			out = append(out, c.condition)
		}
	}
	return out
}

// explainService returns the service to explain, and the shares of all services of a route if the choice is random. The service
// to explain is the one that the request names, or else the one that gets it most likely.
func explainService(r *routing.Route, p PlacementRequest) (fleet.ServiceID, []ServiceShare) {
	shares := []ServiceShare{}
	total := totalWeight(r)
	if len(r.Targets) == 1 || total <= 0 {
		return cmp.Or(p.Service, r.Targets[0].Service), shares
	}
	if p.Affinity != 0 {
		return cmp.Or(p.Service, serviceAt(r, affinityPoint(r, p.Affinity)*total)), shares
	}
	best := r.Targets[0]
	for _, t := range r.Targets {
		shares = append(shares, ServiceShare{t.Service, t.Weight / total})
		if t.Weight > best.Weight {
			best = t
		}
	}
	return cmp.Or(p.Service, best.Service), shares
}

// explainPlacement explains what Place would do with a request.
func (s *State) explainPlacement(now boottime.Instant, req PlacementRequest, x *Explanation) {
	if req.Stream != "" {
		req.Version, _ = s.peekStreamVersion(now, req.Stream)
	}
	if req.streamUnknown() {
		x.Decision = rejected(Placement{Reason: ReasonOriginUnknown})
		return
	}
	req, denied := s.peekDecision(now, req)
	in := placementInputs{peerCounts: s.peekPeerCounts(now), backlog: s.peekBacklog(now)}
	if req.Version != 0 {
		in.soleVersion = s.peekSoleVersion(now, req.Service)
	}
	w := s.weigh(now, req, in)
	x.Rule, x.MeanLoad = w.rule.String(), w.meanLoad()
	if w.bound > 0 {
		x.LoadBound = &w.bound
	}
	s.explainEndpoints(now, req, &w, in, x)
	switch {
	case denied.Reason != ReasonNone:
		x.Decision = rejected(denied)
	case w.eligibleCount == 0:
		x.Decision = rejected(s.rejection(now, req, &w.endpointClasses))
	case w.chosen != nil:
		x.Decision = ExplainedDecision{Endpoint: w.chosen.ID}
	default:
		x.Decision = ExplainedDecision{Random: true}
	}
}

// rejected returns the decision for a rejection with the mean retry-after. A caller without a route or a key gets none.
func rejected(p Placement) ExplainedDecision {
	d := ExplainedDecision{Reason: p.Reason.String()}
	if p.Reason != ReasonNoRoute && p.Reason != ReasonUnauthenticated {
		d.RetryAfterMS = p.RetryAfter.Milliseconds()
	}
	return d
}

// explainEndpoints adds the weighed endpoints, best first.
func (s *State) explainEndpoints(now boottime.Instant, req PlacementRequest, w *weighing, in placementInputs, x *Explanation) {
	var ranks map[*endpoint]int
	if req.Affinity != 0 {
		ranks = rendezvousRanks(req.Affinity, w.candidates)
	}
	uneven := s.uneven(now, req.Service)
	for _, c := range w.bestFirst(ranks) {
		e := s.explainEndpoint(now, c, in)
		e.Position = len(x.Endpoints) + 1
		if rank, ok := ranks[c.endpoint]; ok {
			e.Rank = &rank
		}
		if w.rule == ruleRandom && c.eligible() {
			share := c.share / w.totalShare()
			e.Share = &share
		}
		if uneven {
			e.Times = s.explainTimes(now, &req, w, c, ranks[c.endpoint])
		}
		x.Endpoints = append(x.Endpoints, e)
	}
}

// rendezvousRanks returns the position of each candidate in the rendezvous order of an affinity.
func rendezvousRanks(affinity uint64, candidates []candidate) map[*endpoint]int {
	order := make([]*endpoint, len(candidates))
	for i := range candidates {
		order[i] = candidates[i].endpoint
	}
	slices.SortStableFunc(order, func(a, b *endpoint) int {
		return cmp.Compare(fleet.Weight(affinity, b.hash), fleet.Weight(affinity, a.hash))
	})
	ranks := make(map[*endpoint]int, len(order))
	for i, e := range order {
		ranks[e] = i
	}
	return ranks
}

// bestFirst returns the candidates in the order in which they are preferred: the chosen one, then by exclusion, share, rank and
// load.
func (w *weighing) bestFirst(ranks map[*endpoint]int) []*candidate {
	out := make([]*candidate, len(w.candidates))
	for i := range w.candidates {
		out[i] = &w.candidates[i]
	}
	class := func(c *candidate) int {
		switch {
		case w.chosen == c.endpoint:
			return 0
		case c.excluded == NotExcluded:
			return 1
		case c.eligible():
			return 2
		default:
			return 3
		}
	}
	slices.SortStableFunc(out, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(b.share, a.share), cmp.Compare(ranks[a.endpoint], ranks[b.endpoint]), cmp.Compare(a.load, b.load))
	})
	return out
}

func (s *State) explainEndpoint(now boottime.Instant, c *candidate, in placementInputs) EndpointExplanation {
	e := EndpointExplanation{
		Endpoint: c.ID, DataCentre: c.DataCentre, Version: c.Version, Excluded: c.excluded.String(), Load: c.load, Unreported: c.unreported,
		InFlight: c.inFlight, PeersInFlight: in.peerCounts[c.shortID()],
	}
	if until := c.excludedUntil(); until != 0 {
		e.ExcludedForMS = max(until.Sub(now), 0).Milliseconds()
	}
	if c.reported.at != 0 {
		age := now.Sub(c.reported.at)
		e.Reported = &ReportedLoad{Running: c.reported.Running, Waiting: c.reported.Waiting, AgeMS: age.Milliseconds(), Used: age <= loadReportTTL}
	}
	return e
}

// excludedUntil returns when the exclusion of a candidate ends, or 0 if that is not known.
func (c *candidate) excludedUntil() boottime.Instant {
	switch c.excluded {
	case ExcludedPaused:
		return c.noRequestsUntil
	case ExcludedCold:
		return c.coldStart.until
	case ExcludedAvoided:
		return c.health.avoidUntil
	case ExcludedDown:
		return c.health.nextProbe
	default:
		return 0
	}
}
