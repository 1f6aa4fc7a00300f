package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxEnds is the number of endpoint processes that a content may end.
	maxEnds = 3
	// maxPartEnds is the number of endpoint processes that a part of prompts may end, and maxLaterSends the number of requests with
	// it that endpoints may receive later.
	maxPartEnds, maxLaterSends = 5, 3
	// gatewayOut are the circumstances in which a gateway need not know which contents are queries of death.
	gatewayOut = gatewayDisturbed | gatewayDown
	// mayRefuse are those in which it may refuse one for another reason.
	mayRefuse = gatewayOut | plannedStop | storeAway
)

// endLedger records the ends of the processes of endpoints.
type endLedger struct {
	mu       sync.Mutex
	ends     []end // in the order of time
	failures []Violation
}

func (l *endLedger) add(e end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, e)
}

// fail records that an endpoint has no process any more.
func (l *endLedger) fail(endpoint string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, Violation{"endpoint", fmt.Sprintf("%s: %v", endpoint, err)})
}

// endsUnder returns the ends that a query of death has caused.
func (l *endLedger) endsUnder(d *queryOfDeath) []end {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.ends), func(e end) bool { return e.death != d })
}

// episode is a time in which the fleet knows what it has seen, and the ends under one query of death in it.
type episode struct {
	until time.Time // when the fleet forgets; zero: never
	ends  []end
	most  int // ends that are needed to know the query of death
	later int // ends that may follow
}

// episodes splits ends at the times at which the fleet forgets, in order.
func (d *queryOfDeath) episodes(ends []end, forgets []time.Time) []episode {
	fresh := episode{most: maxEnds}
	if d.part != "" {
		fresh.most, fresh.later = maxPartEnds, maxLaterSends
	}
	out := []episode{fresh}
	for _, t := range forgets {
		out[len(out)-1].until = t
		out = append(out, fresh)
	}
	for _, e := range ends {
		i, _ := slices.BinarySearchFunc(forgets, e.at, time.Time.Compare)
		out[i].ends = append(out[i].ends, e)
	}
	return out
}

// knownFrom returns when the last end that is needed to know the content happened, and false if there is none.
func (ep episode) knownFrom() (time.Time, bool) {
	if len(ep.ends) < ep.most {
		return time.Time{}, false
	}
	return ep.ends[ep.most-1].at, true
}

// extra returns the ends beyond those that are needed, but for those by requests that an endpoint had received before, and for
// those that may follow.
func (ep episode) extra() []end {
	from, known := ep.knownFrom()
	if !known {
		return nil
	}
	extra := slices.DeleteFunc(slices.Clone(ep.ends[ep.most:]), func(e end) bool { return !e.arrived.After(from) })
	return extra[min(len(extra), ep.later):]
}

// ranOn reports whether the content had ended a process of the same software before an end.
func (ep episode) ranOn(e end) bool {
	return slices.ContainsFunc(ep.ends, func(o end) bool { return o.software == e.software && o.at.Before(e.at) })
}

// mustBlock reports whether a gateway must know the content for all the time of a request.
func (ep episode) mustBlock(sentAt, endedAt time.Time) bool {
	from, known := ep.knownFrom()
	return known && sentAt.After(from.Add(configDelay)) && (ep.until.IsZero() || endedAt.Before(ep.until))
}

// forgets returns the times at which no gateway was up and in touch, so that nothing they had seen was left.
func (r *run) forgets() []time.Time {
	var out []time.Time
	for _, t := range r.timeline.beginsOf(gatewayOut) {
		if !slices.ContainsFunc(r.fleet.gateways, func(g *gateway) bool { return r.timeline.between(t, t, g.name)&gatewayOut == 0 }) {
			out = append(out, t)
		}
	}
	return out
}

// reportEnds checks what the fleet has made of the ends of processes.
func (r *run) reportEnds(out *Report) {
	out.Violations = append(out.Violations, r.ends.failures...)
	forgets := r.forgets()
	for _, d := range r.contents.list {
		eps := d.episodes(r.ends.endsUnder(d), forgets)
		for _, ep := range eps {
			r.checkEnds(out, d, ep)
			r.checkBlocked(out, d, ep)
		}
		out.Deaths = append(out.Deaths, r.summaryOf(d, eps))
	}
	r.countBroken(out)
	for _, e := range r.ends.ends {
		out.Ends = append(out.Ends, r.endText(e))
	}
}

