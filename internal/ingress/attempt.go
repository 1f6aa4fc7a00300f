package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// logPlaced logs an attempt with the inputs of its placement.
func (c *call) logPlaced(placed *control.Attempt) {
	fields := []any{"request", c.meta.ID, "fingerprint", c.fingerprint, "endpoint", placed.Endpoint, "version", placed.Version, "addr", placed.Addr,
		"load", placed.Load, "mean", placed.MeanLoad, "of", placed.EligibleCount, "fetch_at", placed.CacheSourceAddr,
		"read_ms", control.Milliseconds(placed.Estimate.Read), "hold_ms", control.Milliseconds(placed.Estimate.Hold)}
	if e := &placed.Estimate; e.FirstEvent != 0 {
		fields = append(fields, "first_event_ms", control.Milliseconds(e.FirstEvent))
		if e.RunnerUp != "" {
			fields = append(fields, "runner_up", e.RunnerUp, "runner_up_ms", control.Milliseconds(e.RunnerUpAt))
		}
	}
	event.LogFields(event.AttemptPlaced, fields...)
}

// runAttempt sends the request to one endpoint and forwards the response. The attempt ends in the control state in any
// case: after a panic as cancelled, because a fault of this program says nothing about the endpoint.
func (c *call) runAttempt(ctx context.Context, placed *control.Attempt) (d delivery) {
	a := &attempt{call: c, placed: placed, startedAt: time.Now()}
	c.triedEndpoints = append(c.triedEndpoints, placed.Endpoint)
	c.logPlaced(placed)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	panicked := true
	defer func() {
		if panicked {
			d = a.afterPanic()
		}
		a.end(ctx, d)
		d.broken = a.result == control.ResponseBroken && connectionBroke(a.err)
	}()
	d = a.runWatched(ctx, cancel)
	panicked = false
	if c.reserved != nil {
		c.attempts.givenUp = append(c.attempts.givenUp, placed.Endpoint)
	}
	if a.result == control.ResponseDropped && !a.stream { // another stream may have small events
		c.endRetries(control.ReasonNoMemory)
	}
	return d
}

// afterPanic returns what is known about the delivery of an attempt that a panic ended.
func (a *attempt) afterPanic() delivery {
	if a.result == 0 {
		a.result = control.Cancelled
	}
	return delivery{maybeSent: true, mayHaveRun: true}
}

// endRetries rules out further attempts, the reserved one included.
func (c *call) endRetries(r control.Reason) {
	c.attempts.ruleOutRetries(r)
	c.releaseReserved()
	c.reserved = nil
}

func (a *attempt) runWatched(ctx context.Context, cancel context.CancelCauseFunc) delivery {
	a.watchdog = newWatchdog(a, cancel)
	defer func() { a.reserved = a.watchdog.stop() }()
	return a.run(ctx)
}

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	*call
	placed    *control.Attempt // this attempt in the control state, with the chosen endpoint
	startedAt time.Time
	watchdog  *watchdog
	result    control.AttemptResult
	status    int
	stream    bool // the response is an event stream
	events    int  // forwarded to the caller by this attempt
	err       error
}

func (a *attempt) end(ctx context.Context, d delivery) {
	if a.result == 0 {
		a.result = a.classify(ctx)
	}
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		if a.result == control.ResponseBroken && connectionBroke(a.err) {
			st.ConnectionBroke(now, a.placed, a.lastReceivedEvent())
		}
		st.AttemptEnded(now, a.placed, a.result)
		if a.attempts.lastResult == control.EndpointFailed && a.result != control.ResponseDropped {
			st.RecordRetryResult(a.admission.Service, a.result == control.ResponseComplete)
		}
	})
	a.attempts.lastResult = a.result
	detail := ""
	if a.err != nil {
		detail = a.err.Error()
	}
	event.LogFields(event.AttemptEnded, "request", a.meta.ID, "endpoint", a.placed.Endpoint, "result", a.result, "status", a.status,
		"sent", d.maybeSent, "may_have_run", d.mayHaveRun, "events", a.events, "took_ms", time.Since(a.startedAt).Milliseconds(), "err", detail)
	a.s.meter.attemptEnded(a)
}

