package ingress

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	// maxLookupTime is longer than the control state takes for a lookup, which it does not end once the event loop has
	// ended.
	maxLookupTime = time.Second
	// originUnknownRetryAfter is the retry-after of a resumed stream whose origin is not known. Gateways that
	// know it may have been out of reach.
	originUnknownRetryAfter = 500 * time.Millisecond
	// resumeSlack is how long after its own deadline a caller may still resume a stream, for messages in transit.
	resumeSlack = time.Second
)

// streamOrigin is where the stream of a request began.
type streamOrigin struct {
	stream  fleet.RequestID // request that brought the first event of the stream
	version origin.Version  // the only version at which the request may run; 0: any
}

// findOrigin determines the version at which a stream began that the caller resumes, and returns false if it has
// rejected the request because the version is not known. For other requests it does nothing.
func (c *call) findOrigin(ctx context.Context) bool {
	c.origin.stream = c.meta.ID
	if c.admission.Route.Kind != routing.Streaming || c.meta.LastEventID == "" && c.meta.Resumes == "" {
		return true
	}
	if c.meta.Resumes != "" {
		c.origin.stream = c.meta.Resumes
	}
	c.origin.version = c.lookUpOrigin(ctx)
	if c.origin.version == 0 {
		event.LogFields(event.OriginUnknown, "request", c.meta.ID, "resumes", c.meta.Resumes, "service", c.admission.Service)
		c.respondNotRun(control.ReasonOriginUnknown, originUnknownRetryAfter)
		return false
	}
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		c.admission.Service = st.ServiceOffering(now, c.admission.Route, c.admission.Service, c.origin.version)
	})
	return true
}

// lookUpOrigin returns the version at which the stream began that the caller resumes, or 0 if it is not known.
func (c *call) lookUpOrigin(ctx context.Context) origin.Version {
	var lookup *origin.Lookup
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		lookup = st.LookUpOrigin(now, c.meta.Resumes, c.admission.Route)
	})
	return awaitVersion(ctx, lookup)
}

// awaitOwnOrigin waits until the version is known at which the stream began that this request has brought events of, or
// until it is known that it stays unknown. For other requests it does nothing.
func (c *call) awaitOwnOrigin(ctx context.Context) {
	if c.response.events == 0 {
		return
	}
	var lookup *origin.Lookup
	c.s.control.Do(func(st *control.State, now boottime.Instant) { lookup = st.LookUpOwnStream(now, c.origin.stream) })
	awaitVersion(ctx, lookup)
}

// awaitVersion returns the result of a lookup, or 0 if the lookup is nil because the event loop has ended.
func awaitVersion(ctx context.Context, lookup *origin.Lookup) origin.Version {
	if lookup == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, maxLookupTime)
	defer cancel()
	select {
	case <-lookup.Done():
		return lookup.Version
	case <-ctx.Done():
		return 0
	}
}

// recordOrigin records where the stream began whose first event is about to be forwarded.
func (a *attempt) recordOrigin() {
	if !a.admission.Route.Resumable {
		return
	}
	resumableFor := max(time.Until(a.deadline), time.Until(a.arrivedAt.Add(a.meta.CallerTimeout))) + resumeSlack
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.StreamStarted(now, a.origin.stream, a.placed, resumableFor)
	})
}
