package soak

import (
	"fmt"
	"sync"
	"time"
)

// response is what the caller observed of the response to one request.
type response struct {
	status    int    // 0: no response
	complete  bool   // the body was read to its end without an error
	violation string // in the body, "" if none
}

// callerRecord is one request as its caller observed it.
type callerRecord struct {
	kind               string
	key                string
	sentAt             time.Time
	gatewayUndisturbed bool // see gateway.undisturbedSince
	response           response
}

// endpointRecord is one request as the endpoints observed it.
type endpointRecord struct {
	count       int    // number of executions
	duringFault bool   // an execution took place during or shortly after a fault of its endpoint
	violation   string // in the request as forwarded, "" if none
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
func (l *ledger) recordExecution(id string, duringFault bool, violation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	exec := l.executions[id]
	if exec == nil {
		exec = &endpointRecord{}
		l.executions[id] = exec
	}
	exec.count++
	exec.duringFault = exec.duringFault || duringFault
	if violation != "" {
		exec.violation = violation
	}
}

// report compares the records of callers and endpoints. It counts the requests and lists the violations.
func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Report
	for id, req := range l.requests {
		exec := l.executions[id]
		if exec == nil {
			exec = &endpointRecord{}
		}
		out.Requests++
		switch {
		case req.response.complete && req.response.status == 200:
			out.Answered++
		case req.response.status == 503 || req.response.status == 429:
			out.Refused++
		default:
			out.Unknown++
		}
		for _, v := range l.violations(req, exec) {
			out.Violations = append(out.Violations, fmt.Sprintf("%s %s: %s", req.kind, id, v))
		}
	}
	for id := range l.executions {
		if _, ok := l.requests[id]; !ok {
			out.Violations = append(out.Violations, "executed a request that no caller sent: "+id)
		}
	}
	return out
}

// violations describes the violations of the invariants by one request.
func (l *ledger) violations(req callerRecord, exec *endpointRecord) []string {
	var out []string
	atMostOnce := req.kind == "non-idempotent" || req.kind == "streaming"
	if atMostOnce && exec.count > 1 {
		out = append(out, fmt.Sprintf("executed %d times", exec.count))
	}
	if (req.response.status == 503 || req.response.status == 429) && exec.count > 0 {
		out = append(out, fmt.Sprintf("answered %d although it was executed %d times", req.response.status, exec.count))
	}
	if req.response.violation != "" {
		out = append(out, req.response.violation)
	}
	if exec.violation != "" {
		out = append(out, exec.violation)
	}
	if revokedAt, ok := l.revoked[req.key]; ok && req.sentAt.Sub(revokedAt) > keyRevocationDelay && exec.count > 0 {
		out = append(out, fmt.Sprintf("executed with a key that had been revoked %v before it was sent", req.sentAt.Sub(revokedAt).Round(time.Millisecond)))
	}
	if req.gatewayUndisturbed && !req.response.complete && req.response.status == 0 && exec.count > 0 && !exec.duringFault {
		out = append(out, "executed without a response although the gateway and the endpoint were undisturbed")
	}
	return out
}