// classify maps the failure of an attempt to the result from which the control state derives the
// health of the endpoint.
func (a *attempt) classify(ctx context.Context) control.AttemptResult {
	var exchangeErr *exchange.Error
	connectFailed := errors.As(a.err, &exchangeErr) && exchangeErr.ConnectFailed
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errEndpointUnreachable):
		return control.ConnectTimedOut
	case errors.Is(cause, errResponseOverdue):
		return control.ResponseOverdue
	case cause != nil: // its deadline makes a connection attempt look timed out
		return control.Cancelled
	case connectFailed && exchangeErr.Timeout():
		return control.ConnectTimedOut
	case connectFailed:
		return control.ConnectionRefused
	default:
		return control.ResponseBroken
	}
}

func (a *attempt) run(ctx context.Context) delivery {
	resp, err := a.send(ctx)
	if err != nil {
		a.err = err
		if unproven(err) {
			a.result = control.IncarnationUnproven
		}
		var exchangeErr *exchange.Error
		sent := !errors.As(err, &exchangeErr) || exchangeErr.MaybeSent
		return delivery{maybeSent: sent, mayHaveRun: sent}
	}
	defer resp.Close()
	return a.handleResponse(resp)
}

func (a *attempt) handleResponse(resp *exchange.Response) delivery {
	a.status = resp.Status
	meta := a.s.codec.ReadResponse(resp.Status, resp.Header)
	d := delivery{maybeSent: true, mayHaveRun: true}
	if a.err = a.checkIdentity(resp, &meta); a.err != nil {
		return d
	}
	misdirected := meta.Misdirected && meta.Endpoint != a.placed.Endpoint
	if !misdirected {
		a.reportEndpointState(&meta)
	}
	switch {
	case misdirected:
		a.result = control.Misdirected
		return delivery{maybeSent: true}
	case meta.NotRun:
		a.result = control.RequestRefused
		return delivery{maybeSent: true}
	case !meta.HasStamp:
		a.err = errors.New("the response lacks the endpoint's stamp header")
		return d
	case isStream(resp):
		a.stream = true
		d.complete = a.forwardStream(resp)
	default:
		d.complete = a.forwardBuffered(resp)
	}
	return d
}

// checkIdentity returns an error if a response is or may be an extra one, so that the request may run: if it names another request, or if it
// states that the request has not run and names none, on a connection on which another response came before.
func (a *attempt) checkIdentity(resp *exchange.Response, meta *ResponseMetadata) error {
	switch {
	case meta.RequestID == a.meta.ID:
		return nil
	case meta.RequestID != "":
		return errors.Errorf("the response belongs to request %s", meta.RequestID)
	case resp.Checked && (meta.NotRun || meta.Misdirected):
		return errors.New("the refusal does not name the request")
	default:
		return nil
	}
}

// reportEndpointState passes the endpoint's load and cold time in a response to the control state.
func (a *attempt) reportEndpointState(r *ResponseMetadata) {
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.ResponseStarted(now, a.placed)
		if r.ColdRemaining > 0 {
			st.ReportCold(now, a.placed, r.ColdRemaining)
		}
		if r.Leaving {
			st.ReportLeaving(now, a.placed)
		}
		if r.RetryAfter > 0 {
			st.ReportRetryAfter(now, a.placed, r.RetryAfter)
		}
		if r.Load != nil {
			st.ReportLoad(now, a.placed, control.LoadReport{Running: r.Load.Running, Waiting: r.Load.Waiting, Speed: r.Load.Speed})
		}
	})
}

func (a *attempt) outboundRequest() *exchange.Request {
	h := http.Header{}
	for name, values := range a.r.Header {
		if upstream.IsForwardable(name) {
			h[name] = values
		}
	}
	a.s.codec.WriteForward(h, ForwardMetadata{
		ExpectedEndpoint: a.placed.Endpoint,
		Workspace:        a.admission.Workspace,
		TimeLeft:         time.Until(a.deadline),
		Priority:         a.admission.Priority,
		CacheFetchAddr:   a.placed.CacheSourceAddr,
		LastEventID:      a.response.lastEventID,
	})
	return &exchange.Request{
		Method: a.r.Method,
		Target: a.r.URL.RequestURI(),
		Host:   a.r.Host,
		Header: h,
		Body:   a.body.Parts(),
	}
}
