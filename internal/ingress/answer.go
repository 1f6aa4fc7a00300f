package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/sse"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// maxBufferedBytes bounds an answer that is no stream.
const maxBufferedBytes = 8 << 20

// callerResponse is what the caller has of its answer.
type callerResponse struct {
	started         bool // the head was sent
	status          int
	events          int
	lastEventID     string            // id of the last event that the caller has from this process
	lastEventNumber uint64            // the same as a number
	deferredFailure *bufferedResponse // an endpoint's failure, for want of anything better; nil once started

	callerGone bool // a write to the caller failed
}

// bufferedResponse is a whole answer that is no stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func isStream(resp *exchange.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// forwardBuffered passes an answer on when it is whole. The failure of an endpoint is held back
// while another endpoint may still do better.
func (a *attempt) forwardBuffered(resp *exchange.Response) bool {
	if a.response.started {
		a.err = errors.Errorf("a stream goes on with an answer of status %d", resp.Status)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		a.err = err
		return false
	}
	d := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		a.result = control.Failed
		a.response.deferredFailure = d
		return false
	}
	a.result = control.Answered
	a.write(d)
	return true
}

// writeDeferredFailure passes on the failure of an endpoint after which no other one helped.
func (c *call) writeDeferredFailure() {
	c.write(c.response.deferredFailure)
	c.recordAnswered()
}

func (c *call) write(d *bufferedResponse) {
	c.copyHeaders(d.header)
	c.response.started, c.response.status = true, d.status
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(d.body)))
	}
	c.w.WriteHeader(d.status)
	// The caller may have left; its connection ends then.
	_, _ = c.w.Write(d.body)
}

func (c *call) copyHeaders(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		if upstream.IsEndToEnd(name) {
			h[name] = values
		}
	}
}

// forwardStream passes the events of an answer on as they arrive, whole ones in their order
// only. It returns whether the stream came to its end.
func (a *attempt) forwardStream(resp *exchange.Response) bool {
	r := sse.NewReader(resp.Body)
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) && a.mayEndStream() {
			a.result = control.Answered
			a.sendStreamHead(resp)
			return true
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
		a.watchdog.progress(a.admission.Route.MaxEventGap)
		if !a.forwardEvent(resp, &ev, n) {
			return false
		}
	}
}

// mayEndStream tells whether a stream may end here: one that begins has an event at least, one
// that is resumed may have none left.
func (a *attempt) mayEndStream() bool { return a.response.events > 0 || a.head.LastEventID != "" }

// checkSequence checks that an event is the next one of the stream, and returns its number.
func (a *attempt) checkSequence(id []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return 0, errors.Errorf("an event has the id %q", id)
	}
	if last := a.lastEventNumber(); n != last+1 {
		return 0, errors.Errorf("event %d follows event %d", n, last)
	}
	return n, nil
}

// lastEventNumber returns the number of the event that the caller has. A caller that names none, or
// something that is no number, gets the stream from its first event.
func (a *attempt) lastEventNumber() uint64 {
	if a.response.lastEventID != "" {
		return a.response.lastEventNumber
	}
	n, err := strconv.ParseUint(a.head.LastEventID, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// sendStreamHead sends the head of a stream, once. A stream that goes on at another endpoint keeps
// the head of its first one.
func (a *attempt) sendStreamHead(resp *exchange.Response) {
	if a.response.started {
		return
	}
	a.copyHeaders(resp.Header)
	a.w.WriteHeader(resp.Status)
	a.response.started, a.response.status = true, resp.Status
	a.response.deferredFailure = nil // the caller has the head of another answer
	a.s.meter.streamStarted(a.call)
}

func (a *attempt) forwardEvent(resp *exchange.Response, ev *sse.Event, n uint64) bool {
	a.sendStreamHead(resp)
	a.response.events++
	a.response.lastEventID, a.response.lastEventNumber = string(ev.ID), n
	_, err := a.w.Write(ev.Raw)
	if err == nil {
		err = http.NewResponseController(a.w).Flush()
	}
	if err != nil {
		a.err, a.result, a.response.callerGone = err, control.Cancelled, true
	}
	return err == nil
}
