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

// streamAnswer answers a chat with server-sent events.
type streamAnswer struct {
	*responder
	key    string // hash of the caller's key
	prefix string // of the resume tokens of the current stream
	id     []byte
	buf    []byte
}

// restart refuses an attempt that does not begin where the caller stands: a new
// stream after a part of another, or one that would leave a gap.
func (a *streamAnswer) restart(d core.Dispatch) bool {
	if a.whole || a.flushed || d.Offset > a.sent {
		return false
	}
	if !d.Resume && a.sent > 0 {
		return false
	}
	a.hint(d)
	a.reply = reply{}
	a.prefix = a.s.tokens.Prefix(a.key, resume.Position{Endpoint: d.Endpoint, Stream: d.Stream})
	return true
}

// Event implements upstream.Answer.
func (a *streamAnswer) Event(_ core.Dispatch, offset uint64, data []byte) error {
	if offset <= a.sent {
		return nil
	}
	a.beginStream()
	a.id = resume.AppendToken(a.id[:0], a.prefix, offset)
	a.send(sse.Event{ID: a.id, Data: data})
	a.sent = offset
	return nil
}

// End implements upstream.Answer.
func (a *streamAnswer) End(core.Dispatch) error {
	if a.reply.status != 0 {
		a.endReply()
		return nil
	}
	a.whole = true
	a.beginStream()
	a.send(sse.Event{Data: doneData})
	return nil
}

// Sent implements upstream.Answer.
func (a *streamAnswer) Sent() uint64 { return a.sent }

func (a *streamAnswer) finish(f core.Finish) {
	if a.whole || a.finishUnbegun(f) {
		return
	}
	if a.flushed {
		panic(http.ErrAbortHandler)
	}
	a.send(sse.Event{Name: errorEvent, Data: newProblem(f, "").encode()})
}

func (a *streamAnswer) beginStream() {
	if a.begun {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.begin(http.StatusOK)
}

func (a *streamAnswer) send(ev sse.Event) {
	a.buf = sse.Append(a.buf[:0], ev)
	a.write(a.buf)
	a.flush()
}
