package ingress

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// publishTimeout publishes a timeout for all routes.
func (ts *testServer) publishTimeout(d time.Duration) {
	c := testConfig()
	c.Version = 2
	for i := range c.Routes {
		c.Routes[i].Timeout = d
	}
	ts.store.Write(publishedtest.Config(c))
	ts.readStore()
}

// TestAnswerOfAProcessThatWasHeldUpIsSent guards against a connection that is closed without an answer because the process
// was held up beyond the request's time: the caller has not said how long it waits, and still does.
func TestAnswerOfAProcessThatWasHeldUpIsSent(t *testing.T) {
	for _, body := range []string{"", "body"} {
		ts := startTestServer(t, answerGood)
		ts.publishTimeout(300 * time.Millisecond)
		ts.server.control = slowControl{ts.control, 1500 * time.Millisecond}
		if g := ts.send("POST", "idempotent", body); g.err != nil {
			t.Errorf("body %q: no answer: %v", body, g.err)
		} else {
			t.Logf("status %d", g.status)
		}
	}
}

// holdUpAtCall is a Control that is held up for a while after one of its calls.
type holdUpAtCall struct {
	next  Control
	at    int32 // number of that call, from 1
	calls atomic.Int32
	pause time.Duration
}

// Do implements Control.
func (c *holdUpAtCall) Do(f func(*control.State, boottime.Instant)) {
	c.next.Do(f)
	if c.calls.Add(1) == c.at {
		time.Sleep(c.pause)
	}
}

// TestRequestIsAnsweredWhereverTheProcessIsHeldUp guards against a connection that is closed without an answer.
func TestRequestIsAnsweredWhereverTheProcessIsHeldUp(t *testing.T) {
	for i, step := range []string{"admitted", "placed", "head received", "ended"} {
		t.Run(step, func(t *testing.T) {
			ts := startTestServer(t, answerGood)
			ts.publishTimeout(100 * time.Millisecond)
			ts.server.control = &holdUpAtCall{next: ts.control, at: int32(i + 1), pause: 100*time.Millisecond + resumeSlack + 200*time.Millisecond}
			g := ts.send("POST", "non-idempotent", "body")
			if g.err != nil || g.status != http.StatusOK && g.status != http.StatusGatewayTimeout {
				t.Errorf("status %d, %v; want 200 or 504", g.status, g.err)
			}
		})
	}
}