// endText describes an end of a process for the saved report.
func (r *run) endText(e end) string {
	cause := "kill"
	if e.death != nil {
		cause = fmt.Sprintf("query of death, %s, request %s, received at %.3f s", e.death.name, e.request, e.arrived.Sub(r.startTime).Seconds())
	}
	return fmt.Sprintf("%6.3f s  %s, %s: ended by a %s; it also ran %q", e.at.Sub(r.startTime).Seconds(), e.endpoint, e.software, cause, e.broken)
}

func (r *run) checkEnds(out *Report, d *queryOfDeath, ep episode) {
	from, _ := ep.knownFrom()
	for _, e := range ep.extra() {
		req := r.ledger.requests[e.request]
		class := "end after the third"
		if d.part != "" {
			class = "end after the fifth and three more"
		}
		if !ep.ranOn(e) {
			class += ", first of its software"
		}
		out.add(class, "%s (%s): ended %s, %s, at %.3f s, received %v after the third end, sent to %s %v after it, beside: %v", d.name, e.request, e.endpoint, e.software,
			e.at.Sub(r.startTime).Seconds(), e.arrived.Sub(from).Round(time.Millisecond), req.gateway, req.sentAt.Sub(from).Round(time.Millisecond),
			r.timeline.between(from, e.arrived, req.gateway))
	}
}

// checkBlocked checks that gateways block a content that they must know.
func (r *run) checkBlocked(out *Report, d *queryOfDeath, ep episode) {
	for id, req := range r.ledger.requests {
		if req.death != d || !ep.mustBlock(req.sentAt, req.endedAt) {
			continue
		}
		o := req.response.outcome()
		beside := r.circumstances(o, req, &endpointRecord{})
		blocked := o == Blocked || o == Refused && beside&mayRefuse != 0
		if !blocked && excuses[o]&beside&^(brokenOff|timeOver) == 0 {
			out.add("query of death not blocked", "%s (%s): %v by %s, sent at %.3f s, beside: %v", d.name, id, o, req.gateway, req.sentAt.Sub(r.startTime).Seconds(), beside)
		}
	}
}

// DeathSummary is what became of the requests with one query of death.
type DeathSummary struct {
	Name     string
	Ends     []int // of endpoint processes, in each time without a restart of all gateways
	Outcomes [outcomeCount]int
}

func (r *run) summaryOf(d *queryOfDeath, eps []episode) DeathSummary {
	s := DeathSummary{Name: d.name}
	for _, ep := range eps {
		if len(ep.ends) > 0 {
			s.Ends = append(s.Ends, len(ep.ends))
		}
	}
	for _, req := range r.ledger.requests {
		if req.death == d {
			s.Outcomes[req.response.outcome()]++
		}
	}
	return s
}

// countBroken counts the outcomes of the requests that an end of a process broke off and that could be sent once more in
// time, at gateways without a disturbance.
func (r *run) countBroken(out *Report) {
	for _, e := range r.ends.ends {
		counts := &out.BrokenByKills
		if e.death != nil {
			counts = &out.BrokenByDeaths
		}
		for _, id := range e.broken {
			req, ok := r.ledger.requests[id]
			if !ok || req.death != nil || req.kind != "idempotent" && req.kind != "resumable" {
				continue
			}
			inTime := e.at.Sub(req.sentAt) < r.operator.shortestRouteTimeout(req.sentAt, req.endedAt)
			if inTime && !req.response.left && r.timeline.between(req.sentAt, req.endedAt, req.gateway)&(gatewayOut|graceOver) == 0 {
				counts[req.response.outcome()]++
			}
		}
	}
}

// sendBlocked sends each content that the fleet must know to every gateway.
func (r *run) sendBlocked(ctx context.Context) {
	forgets := r.forgets()
	for _, d := range r.contents.list {
		eps := d.episodes(r.ends.endsUnder(d), forgets)
		if _, known := eps[len(eps)-1].knownFrom(); !known {
			continue
		}
		for _, g := range r.fleet.gateways {
			p := newPool(r)
			q := outgoing{gateway: g}
			q.send(r, d.request(r.rng))
			r.send(ctx, p, q)
			p.close()
		}
	}
}
