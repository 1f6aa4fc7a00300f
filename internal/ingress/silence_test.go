package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	silentCallerTimeout = 20 * time.Second // of the callers in these tests
	eventPause          = 50 * time.Millisecond
)

// silence is the spans of time in which endpoints that are otherwise sound send nothing.
type silence struct {
	endpoint string // ID of the only silent endpoint; "": all are silent
	began    time.Time
	first    time.Duration // start of the first span
	length   time.Duration // of each span
	pause    time.Duration // between two spans
	count    int
}

// wait returns at once, or at the end of the span if the endpoint is silent.
func (s *silence) wait(endpoint string) {
	if s.endpoint != "" && s.endpoint != endpoint {
		return
	}
	for i := range s.count {
		start := s.began.Add(s.first + time.Duration(i)*(s.length+s.pause))
		if d := time.Until(start.Add(s.length)); d > 0 && time.Until(start) <= 0 {
			time.Sleep(d)
		}
	}
}

// respond is a responder of complete responses, of which it sends no part while the endpoint is silent: a stream of
// the given number of events, continued after the last one that the request names, or a body that takes as long.
func (s *silence) respond(events int) responder {
	return func(_ int, c net.Conn, r *http.Request) {
		endpoint, stream := r.Header.Get("X-Expect"), r.URL.Path != "/idempotent/x" && r.URL.Path != "/non-idempotent/x"
		next := 1
		_, _ = fmt.Sscan(r.Header.Get("X-After"), &next)
		if r.Header.Get("X-After") != "" {
			next++
		}
		s.wait(endpoint)
		if stream {
			writeHeadOf(c, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		} else {
			writeHeadOf(c, r, "Transfer-Encoding: chunked")
		}
		for ; next <= events; next++ {
			time.Sleep(eventPause)
			s.wait(endpoint)
			writeEvents(c, next, next)
		}
		endChunkedBody(c)
	}
}

// writeHeadOf writes the head of a response of status 200 to a request.
func writeHeadOf(c net.Conn, r *http.Request, lines ...string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nX-Stamp: 1\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n")
	for _, l := range lines {
		_, _ = io.WriteString(c, l+"\r\n")
	}
	_, _ = io.WriteString(c, "\r\n")
}

// busyControl is a Control whose event loop is held up: calls wait for up to busyPeriod and then run together.
type busyControl struct{ next Control }

const busyPeriod = 20 * time.Millisecond

// Do implements Control.
func (c busyControl) Do(f func(*control.State, boottime.Instant)) {
	time.Sleep(time.Until(time.Now().Truncate(busyPeriod).Add(busyPeriod)))
	c.next.Do(f)
}

// urgentConfig is testConfig with goals for which the hang timeouts are the lowest.
func urgentConfig() *routing.Config {
	c := testConfig()
	for i := range c.Routes {
		c.Routes[i].GoalLatency, c.Routes[i].GoalEventGap = 100*time.Millisecond, 100*time.Millisecond
	}
	return c
}

func (ts *testServer) publishUrgentConfig() {
	ts.store.Write(publishedtest.Config(urgentConfig()))
	ts.readStore()
}

// awaitRequests waits until n different requests have reached endpoints.
func (ts *testServer) awaitRequests(n int) {
	for end := time.Now().Add(silentCallerTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ids := map[string]bool{}
		requests, _, _ := ts.received()
		for _, r := range requests {
			ids[r.Header.Get("X-Id")] = true
		}
		if len(ids) >= n {
			return
		}
	}
	ts.t.Errorf("fewer than %d requests have reached endpoints", n)
}

// moveRoutes publishes a configuration that moves all routes to a service without endpoints.
func (ts *testServer) moveRoutes() {
	c := urgentConfig()
	c.Version = 2
	c.Services = append(c.Services, routing.Service{ID: "empty"})
	for i := range c.Routes {
		c.Routes[i].Targets = []routing.Target{{Service: "empty", Weight: 1}}
	}
	ts.store.Write(publishedtest.Config(c))
	ts.readStore()
}

// removeEndpoints deletes the entries of endpoints.
func (ts *testServer) removeEndpoints(ids ...fleet.EndpointID) {
	for _, id := range ids {
		ts.store.Write(publishedtest.EndpointGone(id))
	}
	ts.readStore()
}

// sendMany sends requests to a route at the given interval and returns the number of those that did not get the complete response.
func (ts *testServer) sendMany(count int, interval time.Duration, route string, want string) (failed int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range count {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * interval)
			g := ts.send("POST", route, "", "X-Id", fmt.Sprintf("%s-%d", route, n), "X-Wait-Ms", fmt.Sprint(silentCallerTimeout.Milliseconds()))
			if g.err == nil && g.status == http.StatusOK && g.body == want {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed++
			if failed <= 3 {
				ts.t.Logf("%s-%d: status %d, %d of %d bytes, %v", route, n, g.status, len(g.body), len(want), g.err)
			}
		})
	}
	wg.Wait()
	return failed
}

