package ingress

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// placeNext places the attempt after one without a complete response. A request of which an attempt was given up for
// its endpoint's silence does not end for lack of an endpoint or of retry budget: without an endpoint's own failure to
// respond with, it waits for them until ctx ends.
func (c *call) placeNext(ctx context.Context) control.Placement {
	if c.reserved == nil && c.mayBePlaced() {
		c.awaitOwnOrigin(ctx)
	}
	p := c.placeRetry()
	for p.Reason != control.ReasonNone && len(c.attempts.givenUp) > 0 && c.response.deferredFailure == nil && ctx.Err() == nil && c.mayBePlaced() {
		select {
		case <-ctx.Done():
		case <-time.After(overdueCheckInterval):
			p = c.placeRetry()
		}
	}
	return p
}

// mayBePlaced reports whether another attempt is possible, now or later: the route allows it, or an endpoint that was
// given up is still there.
func (c *call) mayBePlaced() bool {
	if c.attempts.retryDenied(c.admission.Route) == control.ReasonNone {
		return true
	}
	possible := false
	if len(c.attempts.givenUp) > 0 {
		c.s.control.Do(func(st *control.State, now boottime.Instant) { possible = st.CouldPlace(now, c.requestBack()) })
	}
	return possible
}

// placeRetry places the next attempt: the reserved one, or a new one if the route and the retry budget allow it. If
// no other endpoint can take the request, it goes back to one that was given up for its silence.
func (c *call) placeRetry() control.Placement {
	if c.reserved != nil {
		p := control.Placement{Attempt: c.reserved.Attempt}
		c.reserved = nil
		c.logRetry()
		return p
	}
	p := c.placeElsewhere()
	if p.Reason != control.ReasonNone && len(c.attempts.givenUp) > 0 {
		p = c.placeBack()
	}
	if p.Reason == control.ReasonNone {
		c.logRetry()
	}
	return p
}

func (c *call) placeElsewhere() control.Placement {
	if denied := c.attempts.retryDenied(c.admission.Route); denied != control.ReasonNone {
		return control.Placement{Reason: denied, RetryAfter: c.retryAfter()}
	}
	return c.placeWithBudget(c.placementRequest(c.response.events > 0))
}

// placeBack places an attempt at an endpoint of which an attempt was given up. The request goes back once, not counting
// connections that time out, see endedBack.
func (c *call) placeBack() control.Placement {
	p := c.placeWithBudget(c.requestBack())
	c.attempts.wentBack = p.Reason == control.ReasonNone
	return p
}

// requestBack returns the request of an attempt at an endpoint of which an attempt was given up.
func (c *call) requestBack() control.PlacementRequest {
	req := c.placementRequest(c.response.events > 0)
	req.Tried, req.Among = nil, c.attempts.givenUp
	return req
}

func (c *call) logRetry() {
	event.LogFields(event.AttemptRetried, "request", c.meta.ID, "sends", c.attempts.count, "may_have_run", c.attempts.mayHaveRunCount, "left_ms", time.Until(c.deadline).Milliseconds())
}

// releaseReserved returns a reservation that the request has not used.
func (c *call) releaseReserved() {
	if c.reserved != nil {
		c.s.control.Do(func(st *control.State, now boottime.Instant) { st.ReleaseRetry(now, c.reserved) })
	}
}

// placeWithBudget places an attempt and takes a retry from the service's retry budget for it. A retry needs no budget
// if no byte of the last attempt can have reached an endpoint.
func (c *call) placeWithBudget(req control.PlacementRequest) control.Placement {
	if !c.attempts.lastMaybeSent {
		return c.place(req)
	}
	p := c.placeSettled(func(st *control.State, now boottime.Instant) control.Placement {
		return st.PlaceRetry(now, req, c.attempts.lastResult)
	})
	if p.Reason == control.ReasonRetryBudget {
		p.RetryAfter = c.retryAfter()
	}
	return p
}

func (c *call) place(req control.PlacementRequest) control.Placement {
	return c.placeSettled(func(st *control.State, now boottime.Instant) control.Placement { return st.Place(now, req) })
}

// placementRequest returns the request of the next attempt. begun says that events were forwarded to the caller.
func (c *call) placementRequest(begun bool) control.PlacementRequest {
	req := control.PlacementRequest{Service: c.admission.Service, Affinity: c.affinityKey, Tried: c.triedEndpoints, Version: c.origin.version, Request: c.fingerprint, Shares: c.shares}
	req.Workspace = c.admission.Workspace
	req.Cost, req.Goal = c.cost(), c.admission.Goal()
	if begun {
		req.Stream = c.origin.stream
	}
	return req
}

// cost returns what is known about the size of the request.
func (c *call) cost() cost.Request {
	r := cost.Request{
		Service: c.admission.Service, Route: c.admission.Route.Name,
		PromptTokens: c.meta.PromptTokens, MaxOutputTokens: c.meta.MaxOutputTokens, LengthHint: c.meta.LengthHint,
	}
	for i := range len(c.meta.Prompt) - 1 {
		r.SharedTokens += c.meta.Prompt[i].Tokens
	}
	return r
}

// retryAfter returns the retry-after of a request that endpoints have refused.
func (c *call) retryAfter() time.Duration {
	after := jitteredRetryAfter()
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		after = st.RetryAfter(now, control.PlacementRequest{Service: c.admission.Service, Version: c.origin.version}, after)
	})
	return after
}
