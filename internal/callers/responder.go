package callers

import (
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// replyBufferBytes is how much of a reply is held back. A reply that fits is sent
// only when it is whole, so that an attempt that breaks can be retried.
const replyBufferBytes = 64 << 10

// responder writes one response. The answers to chats and services build on it.
type responder struct {
	s       *Server
	w       http.ResponseWriter
	rc      *http.ResponseController
	x       *exchange
	begun   bool   // the response's head is written
	whole   bool   // the answer's end is written
	gone    bool   // the caller's connection failed
	sent    uint64 // events that the caller was sent
	reply   reply
	flushed bool // a reply outgrew its buffer
}

// reply is a buffered reply that is no stream.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func newResponder(s *Server, w http.ResponseWriter, x *exchange) *responder {
	return &responder{s: s, w: w, rc: http.NewResponseController(w), x: x}
}

// Head implements upstream.ResponseSink.
func (p *responder) Head(_ core.Dispatch, status int, h http.Header) {
	p.reply = reply{status: status, header: h, body: p.reply.body[:0]}
}

// Body implements upstream.ResponseSink.
func (p *responder) Body(b []byte) error {
	if !p.flushed && len(p.reply.body)+len(b) <= replyBufferBytes {
		p.reply.body = append(p.reply.body, b...)
		return nil
	}
	if !p.flushed {
		p.flushed = true
		p.sent = 1
		p.beginReply()
		p.write(p.reply.body)
		p.reply.body = nil
	}
	p.write(b)
	return nil
}

// endReply sends a reply that fits the buffer, or the end of one that does not.
func (p *responder) endReply() {
	p.whole = true
	if p.flushed {
		return
	}
	p.beginReply()
	p.write(p.reply.body)
}

func (p *responder) beginReply() {
	h := p.w.Header()
	for name, values := range p.reply.header {
		if upstream.IsEndToEnd(name) && name != "X-Incarnation" {
			h[name] = values
		}
	}
	p.begin(p.reply.status)
}

func (p *responder) begin(status int) {
	if p.begun {
		return
	}
	p.begun = true
	p.w.WriteHeader(status)
}

// write sends bytes to the caller. After a failure the answer goes on without the
// caller, because the core decides what becomes of the attempt.
func (p *responder) write(b []byte) {
	if p.gone || len(b) == 0 {
		return
	}
	// Not every ResponseWriter has deadlines.
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.s.cfg.WriteTimeout))
	if _, err := p.w.Write(b); err != nil {
		p.lose()
	}
}

func (p *responder) flush() {
	if p.gone {
		return
	}
	if err := p.rc.Flush(); err != nil {
		p.lose()
	}
}

func (p *responder) lose() {
	p.gone = true
	p.s.callerGone(p.x)
}

func (p *responder) hint(d core.Dispatch) {
	if d.Hint != "" && !p.begun {
		p.w.Header().Set(headerPlacement, d.Hint)
	}
}

// finishUnbegun answers a request of whose answer nothing was sent. It returns false
// when something was.
func (p *responder) finishUnbegun(f core.Finish) bool {
	if p.begun {
		return false
	}
	p.begun = true
	switch {
	case f.Outcome == core.Answered && f.Response != nil:
		p.w.Header().Set("Content-Type", f.Response.ContentType)
		p.w.WriteHeader(int(f.Response.Status))
		p.write(f.Response.Body)
	case f.Outcome == core.Answered:
		newProblem(core.Finish{ID: f.ID, Outcome: core.Unknown, Reason: ReasonInternal}, "").write(p.w)
	default:
		newProblem(f, "").write(p.w)
	}
	return true
}
