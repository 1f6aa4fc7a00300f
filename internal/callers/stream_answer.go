package callers

import (
	"net/http"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/resume"
	"github.com/dandelionvane/dandelionvane/internal/sse"
)

var (
	doneData   = []byte("[DONE]")
	errorEvent = []byte("error")
)

// streamResponse relays the stream of a chat as server-sent events.
type streamResponse struct {
	*responder
	key    string // hash of the caller's key
	prefix string // common prefix of the resume tokens of the current stream
	id     []byte
	buf    []byte
}

// prepareAttempt returns false for an attempt that does not continue what the caller has got: a new
// stream after a part of another, or a stream that would leave a gap.
func (a *streamResponse) prepareAttempt(d core.Dispatch) bool {
	if a.complete || a.unbuffered || d.Offset > a.eventsSent {
		return false
	}
	if !d.Resume && a.eventsSent > 0 {
		return false
	}
	a.setPlacementHeader(d)
	a.buffered = bufferedResponse{}
	a.prefix = a.s.resumeTokens.Prefix(a.key, resume.Position{Endpoint: d.Endpoint, Stream: d.Stream})
	return true
}

// Event implements upstream.ResponseSink.
func (a *streamResponse) Event(_ core.Dispatch, offset uint64, data []byte) error {
	if offset <= a.eventsSent {
		return nil
	}
	a.writeStreamHeader()
	a.id = resume.AppendToken(a.id[:0], a.prefix, offset)
	a.send(sse.Event{ID: a.id, Data: data})
	a.eventsSent = offset
	return nil
}

// End implements upstream.ResponseSink.
func (a *streamResponse) End(core.Dispatch) error {
	if a.buffered.status != 0 {
		a.endResponse()
		return nil
	}
	a.complete = true
	a.writeStreamHeader()
	a.send(sse.Event{Data: doneData})
	return nil
}

// Sent implements upstream.ResponseSink.
func (a *streamResponse) Sent() uint64 { return a.eventsSent }

func (a *streamResponse) finish(f core.Finish) {
	if a.complete || a.finishIfUnsent(f) {
		return
	}
	if a.unbuffered {
		panic(http.ErrAbortHandler)
	}
	a.send(sse.Event{Name: errorEvent, Data: newProblem(f, "").encode()})
}

func (a *streamResponse) writeStreamHeader() {
	if a.headerWritten {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.writeHeader(http.StatusOK)
}

func (a *streamResponse) send(ev sse.Event) {
	a.buf = sse.Append(a.buf[:0], ev)
	a.write(a.buf)
	a.flush()
}
