package soak

import (
	"testing"
	"time"
)

// whole is the response of a connection on which the whole request was acknowledged.
var whole = response{connected: true, receivedPart: true, receivedAll: true}

func withStatus(status int, complete bool) response {
	r := whole
	r.status, r.complete, r.firstByte = status, complete, true
	return r
}

// TestLedger checks that the ledger reports each kind of violation and nothing else.
func TestLedger(t *testing.T) {
	now := time.Now()
	wrongBody := withStatus(200, true)
	wrongBody.violation = "x"
	for name, tc := range map[string]struct {
		request    callerRecord
		executions int
		present    cause
		key        string // revoked long before the request
		want       string // class of the violation, "" for none
	}{
		"answered":                         {callerRecord{kind: "idempotent", response: withStatus(200, true)}, 2, 0, "", ""},
		"twice":                            {callerRecord{kind: "non-idempotent", response: withStatus(502, true)}, 2, endpointBroken, "", "executed twice"},
		"stream executed twice":            {callerRecord{kind: "streaming", response: withStatus(200, false)}, 2, endpointBroken, "", "executed twice"},
		"refused but executed":             {callerRecord{kind: "idempotent", response: withStatus(503, true)}, 1, 0, "", "refused but executed"},
		"refused, not executed":            {callerRecord{kind: "idempotent", response: withStatus(503, true)}, 0, 0, "", ""},
		"late body, executed":              {callerRecord{kind: "idempotent", response: withStatus(408, true)}, 1, gatewayPaused, "", "refused but executed"},
		"wrong response":                   {callerRecord{kind: "idempotent", response: wrongBody}, 1, 0, "", "wrong body"},
		"other workspace":                  {callerRecord{kind: "idempotent", workspace: otherWorkspace, response: withStatus(200, true)}, 1, 0, "", "wrong request"},
		"revoked key":                      {callerRecord{kind: "idempotent", key: "k", sentAt: now, response: withStatus(200, true)}, 1, 0, "k", "revoked key"},
		"revoked key, refused":             {callerRecord{kind: "idempotent", key: "k", sentAt: now, response: withStatus(401, true)}, 0, keyUncertain, "k", ""},
		"no response":                      {callerRecord{kind: "idempotent", response: whole}, 1, 0, "", "no answer, new connection without excuse"},
		"no response, not executed":        {callerRecord{kind: "idempotent", response: whole}, 0, 0, "", "no answer, new connection without excuse"},
		"no response, gateway killed":      {callerRecord{kind: "idempotent", response: whole}, 1, gatewayKilled, "", ""},
		"no response, planned stop":        {callerRecord{kind: "idempotent", response: whole}, 1, plannedStop, "", "no answer, new connection without excuse"},
		"executed, so it was whole":        {callerRecord{kind: "idempotent", response: response{connected: true, kept: true}}, 1, gatewayDown, "", "no answer, kept connection without excuse"},
		"cut in the request, gateway down": {callerRecord{kind: "idempotent", response: response{connected: true, receivedPart: true}}, 0, gatewayDown, "", ""},
	} {
		l := newLedger()
		l.recordRequest("id", tc.request)
		for range tc.executions {
			l.recordExecution("id", "i-1", "", "")
		}
		if tc.key != "" {
			l.revoked[tc.key] = now.Add(-2 * keyRevocationDelay)
		}
		got := l.report(now, func(Outcome, callerRecord, *endpointRecord) cause { return tc.present }).Violations
		if (tc.want == "") != (len(got) == 0) || len(got) > 1 || (len(got) == 1 && got[0].Class != tc.want) {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// TestUnaskedExecution checks that an execution of a request that nobody sent is a violation.
func TestUnaskedExecution(t *testing.T) {
	l := newLedger()
	l.recordExecution("id", "i-1", "", "")
	if got := l.report(time.Now(), nil).Violations; len(got) != 1 || got[0].Class != "unasked" {
		t.Errorf("%q", got)
	}
}

// TestExcuses checks for each outcome which circumstances excuse it, among all single ones.
func TestExcuses(t *testing.T) {
	const none = cause(0)
	for o, want := range map[Outcome]cause{
		Unauthorized:    keyUncertain,
		NotFound:        routeRemoved,
		BodyLate:        gatewayPaused | timeOver,
		ClientError:     none,
		EndpointFailure: endpointFailing,
		Blocked:         isQueryOfDeath,
		BadGateway:      endpointBroken | endpointFailing | endpointLink | endpointEnded | gatewayPaused | graceOver,
		GatewayTimeout:  timeOver | gatewayPaused,
		OtherStatus:     none,
		NotConnected:    gatewayKilled | gatewayPaused | gatewayDown,
		CutInRequest:    gatewayKilled | gatewayPaused | gatewayDown | graceOver,
		ClosedWhileIdle: gatewayKilled | gatewayPaused | graceOver | closeAnnounced,
		NoAnswerNew:     gatewayKilled | gatewayPaused,
		NoAnswerKept:    gatewayKilled | gatewayPaused,
		Truncated:       gatewayKilled | gatewayPaused | graceOver | endpointBroken | endpointFailing | endpointLink | endpointEnded | timeOver,
		CallerDeadline:  gatewayPaused,
		CallerLeft:      ownEnd,
	} {
		if excused(o, none) {
			t.Errorf("%v needs no excuse", o)
		}
		for i := range causeNames {
			if c := cause(1) << i; excused(o, c) != (want&c != 0) {
				t.Errorf("%v beside %v: excused %t", o, c, excused(o, c))
			}
		}
	}
	for _, o := range []Outcome{Answered, Refused} {
		if !excused(o, none) {
			t.Errorf("%v needs an excuse", o)
		}
	}
}

// TestTimeline checks which circumstances concern a request.
func TestTimeline(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	tl := &timeline{spans: []*span{
		{cause: gatewayKilled, subject: "g-1", from: at(10), to: at(20)},
		{cause: gatewayPaused, subject: "g-2", from: at(10)},
		{cause: storeAway, from: at(30), to: at(40)},
		{cause: graceOver, subject: "g-1", from: at(17), to: at(15)}, // the process had ended before
		{cause: routeTargets, subject: routeSubject("a"), detail: "b", from: at(10), to: at(20)},
	}}
	for name, tc := range map[string]struct {
		start, end int
		subject    string
		want       cause
	}{
		"before":             {1, 9, "g-1", 0},
		"over the begin":     {1, 11, "g-1", gatewayKilled},
		"within":             {14, 18, "g-1", gatewayKilled},
		"over the end":       {19, 25, "g-1", gatewayKilled},
		"after":              {21, 25, "g-1", 0},
		"of another process": {14, 18, "g-3", 0},
		"without an end":     {100, 101, "g-2", gatewayPaused},
		"of all processes":   {35, 36, "g-3", storeAway},
	} {
		if got := tl.between(at(tc.start), at(tc.end), tc.subject); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
	if got := tl.servicesOf("a", at(15), at(16)); len(got) != 2 || got[1] != "b" {
		t.Errorf("services of the route while it is moved: %q", got)
	}
	if got := tl.servicesOf("a", at(25), at(26)); len(got) != 1 {
		t.Errorf("services of the route later: %q", got)
	}
}

// TestFailedSeeds checks that each regression seed names its mix and its cause.
func TestFailedSeeds(t *testing.T) {
	seeds, err := FailedSeeds()
	if err != nil || len(seeds) == 0 {
		t.Fatal(seeds, err)
	}
	for _, s := range seeds {
		if _, ok := mixes[s.Mix]; !ok || s.Cause == "" {
			t.Errorf("%+v", s)
		}
	}
}

// TestTruncatedResponseNeedsAFaultyEndpointThatExecutedIt checks that faults of other endpoints explain no truncated
// response, but may explain a 502.
func TestTruncatedResponseNeedsAFaultyEndpointThatExecutedIt(t *testing.T) {
	now := time.Now()
	tl := &timeline{}
	r := &run{timeline: tl, operator: newOperator(nil, tl, firstKey, 0), endpoints: []*endpoint{{id: "i-1", kind: "resumable"}, {id: "i-2", kind: "resumable"}}}
	tl.add(&span{cause: endpointLink, subject: "i-2", from: now, to: now.Add(time.Second)})
	req := callerRecord{kind: "resumable", key: firstKey, sentAt: now, endedAt: now.Add(time.Second)}
	for _, tc := range []struct {
		outcome  Outcome
		executed []string
		want     bool
	}{
		{Truncated, []string{"i-1"}, false},
		{Truncated, []string{"i-1", "i-2"}, true},
		{BadGateway, []string{"i-1"}, true},
	} {
		present := r.circumstances(tc.outcome, req, &endpointRecord{count: len(tc.executed), endpoints: tc.executed})
		if got := excused(tc.outcome, present); got != tc.want {
			t.Errorf("%v, executed at %q: excused %t by %v", tc.outcome, tc.executed, got, present)
		}
	}
}

// TestEndOfAStopExcusesNoRequestBegunLate checks that a gateway may not begin a request late in a planned stop and end it, and that it has to answer one
// that it ends unless a stream has begun.
func TestEndOfAStopExcusesNoRequestBegunLate(t *testing.T) {
	stop := time.Now()
	tl := &timeline{}
	tl.add(&span{cause: lateInStop, subject: "g-1", from: stop.Add(lastBeginDelay)})
	tl.add(&span{cause: graceOver, subject: "g-1", from: stop.Add(gracePeriod - stopReserve)})
	r := &run{timeline: tl, operator: newOperator(nil, tl, firstKey, 0)}
	for _, tc := range []struct {
		outcome   Outcome
		sentAfter time.Duration
		want      bool
	}{
		{BadGateway, 2 * time.Second, true}, {BadGateway, 5 * time.Second, false},
		{Truncated, 2 * time.Second, true},
		{NoAnswerNew, 2 * time.Second, false}, {NoAnswerNew, 5 * time.Second, false},
		{NoAnswerKept, 2 * time.Second, false}, {NoAnswerKept, 5 * time.Second, false},
	} {
		req := callerRecord{gateway: "g-1", kind: "resumable", key: firstKey, sentAt: stop.Add(tc.sentAfter), endedAt: stop.Add(gracePeriod)}
		if got := excused(tc.outcome, r.circumstances(tc.outcome, req, &endpointRecord{count: 1})); got != tc.want {
			t.Errorf("%v, sent %v after the signal: excused %t, want %t", tc.outcome, tc.sentAfter, got, tc.want)
		}
	}
}