// TestSilenceOfSoundEndpointsEndsNoResponse: requests of every kind are answered completely if one or all of their
// endpoints are silent for a second or so, several times in one response, with and without a configuration that
// leaves them no other endpoint.
func TestSilenceOfSoundEndpointsEndsNoResponse(t *testing.T) {
	const events, perRoute = 24, 8
	var cases sync.WaitGroup // they mostly wait
	for _, length := range []time.Duration{500, 1000, 1500, 2000} {
		for _, endpoint := range []string{"", "e0"} {
			for _, change := range []string{"", "routes moved", "others removed"} {
				name := fmt.Sprintf("%v,endpoint=%s,change=%s", length*time.Millisecond, endpoint, change)
				cases.Go(func() {
					t.Run(name, func(t *testing.T) {
						s := &silence{endpoint: endpoint, first: 400 * time.Millisecond, length: length * time.Millisecond, pause: 300 * time.Millisecond, count: 3}
						// The budget allows a retry to a few of the requests that are silent at the same time.
						ts := startTestServerWith(t, control.Options{RetryRatio: 0.2, RetryExtra: 2}, s.respond(events))
						ts.server.control = busyControl{ts.control}
						ts.publishUrgentConfig()
						s.began = time.Now()
						var wg sync.WaitGroup
						wg.Go(func() {
							ts.awaitRequests(4 * perRoute)
							switch change {
							case "routes moved":
								ts.moveRoutes()
							case "others removed":
								ts.removeEndpoints("e1", "e2")
							}
						})
						for _, route := range []string{"idempotent", "non-idempotent", "stream", "resumable"} {
							wg.Go(func() {
								if n := ts.sendMany(perRoute, eventPause, route, eventsText(1, events)); n != 0 {
									t.Errorf("%d of %d requests of route %s have no complete response", n, perRoute, route)
								}
							})
						}
						wg.Wait()
					})
				})
			}
		}
	}
	cases.Wait()
}

// TestSilentStreamsBeyondTheRetryBudgetAreNotCut guards against giving up many streams of one silent endpoint at
// once, of which the retry budget allows few to be resumed.
func TestSilentStreamsBeyondTheRetryBudgetAreNotCut(t *testing.T) {
	const streams, events, retries = 60, 20, 5
	s := &silence{endpoint: "e0", first: 900 * time.Millisecond, length: 1300 * time.Millisecond, count: 1, began: time.Now()}
	ts := startTestServerWith(t, control.Options{RetryExtra: retries + 1}, s.respond(events), "v1")
	ts.server.control = busyControl{ts.control}
	ts.publishUrgentConfig()
	// The others are listed when all streams run at the first one.
	addOthers := time.AfterFunc(600*time.Millisecond, func() {
		ts.addEndpoint("e1", "v1", s.respond(events))
		ts.addEndpoint("e2", "v1", s.respond(events))
		ts.readStore()
	})
	defer addOthers.Stop()
	if n := ts.sendMany(streams, 0, "resumable", eventsText(1, events)); n != 0 {
		t.Errorf("%d of %d streams were cut", n, streams)
	}
	if n := ts.arrivals() - streams; n > retries {
		t.Errorf("%d retries, the budget allows %d", n, retries)
	}
}

// TestSilentUnreachableEndpointWithoutAnAlternative guards against ending responses of an endpoint that is silent, and
// to which a connection has timed out, while no other endpoint is eligible.
func TestSilentUnreachableEndpointWithoutAnAlternative(t *testing.T) {
	for _, route := range []string{"idempotent", "resumable"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s := &silence{first: 300 * time.Millisecond, length: 1500 * time.Millisecond, count: 1, began: time.Now()}
			ts := startTestServer(t, s.respond(10), "v1")
			ts.publishUrgentConfig()
			defer time.AfterFunc(500*time.Millisecond, func() {
				ts.control.Do(func(s *control.State, now boottime.Instant) { s.ProbeDone(now, "e0", control.ProbeTimedOut) })
			}).Stop()
			if n := ts.sendMany(4, 0, route, eventsText(1, 10)); n != 0 {
				t.Errorf("%d of 4 requests have no complete response", n)
			}
		})
	}
}

