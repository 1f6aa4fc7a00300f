package callers

import (
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// responseBufferBytes is the size of the response buffer. A response that fits is sent only
// when it is complete, so that the request can be retried if the attempt fails before that.
const responseBufferBytes = 64 << 10

// responder writes one response. The response types for chats and services embed it.
type responder struct {
	s             *Server
	w             http.ResponseWriter
	rc            *http.ResponseController
	x             *exchange
	headerWritten bool   // status and headers are written
	complete      bool   // the end of the response is written
	connFailed    bool   // writing to the caller failed
	eventsSent    uint64 // number of events sent; for a response without events, 1 once a part of it is sent
	buffered      bufferedResponse
	unbuffered    bool // the response outgrew its buffer and is passed through
}

// bufferedResponse is a response that is not an event stream, held until it is complete or outgrows its buffer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func newResponder(s *Server, w http.ResponseWriter, x *exchange) *responder {
	return &responder{s: s, w: w, rc: http.NewResponseController(w), x: x}
}

// Head implements upstream.ResponseSink.
func (p *responder) Head(_ core.Dispatch, status int, h http.Header) {
	p.buffered = bufferedResponse{status: status, header: h, body: p.buffered.body[:0]}
}

// Body implements upstream.ResponseSink.
func (p *responder) Body(b []byte) error {
	if !p.unbuffered && len(p.buffered.body)+len(b) <= responseBufferBytes {
		p.buffered.body = append(p.buffered.body, b...)
		return nil
	}
	if !p.unbuffered {
		p.unbuffered = true
		p.eventsSent = 1
		p.writeBufferedHeader()
		p.write(p.buffered.body)
		p.buffered.body = nil
	}
	p.write(b)
	return nil
}

// endResponse completes the response: it sends the buffer, unless the response is passed through.
func (p *responder) endResponse() {
	p.complete = true
	if p.unbuffered {
		return
	}
	p.writeBufferedHeader()
	p.write(p.buffered.body)
}

func (p *responder) writeBufferedHeader() {
	h := p.w.Header()
	for name, values := range p.buffered.header {
		if upstream.IsForwardable(name) && name != "X-Incarnation" {
			h[name] = values
		}
	}
	p.writeHeader(p.buffered.status)
}

func (p *responder) writeHeader(status int) {
	if p.headerWritten {
		return
	}
	p.headerWritten = true
	p.w.WriteHeader(status)
}

// write sends bytes to the caller. After a failed write the bytes are discarded and the attempt
// continues, because the core decides whether to cancel it.
func (p *responder) write(b []byte) {
	if p.connFailed || len(b) == 0 {
		return
	}
	// Not every ResponseWriter supports deadlines.
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.s.cfg.WriteTimeout))
	if _, err := p.w.Write(b); err != nil {
		p.failConnection()
	}
}

func (p *responder) flush() {
	if p.connFailed {
		return
	}
	if err := p.rc.Flush(); err != nil {
		p.failConnection()
	}
}

func (p *responder) failConnection() {
	p.connFailed = true
	p.s.postCallerGone(p.x)
}

func (p *responder) setPlacementHeader(d core.Dispatch) {
	if d.Hint != "" && !p.headerWritten {
		p.w.Header().Set(headerPlacement, d.Hint)
	}
}

// finishIfUnsent sends the response that f describes, unless a part of a response was already
// sent; then it returns false.
func (p *responder) finishIfUnsent(f core.Finish) bool {
	if p.headerWritten {
		return false
	}
	p.headerWritten = true
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
