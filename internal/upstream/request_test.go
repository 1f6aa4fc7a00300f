package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestRequestsToEndpoints checks the request line and headers sent to an endpoint, and which headers are withheld.
func TestRequestsToEndpoints(t *testing.T) {
	d := core.Dispatch{
		ID: "r", Addr: "192.0.2.1:80", Kind: fleet.Engine, Workspace: "yard", Priority: 3,
		Deadline: time.Now().Add(time.Hour), Stream: "a/b",
	}
	resume := d
	resume.Resume = true
	resume.Offset = 7
	call := d
	call.Kind = fleet.Service
	call.Stream = ""
	rq := &Request{
		Method: http.MethodPatch, Path: "/x%2Fy?z=1", Body: []byte("b"),
		Header: http.Header{
			"Authorization": {"Bearer key"}, "Dandelionvane-Ticket": {"t"}, "Connection": {"close, X-Hop"},
			"X-Hop": {"1"}, "X-Workspace": {"forged"}, "Te": {"trailers"}, "Idempotency-Key": {"k"}, "X-Own": {"1", "2"},
		},
	}
	for name, tc := range map[string]struct {
		d         core.Dispatch
		line      string
		requestID string
	}{
		"chat":    {d, "POST http://192.0.2.1:80/v1/chat/completions", "a/b"},
		"resume":  {resume, "GET http://192.0.2.1:80/v1/streams/a%2Fb?offset=7", "a/b"},
		"service": {call, "PATCH http://192.0.2.1:80/x%2Fy?z=1", "r"},
	} {
		r, err := newRequest(context.Background(), tc.d, rq)
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Method + " " + r.URL.String(); got != tc.line {
			t.Errorf("%s: %s", name, got)
		}
		h := r.Header
		if h.Get("X-Request-Id") != tc.requestID || h.Get("X-Workspace") != "yard" || h.Get("X-Priority") != "3" || h.Get("X-Deadline-Ms") == "" {
			t.Errorf("%s: %v", name, h)
		}
		for _, secret := range []string{"Authorization", "Dandelionvane-Ticket", "X-Hop", "Te", "Connection"} {
			if h.Get(secret) != "" {
				t.Errorf("%s: the endpoint is sent %s", name, secret)
			}
		}
		if r.GetBody != nil {
			t.Errorf("%s: net/http can resend the body", name)
		}
		if tc.d.Kind == fleet.Service && (len(h["X-Own"]) != 2 || h.Get("Idempotency-Key") != "k" || r.ContentLength != 1) {
			t.Errorf("%s: %v, %d bytes", name, h, r.ContentLength)
		}
	}
	if len(rq.Header["X-Workspace"]) != 1 || rq.Header.Get("X-Workspace") != "forged" {
		t.Errorf("the caller's headers were changed: %v", rq.Header)
	}
}
