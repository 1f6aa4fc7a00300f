package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestSilentAttemptIsNotGivenUpForAnEndpointThatIsGone guards against ending a response of a sound endpoint that is only silent
// because the endpoint of the next attempt refuses the connection.
func TestSilentAttemptIsNotGivenUpForAnEndpointThatIsGone(t *testing.T) {
	for route, want := range map[string]string{"idempotent": "good", "resumable": eventsText(1, 4)} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			ts := startTestServer(t, func(_ int, c net.Conn, r *http.Request) {
				time.Sleep(1500 * time.Millisecond)
				respondCompletely(c, r)
			}, "v1")
			ts.publishUrgentConfig()
			gone, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			gone.Close()
			time.AfterFunc(300*time.Millisecond, func() { // the request runs at the only other endpoint
				e := fleet.Endpoint{ID: "gone", Addr: gone.Addr().String(), Service: "s", Version: "v1"}
				ts.store.Write(publishedtest.Endpoint(e, 0))
				ts.readStore()
			})
			if g := ts.send("POST", route, ""); g.err != nil || g.status != 200 || g.body != want {
				t.Errorf("status %d, %q, %v, want the response of the sound endpoint", g.status, g.body, g.err)
			}
		})
	}
}
