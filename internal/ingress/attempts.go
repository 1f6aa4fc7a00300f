package ingress

import (
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// maxTotalAttempts limits the endpoints that one request is sent to, including those that did not
// run it.
const maxTotalAttempts = 4

// outcome describes how far one attempt got.
type outcome struct {
	complete   bool // the caller got the whole response
	delivered  bool // part of the request may have reached the endpoint
	mayHaveRun bool // the endpoint may have run the request
}

// attempts summarizes the attempts of a request so far.
type attempts struct {
	count           int
	mayHaveRunCount int                   // attempts in which the request may have run
	lastDelivered   bool                  // outcome.delivered of the last attempt
	lastResult      control.AttemptResult // of the last attempt
}

func (a *attempts) add(o outcome) {
	a.count++
	a.lastDelivered = o.delivered
	if o.mayHaveRun {
		a.mayHaveRunCount++
	}
}

// retryDenied returns the reason that rules out another attempt, or ReasonNone.
//
// A request that has not run is retried until maxTotalAttempts is reached. One that may have
// run is retried only if its route is retryable, and at no more than the route's MaxAttempts
// endpoints. This is what makes a non-idempotent request run at most once.
func (a *attempts) retryDenied(r *routing.Route) control.Reason {
	switch {
	case a.count >= maxTotalAttempts:
		return control.ReasonRefused
	case a.mayHaveRunCount == 0:
		return control.ReasonNone
	case !r.Retryable() || a.mayHaveRunCount >= r.MaxAttempts:
		return control.ReasonMayHaveRun
	default:
		return control.ReasonNone
	}
}
