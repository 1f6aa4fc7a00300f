package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

const (
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nfull"
	sizedResponse   = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked"
	chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nboo\r\n3\r\nked\r\n0\r\n\r\n"
	doneLine        = "data: [DONE]\n\n"
)

func streamResponse(events ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, e := range events {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	return b.String()
}

func numberedEvents(from, to int) []string {
	var out []string
	for i := from; i <= to; i++ {
		out = append(out, fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i))
	}
	return out
}

// TestRequestCutAtEachByte closes the connection after each possible number of request bytes.
func TestRequestCutAtEachByte(t *testing.T) {
	for name, tc := range map[string]struct {
		d  core.Dispatch
		rq *Request
	}{"chat": {chatDispatch, chatCall}, "service": {serviceDispatch, serviceCall}} {
		length := requestLength(t, tc.d, tc.rq)
		for cut := range length {
			s := &fakeServer{serve: func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, cut)) }}
			ev := run(s.client(t), tc.d, tc.rq, &recordingSink{})
			switch ev := ev.(type) {
			case core.AttemptNotSent:
				if cut > 0 {
					t.Fatalf("%s: %d bytes arrived and the event is %+v", name, cut, ev)
				}
			case core.AttemptLost:
				if cut == 0 {
					t.Fatalf("%s: no byte arrived and the event is %+v", name, ev)
				}
			default:
				t.Fatalf("%s: cut at %d: %+v", name, cut, ev)
			}
			if s.dials.Load() != 1 {
				t.Fatalf("%s: cut at %d: sent over %d connections", name, cut, s.dials.Load())
			}
		}
	}
}

func requestLength(t *testing.T, d core.Dispatch, rq *Request) int {
	n := 0
	s := &fakeServer{serve: func(c net.Conn) {
		b := make([]byte, 1<<16)
		for {
			k, err := c.Read(b)
			n += k
			if err != nil || strings.HasSuffix(string(b[:k]), "}") {
				return
			}
		}
	}}
	run(s.client(t), d, rq, &recordingSink{})
	s.wg.Wait()
	return n
}

// TestReplyCutAtEachByte closes the connection after each possible number of response bytes.
func TestReplyCutAtEachByte(t *testing.T) {
	chat := streamResponse(append(numberedEvents(1, 3), doneLine)...)
	for name, tc := range map[string]struct {
		d        core.Dispatch
		rq       *Request
		response string
		decided  int // number of response bytes after which the attempt is not lost
		refusal  bool
	}{
		"refused chat":     {chatDispatch, chatCall, refusalResponse, strings.Index(refusalResponse, "full"), true},
		"refused service":  {serviceDispatch, serviceCall, refusalResponse, strings.Index(refusalResponse, "full"), true},
		"sized response":   {serviceDispatch, serviceCall, sizedResponse, len(sizedResponse), false},
		"chunked response": {serviceDispatch, serviceCall, chunkedResponse, len(chunkedResponse), false},
		"stream":           {chatDispatch, chatCall, chat, strings.Index(chat, doneLine) + len(doneLine), false},
	} {
		for cut := 0; cut <= len(tc.response); cut++ {
			s := &fakeServer{serve: respondWith(tc.response[:cut])}
			got := &recordingSink{}
			ev := run(s.client(t), tc.d, tc.rq, got)
			checkCut(t, fmt.Sprintf("%s cut at %d", name, cut), ev, got, cut >= tc.decided, tc.refusal)
		}
	}
}

func checkCut(t *testing.T, name string, ev core.Event, got *recordingSink, decided, refusal bool) {
	t.Helper()
	switch ev := ev.(type) {
	case core.AttemptNotSent:
		if !decided || !refusal {
			t.Fatalf("%s: wrong event %+v", name, ev)
		}
	case core.AttemptDone:
		if !decided || refusal || !got.ended {
			t.Fatalf("%s: wrong event %+v", name, ev)
		}
		if whole := strings.Join(got.events, "") + got.body.String(); whole != "t1t2t3" && whole != "booked" {
			t.Fatalf("%s: response %q", name, whole)
		}
	case core.AttemptLost:
		if decided || got.ended {
			t.Fatalf("%s: %+v although the response was complete", name, ev)
		}
		if ev.Offset != got.offset || len(got.events) != int(got.offset) {
			t.Fatalf("%s: offset %d after the events %q", name, ev.Offset, got.events)
		}
	}
}

// TestNoRequestIsResent closes the connection at the endpoint after it read the second
// request. On a kept-alive connection net/http would resend that request by itself.
func TestNoRequestIsResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		requests := 0
		s := &fakeServer{}
		s.serve = func(c net.Conn) {
			for {
				head := make([]byte, 4096)
				if _, err := c.Read(head); err != nil {
					return
				}
				requests++
				if requests != 1 {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
		c := s.client(t)
		rq := &Request{Method: method, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}}
		if ev, ok := run(c, serviceDispatch, rq, &recordingSink{}).(core.AttemptDone); !ok {
			t.Fatalf("%s: first call: %+v", method, ev)
		}
		ev := run(c, serviceDispatch, rq, &recordingSink{})
		s.wg.Wait()
		if lost, ok := ev.(core.AttemptLost); !ok || requests != 2 {
			t.Errorf("%s: second call: %+v after %d requests", method, lost, requests)
		}
	}
}
