// Package attempts decides whether a request may get another attempt, from what became of those before. The gateway
// and its simulation use it.
package attempts

import (
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// MaxTotal limits the attempts of one request, including failed connections and attempts in which the endpoint did
// not run the request.
const MaxTotal = 4

// RetryDenied returns the reason that rules out another attempt after a number of attempts, in some of which the
// request may have run, or ReasonNone. processEnds of these were ended by the end of their endpoint's process.
//
// A request that has not run is retried until MaxTotal is reached. A request that may have run is retried only if its
// route is retryable, until it may have run in MaxAttempts attempts, not counting those whose endpoint process ended. A
// non-idempotent request therefore runs at most once.
func RetryDenied(count, mayHaveRunCount, processEnds int, r *routing.Route) control.Reason {
	switch {
	case count >= MaxTotal:
		return control.ReasonRefused
	case mayHaveRunCount == 0:
		return control.ReasonNone
	case !r.Retryable() || mayHaveRunCount-processEnds >= r.MaxAttempts:
		return control.ReasonMayHaveRun
	default:
		return control.ReasonNone
	}
}
