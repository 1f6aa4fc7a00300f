package soak

import (
	"fmt"
	"sync"
	"time"
)

// outcome is the response to one request as the caller observed it.
type outcome struct {
	status    int    // 0: no response
	complete  bool   // the body was read to its end without an error
	violation string // in the body, "" if none
}

// callerRecord is one request as its caller observed it.
type callerRecord struct {
	kind        string
	key         string
	sentAt      time.Time
	plannedOnly bool // no fault other than planned stops and reloads affected the gateway, see gateway.undisturbedSince
	outcome     outcome
}

// endpointRecord is one request as the endpoints observed it.
type endpointRecord struct {
	count       int    // number of executions
	duringFault bool   // it was executed during or shortly after a fault of an endpoint
	violation   string // in the request as forwarded, "" if none
}

// ledger records what callers and endpoints observe, and checks that both sides agree.
type ledger struct {
	mu         sync.Mutex
	requests   map[string]callerRecord
	executions map[string]*endpointRecord
	revoked    map[string]time.Time // time at which the store acknowledged the revocation, by key
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
func (l *ledger) recordExecution(id string, duringFault bool, violation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.executions[id]
	if r == nil {
		r = &endpointRecord{}
		l.executions[id] = r
	}
	r.count++
	r.duringFault = r.duringFault || duringFault
	if violation != "" {
		r.violation = violation
	}
}

// report compares the records of callers and endpoints.
func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Report
	for id, s := range l.requests {
		r := l.executions[id]
		if r == nil {
			r = &endpointRecord{}
		}
		out.Requests++
		switch {
		case s.outcome.complete && s.outcome.status == 200:
			out.Answered++
		case s.outcome.status == 503 || s.outcome.status == 429:
			out.Refused++
		default:
			out.Unknown++
		}
		for _, v := range l.violations(s, r) {
			out.Violations = append(out.Violations, fmt.Sprintf("%s %s: %s", s.kind, id, v))
		}
	}
	for id := range l.executions {
		if _, ok := l.requests[id]; !ok {
			out.Violations = append(out.Violations, "executed a request that no caller sent: "+id)
		}
	}
	return out
}

func (l *ledger) violations(s callerRecord, r *endpointRecord) []string {
	var out []string
	atMostOnce := s.kind == "non-idempotent" || s.kind == "streaming"
	if atMostOnce && r.count > 1 {
		out = append(out, fmt.Sprintf("executed %d times", r.count))
	}
	if (s.outcome.status == 503 || s.outcome.status == 429) && r.count > 0 {
		out = append(out, fmt.Sprintf("answered %d although it was executed %d times", s.outcome.status, r.count))
	}
	if s.outcome.violation != "" {
		out = append(out, s.outcome.violation)
	}
	if r.violation != "" {
		out = append(out, r.violation)
	}
	if revokedAt, ok := l.revoked[s.key]; ok && s.sentAt.Sub(revokedAt) > keyRevocationDelay && r.count > 0 {
		out = append(out, fmt.Sprintf("executed with a key that had been revoked %v before it was sent", s.sentAt.Sub(revokedAt).Round(time.Millisecond)))
	}
	if s.plannedOnly && !s.outcome.complete && s.outcome.status == 0 && r.count > 0 && !r.duringFault {
		out = append(out, "lost during a planned stop")
	}
	return out
}
