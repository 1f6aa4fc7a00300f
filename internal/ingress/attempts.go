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
	whole   bool // the caller has the whole answer
	reached bool // the request arrived at the endpoint, as far as is known
	ran     bool // it may have run there
}

// attempts is what became of a request so far.
type attempts struct {
	sends   int
	ran     int            // endpoints at which it may have run
	reached bool           // the last attempt arrived at its endpoint
	result  control.Result // of the last attempt
}

func (t *attempts) add(o outcome) {
	t.sends++
	t.reached = o.reached
	if o.ran {
		t.ran++
	}
}

// mayRepeat tells whether a request without an answer may be offered to another
// endpoint, or why not.
//
// A request that ran nowhere may always be. One that may have run is repeated only if
// its route allows that, and at no more endpoints than the route allows.
func (t *attempts) mayRepeat(r *routing.Route) control.Reason {
	switch {
	case t.sends >= maxSends:
		return control.ReasonRefused
	case t.ran == 0:
		return control.ReasonNone
	case !r.Retryable() || t.ran >= r.MaxAttempts:
		return control.ReasonMayHaveRun
	default:
		return control.ReasonNone
	}
}
