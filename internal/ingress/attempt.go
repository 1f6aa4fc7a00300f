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

// attempt sends the request to one endpoint and forwards the response.
func (c *call) attempt(ctx context.Context, t *control.Attempt) outcome {
	a := &attempt{call: c, placed: t, startedAt: time.Now()}
	c.triedEndpoints = append(c.triedEndpoints, t.Endpoint)
	event.LogFields(event.AttemptPlaced, "request", c.meta.ID, "endpoint", t.Endpoint, "addr", t.Addr, "load", t.Load, "mean", t.MeanLoad, "of", t.EligibleCount, "fetch_at", t.CacheSourceAddr)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watchdog = newWatchdog(a, cancel)
	defer a.watchdog.stop()
	o := a.run(ctx)
	a.end(ctx, o)
	return o
}

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	*call
	placed    *control.Attempt
	startedAt time.Time
	watchdog  *watchdog
	result    control.AttemptResult
	status    int
	err       error
}

func (a *attempt) end(ctx context.Context, o outcome) {
	if a.result == 0 {
		a.result = a.classify(ctx)
	}
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.AttemptEnded(now, a.placed, a.result)
		if a.attempts.lastResult == control.EndpointFailed {
			st.RecordRetryResult(a.admission.Service, a.result == control.ResponseComplete)
		}
	})
	a.attempts.lastResult = a.result
	detail := ""
	if a.err != nil {
		detail = a.err.Error()
	}
	event.LogFields(event.AttemptEnded, "request", a.meta.ID, "endpoint", a.placed.Endpoint, "result", a.result, "status", a.status,
		"sent", o.delivered, "may_have_run", o.mayHaveRun, "took_ms", time.Since(a.startedAt).Milliseconds(), "err", detail)
	a.s.meter.attemptEnded(a)
}

// classify maps the failure of an attempt to the result that the control state uses to judge
// the health of the endpoint.
func (a *attempt) classify(ctx context.Context) control.AttemptResult {
	var exchangeErr *exchange.Error
	connectFailed := errors.As(a.err, &exchangeErr) && exchangeErr.ConnectFailed
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errEndpointLost):
		return control.ConnectTimedOut
	case errors.Is(cause, errEndpointHanging):
		return control.ResponseOverdue
	case connectFailed && exchangeErr.Timeout():
		return control.ConnectTimedOut
	case cause != nil:
		return control.Cancelled
	case connectFailed:
		return control.ConnectionRefused
	default:
		return control.ResponseBroken
	}
}

func (a *attempt) run(ctx context.Context) outcome {
	resp, err := a.s.client.Do(ctx, a.placed.Addr, a.outboundRequest())
	if err != nil {
		a.err = err
		var exchangeErr *exchange.Error
		sent := !errors.As(err, &exchangeErr) || exchangeErr.MaybeSent
		return outcome{delivered: sent, mayHaveRun: sent}
	}
	defer resp.Close()
	return a.handleResponse(resp)
}

func (a *attempt) handleResponse(resp *exchange.Response) outcome {
	a.status = resp.Status
	meta := a.s.dialect.ReadResponse(resp.Status, resp.Header)
	a.reportEndpointState(&meta)
	o := outcome{delivered: true, mayHaveRun: true}
	switch {
	case meta.Misdirected && meta.Endpoint != a.placed.Endpoint:
		a.result = control.Misdirected
		return outcome{delivered: true}
	case meta.NotRun:
		a.result = control.RequestRefused
		return outcome{delivered: true}
	case meta.RequestID != "" && meta.RequestID != a.meta.ID:
		a.err = errors.Errorf("the response belongs to request %s", meta.RequestID)
		return o
	case !meta.HasStamp:
		a.err = errors.New("the response lacks the endpoint's signature")
		return o
	case isStream(resp):
		o.complete = a.forwardStream(resp)
	default:
		o.complete = a.forwardBuffered(resp)
	}
	return o
}

// reportEndpointState passes the endpoint's load and cold time in a response to the control state.
func (a *attempt) reportEndpointState(r *ResponseMetadata) {
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.ResponseStarted(now, a.placed)
		if r.ColdRemaining > 0 {
			st.ReportCold(now, a.placed, r.ColdRemaining)
		}
		if r.Load != nil {
			st.ReportLoad(now, a.placed, control.LoadReport{Running: r.Load.Running, Waiting: r.Load.Waiting})
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
	a.s.dialect.WriteForward(h, ForwardMetadata{
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
		Body:   a.body,
	}
}
