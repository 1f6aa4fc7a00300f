package callers

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

var errUnexpectedEvent = errors.New("callers: unexpected stream event in a response of a service")

// serviceResponse relays the response of a service other than chat.
type serviceResponse struct{ *responder }

func (a *serviceResponse) prepareAttempt(d core.Dispatch) bool {
	if a.headerWritten {
		return false
	}
	a.setPlacementHeader(d)
	a.buffered = bufferedResponse{}
	return true
}

// Event implements upstream.ResponseSink.
func (a *serviceResponse) Event(core.Dispatch, uint64, []byte) error { return errUnexpectedEvent }

// End implements upstream.ResponseSink.
func (a *serviceResponse) End(core.Dispatch) error {
	a.endResponse()
	return nil
}

// Sent implements upstream.ResponseSink.
func (a *serviceResponse) Sent() uint64 { return a.eventsSent }

// finish aborts the connection if a part of the response was sent, so that the caller
// does not mistake it for the complete response.
func (a *serviceResponse) finish(f core.Finish) {
	if a.complete || a.finishIfUnsent(f) {
		return
	}
	panic(http.ErrAbortHandler)
}
