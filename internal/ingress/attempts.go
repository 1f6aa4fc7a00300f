package ingress

import (
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// maxSends bounds the endpoints that one request is offered to, those that did not run
// it included.
const maxSends = 4

// outcome is what one attempt came to.
type outcome struct {
	complete   bool // the caller has the whole answer
	delivered  bool // the request arrived at the endpoint, as far as is known
	mayHaveRun bool // it may have run there
}

// attempts is what became of a request so far.
type attempts struct {
	sends           int
	mayHaveRunCount int            // endpoints at which it may have run
	lastDelivered   bool           // the last attempt arrived at its endpoint
	lastResult      control.Result // of the last attempt
}

func (a *attempts) add(o outcome) {
	a.sends++
	a.lastDelivered = o.delivered
	if o.mayHaveRun {
		a.mayHaveRunCount++
	}
}

// retryDenied tells whether a request without an answer may be offered to another
// endpoint, or why not.
//
// A request that ran nowhere may always be. One that may have run is repeated only if
// its route allows that, and at no more endpoints than the route allows.
func (a *attempts) retryDenied(r *routing.Route) control.Reason {
	switch {
	case a.sends >= maxSends:
		return control.ReasonRefused
	case a.mayHaveRunCount == 0:
		return control.ReasonNone
	case !r.Retryable() || a.mayHaveRunCount >= r.MaxAttempts:
		return control.ReasonMayHaveRun
	default:
		return control.ReasonNone
	}
}
