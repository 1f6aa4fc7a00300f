package callers

import (
	"net/http"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/resume"
	"github.com/dandelionvane/dandelionvane/internal/sse"
)

var (
	doneMarker = []byte("[DONE]")
	errorEvent = []byte("error")
)

// streamResponse relays the stream of a chat completion as server-sent events, each with a resume token as its id.
type streamResponse struct {
	*responder
	keyHash string // hash of the bearer key
	prefix  string // common prefix of the resume tokens of the current stream
	id      []byte
	buf     []byte
}

// prepareAttempt returns false for an attempt that does not continue what the caller has received: a new
// stream after a part of another, or a stream that would leave a gap.
func (r *streamResponse) prepareAttempt(d core.Dispatch) bool {
	if r.complete || r.unbuffered || d.Offset > r.sentOffset {
		return false
	}
	if !d.Resume && r.sentOffset > 0 {
		return false
	}
	r.setPlacementHeader(d)
	r.buffered = bufferedResponse{}
	r.prefix = r.s.resumeTokens.Prefix(r.keyHash, resume.Position{Endpoint: d.Endpoint, Stream: d.Stream})
	return true
}

// Event implements upstream.ResponseSink.
func (r *streamResponse) Event(_ core.Dispatch, offset uint64, data []byte) error {
	if offset <= r.sentOffset {
		return nil
	}
	r.writeStreamHeader()
	r.id = resume.AppendToken(r.id[:0], r.prefix, offset)
	r.send(sse.Event{ID: r.id, Data: data})
	r.sentOffset = offset
	return nil
}

// End implements upstream.ResponseSink.
func (r *streamResponse) End(core.Dispatch) error {
	if r.buffered.status != 0 {
		r.endResponse()
		return nil
	}
	r.complete = true
	r.writeStreamHeader()
	r.send(sse.Event{Data: doneMarker})
	return nil
}

// Sent implements upstream.ResponseSink.
func (r *streamResponse) Sent() uint64 { return r.sentOffset }

func (r *streamResponse) finish(f core.Finish) {
	if r.complete || r.finishIfUnsent(f) {
		return
	}
	if r.unbuffered {
		panic(http.ErrAbortHandler)
	}
	r.send(sse.Event{Name: errorEvent, Data: newProblem(f, "").encode()})
}

func (r *streamResponse) writeStreamHeader() {
	if r.headerWritten {
		return
	}
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	r.writeHeader(http.StatusOK)
}

func (r *streamResponse) send(ev sse.Event) {
	r.buf = sse.Append(r.buf[:0], ev)
	r.write(r.buf)
	r.flush()
}
