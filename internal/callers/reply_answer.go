package callers

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

var errUnexpectedEvent = errors.New("callers: an event outside of a chat's stream")

// replyAnswer answers a call of a plain service.
type replyAnswer struct{ *responder }

func (a *replyAnswer) restart(d core.Dispatch) bool {
	if a.begun {
		return false
	}
	a.hint(d)
	a.reply = reply{}
	return true
}

// Event implements upstream.ResponseSink.
func (a *replyAnswer) Event(core.Dispatch, uint64, []byte) error { return errUnexpectedEvent }

// End implements upstream.ResponseSink.
func (a *replyAnswer) End(core.Dispatch) error {
	a.endReply()
	return nil
}

// Sent implements upstream.ResponseSink.
func (a *replyAnswer) Sent() uint64 { return a.sent }

// finish aborts the connection when a part of the reply was sent, so that the caller
// cannot take it for the whole.
func (a *replyAnswer) finish(f core.Finish) {
	if a.whole || a.finishUnbegun(f) {
		return
	}
	panic(http.ErrAbortHandler)
}
