package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/sse"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// callerResponse is the state of the response to the caller.
type callerResponse struct {
	started         bool // the response head has been sent
	status          int
	events          int
	lastEventID     string            // ID of the last event that this process sent to the caller, "" for none
	lastEventNumber uint64            // lastEventID as a number, if that is set
	deferredFailure *bufferedResponse // last 5xx response, sent if no other attempt succeeds; nil once a stream has started

	complete           bool  // the whole response was written, but part of it may be buffered
	callerDisconnected bool  // a write to the caller failed
	writeErr           error // of that write
}

func (r *callerResponse) writeFailed(err error) { r.callerDisconnected, r.writeErr = true, err }

// bufferedResponse is a complete response that is not an event stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   *bytebudget.Body
}

func isStream(resp *exchange.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// forwardBuffered reads the whole response and forwards it, and reports whether it did. A 5xx
// response is deferred instead, until it is known whether another attempt succeeds.
func (a *attempt) forwardBuffered(resp *exchange.Response) bool {
	if a.response.started {
		a.err = errors.Errorf("the resumed stream got a response of status %d that is not a stream", resp.Status)
		return false
	}
	body, err := a.s.memory.readResponse(resp)
	if errors.Is(err, bytebudget.ErrExhausted) {
		a.result = control.ResponseDropped
	}
	if err != nil {
		a.err = err
		return false
	}
	d := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		a.result = control.EndpointFailed
		a.deferFailure(d)
		return false
	}
	defer body.Release()
	a.result = control.ResponseComplete
	a.write(d)
	return true
}

// deferFailure replaces the deferred 5xx response; nil only drops it.
func (c *call) deferFailure(d *bufferedResponse) {
	if former := c.response.deferredFailure; former != nil {
		former.body.Release()
	}
	c.response.deferredFailure = d
}

// writeDeferredFailure sends the deferred 5xx response because no later attempt has succeeded.
func (c *call) writeDeferredFailure() {
	c.write(c.response.deferredFailure)
	c.recordCompleted()
}

func (c *call) write(d *bufferedResponse) {
	c.copyHeaders(d.header)
	c.response.started, c.response.status = true, d.status
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.FormatInt(d.body.Len(), 10))
	}
	c.w.WriteHeader(d.status)
	callerconn.ChargeAnswer(c.r.Context(), min(d.body.Len(), freeBodyBytes)) // the responses' budget has the rest
	for _, chunk := range d.body.Parts() {
		if _, err := c.w.Write(chunk); err != nil {
			c.response.writeFailed(err)
			return
		}
	}
}

func (c *call) copyHeaders(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		if upstream.IsForwardable(name) {
			h[name] = values
		}
	}
}

// forwardStream forwards the events of a stream as they arrive. It forwards only complete
// events with consecutive numbers, ends the attempt at text that is no event, and reports whether the stream ended normally.
func (a *attempt) forwardStream(resp *exchange.Response) bool {
	r := sse.NewStrictReader(resp.Body, &a.s.memory.responses)
	defer r.Release()
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) && a.mayEndStream() {
			a.result = control.ResponseComplete
			a.sendStreamHead(resp)
			return true
		}
		if errors.Is(err, bytebudget.ErrExhausted) {
			a.result = control.ResponseDropped
		}
		if err != nil {
			a.err = err
			return false
		}
		n, err := a.checkSequence(ev.ID)
		if err != nil {
			a.err = err
			return false
		}
		if !a.watchdog.progress(a.admission.Route.GoalEventGap) {
			a.err = errGivenUp
			return false
		}
		if !a.forwardEvent(resp, &ev, n) {
			return false
		}
		a.watchdog.forwarded()
	}
}

// boundWrites bounds writes to the caller by its timeout, counted from the arrival of the request, and writeTimeout: it
// may keep the connection and read nothing. Each request sets the deadline, because a keep-alive connection would keep
// that of the last one. It is extended when an answer or an event begins to be written.
func (c *call) boundWrites(callerTimeout time.Duration) {
	c.w.endsAt = c.arrivedAt.Add(callerTimeout)
	c.w.extendWriteDeadline()
}

// mayEndStream reports whether the stream may end at this point. A new stream has at least
// one event; a stream that the caller resumed may have none left.
func (a *attempt) mayEndStream() bool { return a.response.events > 0 || a.meta.LastEventID != "" }

// checkSequence parses the ID of an event as its number and checks that the number is one more
// than that of the last event. Gaps and duplicates are errors.
func (a *attempt) checkSequence(id []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return 0, errors.Errorf("event ID %q is not a number", id)
	}
	if last := a.lastReceivedEvent(); n != last+1 {
		return 0, errors.Errorf("event %d follows event %d", n, last)
	}
	return n, nil
}

// lastReceivedEvent returns the number of the last event that the caller has received, from this
// process or, according to its Last-Event-ID, before. Without either it is 0, and the stream
// starts at its first event.
func (a *attempt) lastReceivedEvent() uint64 {
	if a.response.lastEventID != "" {
		return a.response.lastEventNumber
	}
	n, err := strconv.ParseUint(a.meta.LastEventID, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// sendStreamHead sends the response head of a stream if it has not been sent. A stream that is
// resumed at another endpoint keeps the head of the first endpoint.
func (a *attempt) sendStreamHead(resp *exchange.Response) {
	if a.response.started {
		return
	}
	a.copyHeaders(resp.Header)
	a.w.WriteHeader(resp.Status)
	a.response.started, a.response.status = true, resp.Status
	a.deferFailure(nil) // can no longer be sent
	a.s.meter.streamStarted(a.call)
}

func (a *attempt) forwardEvent(resp *exchange.Response, ev *sse.Event, n uint64) bool {
	if a.response.events == 0 {
		a.recordOrigin()
	}
	a.noteProgress(n)
	a.sendStreamHead(resp)
	a.response.events++
	a.events++
	a.noteSurvived()
	a.response.lastEventID, a.response.lastEventNumber = string(ev.ID), n
	a.w.extendWriteDeadline()
	callerconn.ChargeAnswer(a.r.Context(), int64(len(ev.Raw)))
	_, err := a.w.Write(ev.Raw)
	if err == nil {
		err = a.w.flush()
	}
	if err != nil {
		a.err, a.result = err, control.Cancelled
		a.response.writeFailed(err)
		return false
	}
	callerconn.AnswerSent(a.r.Context())
	return true
}
