package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

// brokenHeads are heads that are no valid ones of a response to a request.
var brokenHeads = map[string]string{
	"status 000":      "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ntext",
	"status 600":      "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\ntext",
	"status 101":      "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	"blank in a name": "HTTP/1.1 201 X\r\nX One: 1\r\nContent-Length: 4\r\n\r\ntext",
	"HTTP/2.0":        "HTTP/2.0 201 X\r\nContent-Length: 4\r\n\r\ntext",
	"control byte":    "HTTP/1.1 201 X\r\nX\x01One: 1\r\nContent-Length: 4\r\n\r\ntext",
	"blank in the name of a stream's field": "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nX One: 1\r\n" +
		"\r\n" + "id: 1\ndata: t1\n\n" + doneLine,
	"blank in the name of a refusal's field": strings.Replace(refusalResponse, "\r\nRetry-After", "\r\nX One: 1\r\nRetry-After", 1),
}

// TestBrokenHeadIsLost guards against a response that is passed on, or believed, although its head is not valid.
func TestBrokenHeadIsLost(t *testing.T) {
	for name, raw := range brokenHeads {
		for kind, tc := range map[string]struct {
			d  core.Dispatch
			rq *Request
		}{"chat": {chatDispatch, chatCall}, "service": {serviceDispatch, serviceCall}} {
			s := &fakeServer{serve: respondWith(raw)}
			sink := &recordingSink{}
			ev := run(s.client(t), tc.d, tc.rq, sink)
			if _, lost := ev.(core.AttemptLost); !lost || sink.status != 0 || len(sink.events) > 0 || sink.ended {
				t.Errorf("%s, %s: %+v, status %d and %d events are passed on", kind, name, ev, sink.status, len(sink.events))
			}
		}
	}
}

// TestBrokenHeadOfALoadReport guards against a load report that is believed although its head is not valid, and against a connection that is used
// after it.
func TestBrokenHeadOfALoadReport(t *testing.T) {
	const report = `{"incarnation":1,"running":1,"queued":0,"capacity":4,"age_ms":1}`
	for name, head := range map[string]string{
		"blank in a name": "HTTP/1.1 200 X\r\nX One: 1\r\nContent-Length: 64\r\n\r\n",
		"HTTP/2.0":        "HTTP/2.0 200 X\r\nContent-Length: 64\r\n\r\n",
	} {
		s := &fakeServer{serve: func(c net.Conn) {
			br := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, head+report)
			}
		}}
		c := s.client(t)
		for range 2 {
			if load, err := c.PollLoad(context.Background(), "e", "192.0.2.1:80"); err == nil {
				t.Errorf("%s: %+v", name, load)
			}
		}
		if n := s.dials.Load(); n != 2 {
			t.Errorf("%s: %d connections for two reports", name, n)
		}
	}
}
