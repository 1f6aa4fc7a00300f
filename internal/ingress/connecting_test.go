package ingress

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
)

// TestDeadlineWhileConnectingIsNoTimeoutOfTheEndpoint guards against taking a sound endpoint for unreachable, and cutting
// its silent streams, because the time of another request was over before it was connected.
func TestDeadlineWhileConnectingIsNoTimeoutOfTheEndpoint(t *testing.T) {
	begun, events := make(chan struct{}), eventsText(1, 4)
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		writeEvents(c, 1, 2)
		close(begun)
		time.Sleep(800 * time.Millisecond) // below the hang timeout of the route
		writeEvents(c, 3, 4)
		endChunkedBody(c)
	}, "v1")
	stream := make(chan callerResult)
	go func() { stream <- ts.send("POST", "resumable", "") }()
	<-begun
	late := New(slowControl{ts.control, 60 * time.Millisecond}, testHeaderCodec{}, exchange.NewClient(time.Second), ts.server.meter)
	srv := httptest.NewServer(late)
	defer srv.Close()
	lateServer := testServer{t: t, url: srv.URL}
	if g := lateServer.send("GET", "idempotent", "", "X-Wait-Ms", "100"); g.err != nil || g.status != http.StatusGatewayTimeout {
		t.Errorf("request without time left: status %d, %v, want 504", g.status, g.err)
	}
	ts.control.Do(func(s *control.State, now boottime.Instant) {
		for _, e := range s.Dump(now).Endpoints {
			if e.Down {
				t.Errorf("endpoint %s counts as unreachable", e.ID)
			}
		}
	})
	if g := <-stream; g.err != nil || g.body != events {
		t.Errorf("the stream of a sound endpoint: %q, %v", g.body, g.err)
	}
}