// TestSilentLastAttemptIsNotGivenUp guards against giving up an attempt after which maxTotalAttempts allows no other.
func TestSilentLastAttemptIsNotGivenUp(t *testing.T) {
	ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n < maxTotalAttempts {
			writeStampedHead(c, 503, "X-Not-Run: 1", "Content-Length: 0")
			return
		}
		time.Sleep(1500 * time.Millisecond)
		writeCompleteResponse(c, "good")
	}, "v1", "v1", "v1", "v1", "v1", "v1")
	ts.publishUrgentConfig()
	if g := ts.send("POST", "idempotent", ""); g.status != http.StatusOK || g.body != "good" {
		t.Errorf("got %d %q, %v", g.status, g.body, g.err)
	}
	if n := ts.arrivals(); n != maxTotalAttempts {
		t.Errorf("%d attempts, want %d", n, maxTotalAttempts)
	}
}

// TestReservationsAreUsedOrReturned: if attempts end about when they are given up, each reservation is either used for
// an attempt that is sent or returned, and no attempt stays in flight.
func TestReservationsAreUsedOrReturned(t *testing.T) {
	const requests = 200
	for _, route := range []string{"idempotent", "resumable"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			ts := startTestServer(t, func(n int, c net.Conn, r *http.Request) {
				if route == "resumable" {
					writeHeadOf(c, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
				}
				time.Sleep(minHangTimeout + time.Duration(n%40)*time.Millisecond)
				if route == "resumable" {
					writeEvents(c, 1, 1)
				} else {
					writeHeadOf(c, r, "Transfer-Encoding: chunked")
					writeChunk(c, eventText(1))
				}
				endChunkedBody(c)
			})
			ts.server.control = busyControl{ts.control}
			ts.publishUrgentConfig()
			if n := ts.sendMany(requests, 0, route, eventsText(1, 1)); n != 0 {
				t.Errorf("%d of %d requests have no complete response", n, requests)
			}
			var d control.Dump
			ts.control.Do(func(s *control.State, now boottime.Instant) { d = s.Dump(now) })
			for _, e := range d.Endpoints {
				if e.InFlight != 0 {
					t.Errorf("%d requests in flight at %s", e.InFlight, e.ID)
				}
			}
			if sent, counted := ts.arrivals()-requests, d.Services[0].Retries; sent != counted {
				t.Errorf("%d retries sent, %d counted against the budget", sent, counted)
			} else {
				t.Logf("%d retries of %d requests", sent, requests)
			}
		})
	}
}

// TestServiceWideSilenceRestartsNoRequest guards against starting the requests of a silent service again at endpoints that are
// silent as well. Before and after the silence, an endpoint may go on a moment before another one and take its requests.
func TestServiceWideSilenceRestartsNoRequest(t *testing.T) {
	const requests, events, margin = 60, 30, 50 * time.Millisecond
	s := &silence{first: 800 * time.Millisecond, length: 1300 * time.Millisecond, count: 1, began: time.Now()}
	ts := startTestServer(t, s.respond(events))
	ts.publishUrgentConfig()
	var before, after control.Dump
	observed := make(chan struct{})
	go func() {
		defer close(observed)
		before = ts.dumpAt(s.began.Add(s.first + margin))
		after = ts.dumpAt(s.began.Add(s.first + s.length - margin))
	}()
	if n := ts.sendMany(requests, 0, "resumable", eventsText(1, events)); n != 0 {
		t.Errorf("%d of %d streams are not complete", n, requests)
	}
	<-observed
	if n := after.Services[0].Retries - before.Services[0].Retries; n != 0 {
		t.Errorf("%d of %d streams were started again during the silence", n, requests)
	}
	for i, e := range after.Endpoints {
		if e.FailureRate > before.Endpoints[i].FailureRate || e.Avoided {
			t.Errorf("endpoint %s has a failure rate of %v, %v before the silence", e.ID, e.FailureRate, before.Endpoints[i].FailureRate)
		}
	}
}

// dumpAt returns the control state as of a time.
func (ts *testServer) dumpAt(at time.Time) control.Dump {
	time.Sleep(time.Until(at))
	var d control.Dump
	ts.control.Do(func(s *control.State, now boottime.Instant) { d = s.Dump(now) })
	return d
}
