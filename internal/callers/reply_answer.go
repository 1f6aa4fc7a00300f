package callers

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

var errUnexpectedEvent = errors.New("callers: unexpected stream event in a response of a service")

// serviceResponse relays the response of a service other than chat.
type serviceResponse struct{ *responder }

func (r *serviceResponse) prepareAttempt(d core.Dispatch) bool {
	if r.headerWritten {
		return false
	}
	r.setPlacementHeader(d)
	r.buffered = bufferedResponse{}
	return true
}

// Event implements upstream.ResponseSink.
func (r *serviceResponse) Event(core.Dispatch, uint64, []byte) error { return errUnexpectedEvent }

// End implements upstream.ResponseSink.
func (r *serviceResponse) End(core.Dispatch) error {
	r.endResponse()
	return nil
}

// Sent implements upstream.ResponseSink.
func (r *serviceResponse) Sent() uint64 { return r.sentOffset }

// finish aborts the connection if a part of the response was sent, so that the caller
// does not mistake it for the complete response.
func (r *serviceResponse) finish(f core.Finish) {
	if r.complete || r.finishIfUnsent(f) {
		return
	}
	panic(http.ErrAbortHandler)
}
