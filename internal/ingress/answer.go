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

// maxDocumentBytes bounds an answer that is no stream.
const maxDocumentBytes = 8 << 20

// answer is what the caller has of its answer.
type answer struct {
	started   bool // the head was sent
	status    int
	events    int
	lastEvent string    // id of the last event that the caller has from this process
	lastID    uint64    // the same as a number
	held      *document // an endpoint's failure, for want of anything better; nil once started

	callerGone bool // a write to the caller failed
}

// document is a whole answer that is no stream.
type document struct {
	status int
	header http.Header
	body   []byte
}

func isStream(x *exchange.Response) bool {
	return x.Status == http.StatusOK && strings.HasPrefix(x.Header.Get("Content-Type"), "text/event-stream")
}

// document passes an answer on when it is whole. The failure of an endpoint is held back
// while another endpoint may still do better.
func (a *attempt) document(x *exchange.Response) bool {
	if a.answer.started {
		a.err = errors.Errorf("a stream goes on with an answer of status %d", x.Status)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(x.Body, maxDocumentBytes+1))
	if err == nil && len(body) > maxDocumentBytes {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		a.err = err
		return false
	}
	d := &document{status: x.Status, header: x.Header, body: body}
	if x.Status >= http.StatusInternalServerError {
		a.result = control.Failed
		a.answer.held = d
		return false
	}
	a.result = control.Answered
	a.write(d)
	return true
}

// writeHeld passes on the failure of an endpoint after which no other one helped.
func (c *call) writeHeld() {
	c.write(c.answer.held)
	c.finished()
}

func (c *call) write(d *document) {
	c.copyHead(d.header)
	c.answer.started, c.answer.status = true, d.status
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(d.body)))
	}
	c.w.WriteHeader(d.status)
	// The caller may have left; its connection ends then.
	_, _ = c.w.Write(d.body)
}

func (c *call) copyHead(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		if upstream.IsEndToEnd(name) {
			h[name] = values
		}
	}
}

// stream passes the events of an answer on as they arrive, whole ones in their order
// only. It returns whether the stream came to its end.
func (a *attempt) stream(x *exchange.Response) bool {
	r := sse.NewReader(x.Body)
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) && a.hasAll() {
			a.result = control.Answered
			a.begin(x)
			return true
		}
		if err != nil {
			a.err = err
			return false
		}
		n, err := a.follows(ev.ID)
		if err != nil {
			a.err = err
			return false
		}
		a.watch.progress(a.admission.Route.MaxEventGap)
		if !a.pass(x, &ev, n) {
			return false
		}
	}
}

// hasAll tells whether a stream may end here: one that begins has an event at least, one
// that is resumed may have none left.
func (a *attempt) hasAll() bool { return a.answer.events > 0 || a.head.LastEventID != "" }

// follows checks that an event is the next one of the stream, and returns its number.
func (a *attempt) follows(id []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return 0, errors.Errorf("an event has the id %q", id)
	}
	if last := a.last(); n != last+1 {
		return 0, errors.Errorf("event %d follows event %d", n, last)
	}
	return n, nil
}

// last returns the number of the event that the caller has. A caller that names none, or
// something that is no number, gets the stream from its first event.
func (a *attempt) last() uint64 {
	if a.answer.lastEvent != "" {
		return a.answer.lastID
	}
	n, err := strconv.ParseUint(a.head.LastEventID, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// begin sends the head of a stream, once. A stream that goes on at another endpoint keeps
// the head of its first one.
func (a *attempt) begin(x *exchange.Response) {
	if a.answer.started {
		return
	}
	a.copyHead(x.Header)
	a.w.WriteHeader(x.Status)
	a.answer.started, a.answer.status = true, x.Status
	a.answer.held = nil // the caller has the head of another answer
	a.s.meter.began(a.call)
}

func (a *attempt) pass(x *exchange.Response, ev *sse.Event, n uint64) bool {
	a.begin(x)
	a.answer.events++
	a.answer.lastEvent, a.answer.lastID = string(ev.ID), n
	_, err := a.w.Write(ev.Raw)
	if err == nil {
		err = http.NewResponseController(a.w).Flush()
	}
	if err != nil {
		a.err, a.result, a.answer.callerGone = err, control.Cancelled, true
	}
	return err == nil
}
