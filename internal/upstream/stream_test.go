package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

func TestStreamOffsets(t *testing.T) {
	for name, tc := range map[string]struct {
		offset uint64
		events []string
		want   string // data forwarded
		done   bool
	}{
		"repeats are dropped":          {0, []string{"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", doneLine}, "ab", true},
		"resume before the offset":     {2, append(numberedEvents(1, 4), doneLine), "t3t4", true},
		"resume at the end":            {3, []string{doneLine}, "", true},
		"a gap is an error":            {0, []string{"id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n", doneLine}, "a", false},
		"a resume after the offset":    {2, append(numberedEvents(4, 5), doneLine), "", false},
		"late events are out of order": {0, []string{"id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n", doneLine}, "", false},
		"an event without an id":       {0, []string{"data: a\n\n", doneLine}, "", false},
		"a huge id":                    {0, []string{"id: 18446744073709551616\ndata: a\n\n", doneLine}, "", false},
		"no end marker":                {0, numberedEvents(1, 2), "t1t2", false},
	} {
		s := &fakeServer{serve: respondWith(streamResponse(tc.events...))}
		d := chatDispatch
		d.Resume = tc.offset > 0
		d.Offset = tc.offset
		got := &recordingSink{offset: tc.offset}
		ev := run(s.client(t), d, chatCall, got)
		if _, done := ev.(core.AttemptDone); done != tc.done || strings.Join(got.events, "") != tc.want {
			t.Errorf("%s: %+v after %q", name, ev, got.events)
		}
	}
}

func TestReplies(t *testing.T) {
	resume := chatDispatch
	resume.Resume = true
	for name, tc := range map[string]struct {
		d        core.Dispatch
		response string
		want     core.Event
	}{
		"stream unknown to the engine": {resume, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
			core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseProtocol, StreamGone: true}},
		"refusal": {chatDispatch, refusalResponse,
			core.AttemptNotSent{ID: "request", Attempt: 1, Cause: core.CauseRefused, RetryAfter: 3 * time.Second}},
		"overload without a not-run header": {chatDispatch, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
			core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseProtocol}},
		"not-run header on another status": {chatDispatch, "HTTP/1.1 500 Error\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
			core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseProtocol}},
		"a response without framing": {serviceDispatch, "HTTP/1.1 200 OK\r\n\r\nbooked",
			core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseProtocol}},
		"usage": {chatDispatch, streamResponse(`id: 1`+"\n"+`data: {"usage":{"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":5}}}`+"\n\n", doneLine),
			core.AttemptDone{ID: "request", Attempt: 1, Status: http.StatusOK, Tokens: 7, CachedTokens: 5}},
	} {
		s := &fakeServer{serve: respondWith(tc.response)}
		rq := chatCall
		if tc.d.Kind == fleet.Service {
			rq = serviceCall
		}
		if ev := run(s.client(t), tc.d, rq, &recordingSink{}); ev != tc.want {
			t.Errorf("%s: got %+v, want %+v", name, ev, tc.want)
		}
	}
}

// TestSilentStream checks that an attempt ends after the progress timeout if the connection
// stalls without an error. Time that the caller takes does not count as a stall, and
// comment lines do not count as progress.
func TestSilentStream(t *testing.T) {
	for name, tc := range map[string]struct {
		events []string
		pause  time.Duration // after each event, at the engine
		delay  time.Duration // of each event, at the caller
		want   core.Event
		after  time.Duration
	}{
		"silent from the start": {nil, 0, 0, core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseNoProgress}, 5 * time.Second},
		"silent after 2 events": {numberedEvents(1, 2), 0, 0, core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseNoProgress, Offset: 2}, 2 * time.Second},
		"comments only":         {append(numberedEvents(1, 1), ": ping\n\n", ": ping\n\n", ": ping\n\n"), time.Second, 0, core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseNoProgress, Offset: 1}, 2 * time.Second},
		"slow engine":           {append(numberedEvents(1, 4), doneLine), 2*time.Second - 1, 0, core.AttemptDone{ID: "request", Attempt: 1, Status: http.StatusOK}, 8*time.Second - 4},
		"slow caller":           {append(numberedEvents(1, 2), doneLine), 0, time.Minute, core.AttemptDone{ID: "request", Attempt: 1, Status: http.StatusOK}, 2 * time.Minute},
	} {
		synctest.Test(t, func(t *testing.T) {
			stop := make(chan struct{})
			s := &fakeServer{serve: func(c net.Conn) { sendSlowly(c, tc.events, tc.pause, stop) }}
			c := s.client(t)
			start := time.Now()
			ev := run(c, chatDispatch, chatCall, &recordingSink{delay: tc.delay})
			took := time.Since(start)
			close(stop)
			if ev != tc.want || took != tc.after {
				t.Errorf("%s: %+v after %v, want %+v after %v", name, ev, took, tc.want, tc.after)
			}
		})
	}
}

// sendSlowly sends events with a pause after each, then keeps the connection open without sending.
func sendSlowly(c net.Conn, events []string, pause time.Duration, stop chan struct{}) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if len(events) > 0 {
		_, _ = io.WriteString(c, streamResponse())
	}
	for _, e := range events {
		_, _ = io.WriteString(c, strings.TrimPrefix(streamResponse(e), streamResponse()))
		time.Sleep(pause)
	}
	<-stop
}

func FuzzDecodeLoad(f *testing.F) {
	f.Add(`{"incarnation":1,"running":2,"queued":3,"capacity":4,"age_ms":5}`)
	f.Fuzz(func(t *testing.T, s string) {
		rep, err := decodeLoad("e", strings.NewReader(s))
		if err == nil && (rep.Running < 0 || rep.Queued < 0 || rep.Capacity < 0 || rep.Age < 0) {
			t.Fatalf("%q gave %+v", s, rep)
		}
	})
}

// TestStalledBody checks that the body of a response that may be retried ends the attempt after the progress timeout
// without a byte, and that of any other only at the deadline.
func TestStalledBody(t *testing.T) {
	for name, tc := range map[string]struct {
		idempotent bool
		after      time.Duration
	}{"idempotent": {true, 2 * time.Second}, "non-idempotent": {false, 9 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			stop := make(chan struct{})
			s := &fakeServer{serve: func(c net.Conn) {
				respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")(c)
				<-stop
			}}
			d, rq := serviceDispatch, *serviceCall
			d.Deadline, rq.Idempotent = time.Now().Add(9*time.Second), tc.idempotent
			start := time.Now()
			ev := run(s.client(t), d, &rq, &recordingSink{})
			took := time.Since(start)
			close(stop)
			want := core.AttemptLost{ID: "request", Attempt: 1, Cause: core.CauseNoProgress}
			if lost, ok := ev.(core.AttemptLost); !ok || lost.Cause != want.Cause || took != tc.after {
				t.Errorf("%s: %+v after %v, want %+v after %v", name, ev, took, want, tc.after)
			}
		})
	}
}
