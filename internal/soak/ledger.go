package soak

import (
	"fmt"
	"sync"
	"time"
)

// outcome is what a caller saw of one request.
type outcome struct {
	status    int    // 0: none came
	complete  bool   // the answer is complete, as far as its form tells
	violation string // what is wrong with the answer, "" for nothing
}

// callerRecord is one request of a caller.
type callerRecord struct {
	kind        string
	key         string
	sentAt      time.Time
	plannedOnly bool // the gateway had only planned stops from a moment before the request to its end
	outcome     outcome
}

// endpointRecord is what endpoints saw of one request.
type endpointRecord struct {
	executions  int
	duringFault bool   // an endpoint's fault touched it
	violation   string // what was wrong with the request, "" for nothing
}

// ledger collects what callers and endpoints see.
type ledger struct {
	mu       sync.Mutex
	requests map[string]callerRecord
	executed map[string]*endpointRecord
	revoked  map[string]time.Time // keys, by when their end was acknowledged
}

func newLedger() *ledger {
	return &ledger{requests: map[string]callerRecord{}, executed: map[string]*endpointRecord{}, revoked: map[string]time.Time{}}
}

func (l *ledger) recordRequest(id string, s callerRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = s
}

func (l *ledger) recordRevocation(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = time.Now()
}

// recordExecution notes that an endpoint works on a request.
func (l *ledger) recordExecution(id string, broken bool, wrong string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.executed[id]
	if r == nil {
		r = &endpointRecord{}
		l.executed[id] = r
	}
	r.executions++
	r.duringFault = r.duringFault || broken
	if wrong != "" {
		r.violation = wrong
	}
}

// report compares both sides.
func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Report
	for id, s := range l.requests {
		r := l.executed[id]
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
	for id := range l.executed {
		if _, ok := l.requests[id]; !ok {
			out.Violations = append(out.Violations, "a request ran that nobody sent: "+id)
		}
	}
	return out
}

func (l *ledger) violations(s callerRecord, r *endpointRecord) []string {
	var out []string
	once := s.kind == "non-idempotent" || s.kind == "streaming"
	if once && r.executions > 1 {
		out = append(out, fmt.Sprintf("ran %d times", r.executions))
	}
	if (s.outcome.status == 503 || s.outcome.status == 429) && r.executions > 0 {
		out = append(out, fmt.Sprintf("answered %d and ran %d times", s.outcome.status, r.executions))
	}
	if s.outcome.violation != "" {
		out = append(out, s.outcome.violation)
	}
	if r.violation != "" {
		out = append(out, r.violation)
	}
	if end, ok := l.revoked[s.key]; ok && s.sentAt.Sub(end) > keyRevocationDelay && r.executions > 0 {
		out = append(out, fmt.Sprintf("ran with a key that was taken away %v before it was sent", s.sentAt.Sub(end).Round(time.Millisecond)))
	}
	if s.plannedOnly && !s.outcome.complete && s.outcome.status == 0 && r.executions > 0 && !r.duringFault {
		out = append(out, "lost in a planned stop")
	}
	return out
}
