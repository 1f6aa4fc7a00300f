package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/callerconn"
)

// unreadBodyTimeout limits how long an answer is held back for the rest of a body that is not needed. net/http reads up
// to 256 KiB of it before the answer, so that the connection can be kept.
const unreadBodyTimeout = 100 * time.Millisecond

// writeTimeout limits how long the caller may take to receive what is written to it once the time of its request is over.
const writeTimeout = time.Second

// answerWriter announces with each answer what becomes of its connection, and bounds the time in which it is written.
type answerWriter struct {
	http.ResponseWriter
	r        *http.Request
	callers  *callers
	endsAt   time.Time // end of the request's time; writes may take until then in any case
	sent     bool      // the head was sent
	bodyRead bool      // the request's body was read to its end
	bodyLate bool      // the time for the request's body is over
}

// Unwrap is used by http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if !w.sent && status >= http.StatusOK {
		w.sent = true
		w.extendWriteDeadline()
		w.announce()
		w.limitUnreadBody()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// extendWriteDeadline gives a write that begins now writeTimeout, counted from the end of the request's time if that is
// still to come. The bound is on the caller's reading: a process that was held up beyond that time has not used it up.
func (w *answerWriter) extendWriteDeadline() {
	from := time.Now()
	if from.Before(w.endsAt) {
		from = w.endsAt
	}
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(from.Add(writeTimeout)) // not supported by recorders of tests
}

// flush sends what is buffered.
func (w *answerWriter) flush() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// announce sets the header that tells how long the connection is kept: Keep-Alive with whole seconds, or "Connection:
// close".
func (w *answerWriter) announce() {
	if !w.callers.keeps() {
		w.Header().Set("Connection", "close")
		return
	}
	timeout := w.callers.publishedIdleTimeout().Truncate(time.Second)
	callerconn.Announce(w.r.Context(), timeout)
	if timeout > 0 && !w.r.Close {
		w.Header().Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(timeout/time.Second), 10))
	}
}

// limitUnreadBody limits the time that net/http waits for the rest of the request's body. The deadline is removed by
// net/http when it reads the end of the body, and otherwise the connection closes after the answer.
func (w *answerWriter) limitUnreadBody() {
	if w.bodyRead || w.r.ContentLength == 0 {
		return
	}
	callerconn.LeaveUnread(w.r.Context())
	deadline := time.Now()
	if !w.bodyLate {
		deadline = deadline.Add(unreadBodyTimeout)
	}
	// Without support for deadlines the answer may be late, but not lost.
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(deadline)
}
