package ingress

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// change is a change of what is published while a request is under way.
type change struct {
	name  string
	apply func(x *changeRun)
	empty bool // it leaves no endpoint that may get the request
}

var changes = []change{
	{"no change", func(*changeRun) {}, false},
	{"route removed", reconfigure(func(c *routing.Config) { c.Routes = nil }), false},
	{"route moved", reconfigure(everyRoute(func(r *routing.Route) { r.Targets = []routing.Target{{Service: "other", Weight: 1}} })), false},
	{"route split", reconfigure(everyRoute(func(r *routing.Route) {
		r.Targets = []routing.Target{{Service: "s", Weight: 0.001}, {Service: "other", Weight: 1}}
	})), false},
	{"key revoked", reconfigure(func(c *routing.Config) { c.Workspaces[0].Keys = []string{"other"} }), false},
	{"workspace removed", reconfigure(func(c *routing.Config) { c.Workspaces[0] = routing.Workspace{ID: "other", Keys: []string{"other"}} }), false},
	{"timeout shortened", reconfigure(everyRoute(func(r *routing.Route) { r.Timeout = time.Millisecond })), false},
	{"timeout lengthened", reconfigure(everyRoute(func(r *routing.Route) { r.Timeout = time.Hour })), false},
	{"fewer attempts", reconfigure(everyRoute(func(r *routing.Route) { r.MaxAttempts = 1 })), false},
	{"kind changed", reconfigure(everyRoute(func(r *routing.Route) { r.Kind, r.Resumable = routing.NonIdempotent, false })), false},
	{"no longer resumable", reconfigure(everyRoute(func(r *routing.Route) { r.Resumable = false })), false},
	{"service removed", reconfigure(func(c *routing.Config) { c.Services = nil }), false},
	{"limits lowered", reconfigure(func(c *routing.Config) {
		c.Limits = routing.Limits{MaxBodyBytes: 1, MaxHeaderBytes: 1, IdleTimeout: time.Millisecond, HeaderTimeout: time.Millisecond}
	}), false},
	{"1,400 routes", reconfigure(addRoutes(1400)), false},
	{"many versions", func(x *changeRun) {
		for n := range 20 {
			reconfigure(addRoutes(n))(x)
		}
	}, false},
	{"endpoints removed", func(x *changeRun) { x.removeAll() }, true},
	{"endpoints leaving", func(x *changeRun) {
		for _, e := range x.published {
			e.Leaving = true
			x.ts.store.Write(publishedtest.Endpoint(e, 1))
		}
	}, true},
	{"endpoints replaced", replaceEndpoints, false},
	{"data centre evacuated", func(x *changeRun) { x.ts.store.Write(publishedtest.Evacuation("")) }, true},
	{"data centre evacuated and taken back", func(x *changeRun) {
		x.ts.store.Write(publishedtest.Evacuation(""))
		x.ts.readStore()
		x.ts.store.Write(publishedtest.EvacuationEnd(""))
	}, false},
	{"older copy of the store", func(x *changeRun) {
		older := x.ts.store.Copy()
		reconfigure(func(c *routing.Config) { c.Routes = nil })(x)
		x.ts.store.Restore(older)
	}, false},
	{"snapshot too old for keys", func(x *changeRun) {
		x.ts.control.Do(func(st *control.State, _ boottime.Instant) {
			st.Configure(control.Options{StrictRevoke: true, LoadMultiple: 2, RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second})
		})
	}, false},
	{"all at once", func(x *changeRun) {
		replaceEndpoints(x)
		reconfigure(func(c *routing.Config) { c.Routes, c.Services, c.Workspaces[0].Keys = nil, nil, nil })(x)
	}, false},
}

// reconfigure returns a change of the configuration.
func reconfigure(edit func(*routing.Config)) func(*changeRun) {
	return func(x *changeRun) {
		c := testConfig()
		x.configVersion++
		c.Version = x.configVersion
		edit(c)
		x.ts.store.Write(publishedtest.Config(c))
		x.ts.readStore()
	}
}

func everyRoute(edit func(*routing.Route)) func(*routing.Config) {
	return func(c *routing.Config) {
		for i := range c.Routes {
			edit(&c.Routes[i])
		}
	}
}

func addRoutes(count int) func(*routing.Config) {
	return func(c *routing.Config) {
		for i := range count {
			r := c.Routes[0]
			r.Name, r.Prefix = fmt.Sprint("more-", i), fmt.Sprintf("/more-%d/", i)
			c.Routes = append(c.Routes, r)
		}
	}
}

func replaceEndpoints(x *changeRun) {
	x.removeAll()
	for n, e := range x.published {
		x.ts.addEndpoint(fmt.Sprint("new-", n), e.Version, x.respond)
	}
}

func (x *changeRun) removeAll() {
	for _, e := range x.published {
		x.ts.store.Write(publishedtest.EndpointGone(e.ID))
	}
}

// TestChangeWhileARequestIsUnderWay guards against requests that end without an answer, or are refused although they may have
// run, because the configuration or the endpoints' entries changed while they were under way.
func TestChangeWhileARequestIsUnderWay(t *testing.T) {
	for _, s := range standings {
		for _, c := range changes {
			t.Run(s.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				x := newChangeRun(t, &s, &c)
				x.check(s.send(x))
			})
		}
	}
}

// check checks the result of the request against what became of it at the endpoints.
func (x *changeRun) check(g callerResult) {
	t := x.ts.t
	ran := x.ts.arrivals() - int(x.refusals.Load())
	text := g.body[:min(len(g.body), 100)]
	if g.err == nil && g.status == 200 && g.body == x.standing.want {
		return
	}
	if x.mustComplete() {
		t.Errorf("status %d, %q, %v, want a complete response", g.status, text, g.err)
		return
	}
	switch {
	case g.err == nil && g.status == 503:
		if ran > 0 || g.header.Get("Retry-After") == "" {
			t.Errorf("refused with Retry-After %q after %d endpoints ran the request", g.header.Get("Retry-After"), ran)
		}
	case g.err == nil && g.status == 500 && g.body == "oops" && x.standing.ending == failed:
	case g.err == nil && g.status == 502 && x.standing.ending == brokeOff:
	case g.err != nil && g.status == 200 && x.standing.ending == brokeOff && slices.Contains([]string{"stream", "resumable"}, x.standing.route):
	default:
		t.Errorf("status %d, %q, %v: no endpoint explains this end", g.status, text, g.err)
	}
}

// mustComplete reports whether the response must be complete: the request runs at a sound endpoint, or another one
// is there that may run it.
func (x *changeRun) mustComplete() bool {
	switch x.standing.ending {
	case sound:
		return x.standing.running || !x.change.empty
	case refused:
		return !x.change.empty
	default:
		return !x.change.empty && (x.standing.route == "idempotent" || x.standing.route == "resumable")
	}
}
