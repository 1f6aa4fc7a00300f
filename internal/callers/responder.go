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
	sentOffset    uint64 // offset of the last event that the caller has; for a response that is not a stream, 1 once a part of it is sent
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
func (r *responder) Head(_ core.Dispatch, status int, h http.Header) {
	r.buffered = bufferedResponse{status: status, header: h, body: r.buffered.body[:0]}
}

// Body implements upstream.ResponseSink.
func (r *responder) Body(b []byte) error {
	if !r.unbuffered && len(r.buffered.body)+len(b) <= responseBufferBytes {
		r.buffered.body = append(r.buffered.body, b...)
		return nil
	}
	if !r.unbuffered {
		r.unbuffered = true
		r.sentOffset = 1
		r.writeBufferedHeader()
		r.write(r.buffered.body)
		r.buffered.body = nil
	}
	r.write(b)
	return nil
}

// endResponse completes the response: it sends the buffer, unless the response is passed through.
func (r *responder) endResponse() {
	r.complete = true
	if r.unbuffered {
		return
	}
	r.writeBufferedHeader()
	r.write(r.buffered.body)
}

func (r *responder) writeBufferedHeader() {
	h := r.w.Header()
	for name, values := range r.buffered.header {
		if upstream.IsForwardable(name) && name != "X-Incarnation" {
			h[name] = values
		}
	}
	r.writeHeader(r.buffered.status)
}

func (r *responder) writeHeader(status int) {
	if r.headerWritten {
		return
	}
	r.headerWritten = true
	r.w.WriteHeader(status)
}

// write sends bytes to the caller. After a failed write the bytes are discarded and the attempt
// continues, because the core decides whether to cancel it.
func (r *responder) write(b []byte) {
	if r.connFailed || len(b) == 0 {
		return
	}
	// Not every ResponseWriter supports deadlines.
	_ = r.rc.SetWriteDeadline(time.Now().Add(r.s.cfg.WriteTimeout))
	if _, err := r.w.Write(b); err != nil {
		r.failConnection()
	}
}

func (r *responder) flush() {
	if r.connFailed {
		return
	}
	if err := r.rc.Flush(); err != nil {
		r.failConnection()
	}
}

func (r *responder) failConnection() {
	r.connFailed = true
	r.s.postCallerGone(r.x)
}

func (r *responder) setPlacementHeader(d core.Dispatch) {
	if d.Hint != "" && !r.headerWritten {
		r.w.Header().Set(headerPlacement, d.Hint)
	}
}

// finishIfUnsent sends the response that f describes. It returns false, and sends nothing, if a
// header has already been written.
func (r *responder) finishIfUnsent(f core.Finish) bool {
	if r.headerWritten {
		return false
	}
	r.headerWritten = true
	switch {
	case f.Outcome == core.Answered && f.Response != nil:
		r.w.Header().Set("Content-Type", f.Response.ContentType)
		r.w.WriteHeader(int(f.Response.Status))
		r.write(f.Response.Body)
	case f.Outcome == core.Answered:
		newProblem(core.Finish{ID: f.ID, Outcome: core.Unknown, Reason: ReasonInternal}, "").write(r.w)
	default:
		newProblem(f, "").write(r.w)
	}
	return true
}
