package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// timeOverSlack is how much shorter than its route's timeout a request may seem to its caller that the gateway has ended
// for this timeout.
const timeOverSlack = 50 * time.Millisecond

// callerRecord is one request as its caller observed it.
type callerRecord struct {
	kind            string
	key, workspace  string
	gateway         string
	death           *queryOfDeath // that it is, nil for none
	sentAt, endedAt time.Time
	response        response
}

// endpointRecord is one request as the endpoints observed it.
type endpointRecord struct {
	count     int      // number of executions
	endpoints []string // IDs of the endpoints that executed it
	workspace string   // of the request as forwarded
	violation string   // in the request as forwarded, "" if none
}

// ledger records what callers and endpoints observe of each request, and compares the two.
type ledger struct {
	mu         sync.Mutex
	requests   map[string]callerRecord
	executions map[string]*endpointRecord
	revoked    map[string]time.Time // time right after the revocation was written to the store, by key
}

func newLedger() *ledger {
	return &ledger{requests: map[string]callerRecord{}, executions: map[string]*endpointRecord{}, revoked: map[string]time.Time{}}
}

func (l *ledger) recordRequest(id string, rec callerRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = rec
}

func (l *ledger) recordRevocation(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = time.Now()
}

// recordExecution records that an endpoint executes a request.
func (l *ledger) recordExecution(id, endpoint, workspace, violation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	exec := l.executions[id]
	if exec == nil {
		exec = &endpointRecord{}
		l.executions[id] = exec
	}
	exec.count++
	exec.endpoints = append(exec.endpoints, endpoint)
	exec.workspace = workspace
	if violation != "" {
		exec.violation = violation
	}
}

// report compares the records of callers and endpoints. It counts the requests and lists the violations. circumstances
// returns what may explain how a request ended.
func (l *ledger) report(start time.Time, circumstances func(Outcome, callerRecord, *endpointRecord) cause) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Report{Outcomes: map[string]*[outcomeCount]int{}}
	for id, req := range l.requests {
		exec := l.executions[id]
		if exec == nil {
			exec = &endpointRecord{}
		}
		o := outcomeOf(req, exec)
		out.count(req.kind, o)
		present := circumstances(o, req, exec)
		where := fmt.Sprintf("%s %s at %s, sent at %.3f s, ended at %.3f s", req.kind, id, req.gateway, req.sentAt.Sub(start).Seconds(), req.endedAt.Sub(start).Seconds())
		how := fmt.Sprintf("%s: status %d, connection idle for %v, executed %d times, beside: %v", where, req.response.status, req.response.idle.Round(time.Millisecond), exec.count, present)
		switch {
		case !excused(o, present):
			out.add(o.String()+" without excuse", "%s", how)
		case !expectedOutcomes[o] && o != CallerLeft && o != NotConnected:
			out.Excused = append(out.Excused, fmt.Sprintf("%v, excused: %s", o, how))
		}
		for _, v := range l.violations(req, exec) {
			out.add(v.Class, "%s: %s", where, v.Detail)
		}
	}
	for id := range l.executions {
		if _, ok := l.requests[id]; !ok {
			out.add("unasked", "executed a request that no caller sent: %s", id)
		}
	}
	return out
}

// outcomeOf returns the outcome of a request. One that was executed was whole.
func outcomeOf(req callerRecord, exec *endpointRecord) Outcome {
	o := req.response.outcome()
	switch {
	case exec.count == 0 || (o != CutInRequest && o != ClosedWhileIdle):
		return o
	case req.response.kept:
		return NoAnswerKept
	default:
		return NoAnswerNew
	}
}

// violations returns the violations of the other invariants by one request.
func (l *ledger) violations(req callerRecord, exec *endpointRecord) []Violation {
	var out []Violation
	add := func(class, format string, args ...any) {
		out = append(out, Violation{class, fmt.Sprintf(format, args...)})
	}
	atMostOnce := req.kind == "non-idempotent" || req.kind == "streaming"
	if atMostOnce && exec.count > 1 {
		add("executed twice", "executed %d times", exec.count)
	}
	if promisesNotRun(req.response.status) && exec.count > 0 {
		add("refused but executed", "answered %d although it was executed %d times", req.response.status, exec.count)
	}
	if req.response.violation != "" {
		add("wrong body", "%s", req.response.violation)
	}
	if exec.violation != "" {
		add("wrong request", "%s", exec.violation)
	}
	if exec.count > 0 && exec.workspace != req.workspace {
		add("wrong request", "forwarded with workspace %q, want %q", exec.workspace, req.workspace)
	}
	if revokedAt, ok := l.revoked[req.key]; ok && req.sentAt.Sub(revokedAt) > keyRevocationDelay && exec.count > 0 {
		add("revoked key", "executed with a key that had been revoked %v before it was sent", req.sentAt.Sub(revokedAt).Round(time.Millisecond))
	}
	return out
}

// promisesNotRun reports whether a status promises that the request has not run and does not run later.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// circumstances returns what may explain how a request ended. The endpoints that matter are those of the services to
// which its route may have led; for a truncated response only those that executed the request, of which one has begun it.
func (r *run) circumstances(o Outcome, req callerRecord, exec *endpointRecord) cause {
	subjects := append([]string{req.gateway, routeSubject(req.kind)}, exec.endpoints...)
	for _, s := range r.timeline.servicesOf(req.kind, req.sentAt, req.endedAt) {
		subjects = append(subjects, serviceSubject(s))
		if o == Truncated && exec.count > 0 {
			continue
		}
		for _, e := range r.endpointsOf(s) {
			subjects = append(subjects, e.id)
		}
	}
	out := r.timeline.between(req.sentAt, req.endedAt, subjects...)
	if r.timeline.between(req.sentAt, req.sentAt, req.gateway)&lateInStop != 0 {
		out &^= graceOver
	}
	delay := configDelay
	if out&(storeAway|gatewayPaused) != 0 {
		delay = oldestLimit
		if out&routeStale != 0 {
			out |= routeRemoved
		}
	}
	if r.operator.keyUncertain(req.key, req.sentAt, req.endedAt, delay) {
		out |= keyUncertain
	}
	if req.endedAt.Sub(req.sentAt) >= r.operator.shortestRouteTimeout(req.sentAt, req.endedAt)-timeOverSlack {
		out |= timeOver
	}
	if req.response.announcedEnd {
		out |= closeAnnounced
	}
	if req.response.left {
		out |= ownEnd
	}
	if req.death != nil {
		out |= isQueryOfDeath
	}
	return out
}
