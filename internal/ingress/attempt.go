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

// attempt offers the request to one endpoint and passes the answer on.
func (c *call) attempt(ctx context.Context, t *control.Attempt) outcome {
	a := &attempt{call: c, ticket: t, began: time.Now()}
	c.tried = append(c.tried, t.Endpoint)
	event.Record(event.AttemptPlaced, "request", c.head.ID, "endpoint", t.Endpoint, "addr", t.Addr, "load", t.Load, "mean", t.MeanLoad, "of", t.Candidates, "fetch_at", t.CacheSourceAddr)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watch = newWatch(a, cancel)
	defer a.watch.stop()
	o := a.run(ctx)
	a.end(ctx, o)
	return o
}

// attempt is one offer of a request to an endpoint.
type attempt struct {
	*call
	ticket *control.Attempt
	began  time.Time
	watch  *watch
	result control.Result
	status int
	err    error
}

func (a *attempt) end(ctx context.Context, o outcome) {
	if a.result == 0 {
		a.result = a.classify(ctx)
	}
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.AttemptEnded(now, a.ticket, a.result)
		if a.attempts.result == control.Failed {
			st.RecordRetryResult(a.admission.Service, a.result == control.Answered)
		}
	})
	a.attempts.result = a.result
	detail := ""
	if a.err != nil {
		detail = a.err.Error()
	}
	event.Record(event.AttemptEnded, "request", a.head.ID, "endpoint", a.ticket.Endpoint, "result", a.result, "status", a.status,
		"sent", o.reached, "may_have_run", o.ran, "took_ms", time.Since(a.began).Milliseconds(), "err", detail)
	a.s.meter.attempt(a)
}

// classify maps the failure of an attempt to what it says of its endpoint.
func (a *attempt) classify(ctx context.Context) control.Result {
	var xe *exchange.Error
	connect := errors.As(a.err, &xe) && xe.ConnectFailed
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errLost):
		return control.Unreachable
	case errors.Is(cause, errHanging):
		return control.Hanging
	case connect && xe.Timeout():
		return control.Unreachable
	case cause != nil:
		return control.Cancelled
	case connect:
		return control.ConnectionRefused
	default:
		return control.Broken
	}
}

func (a *attempt) run(ctx context.Context) outcome {
	x, err := a.s.client.Do(ctx, a.ticket.Addr, a.request())
	if err != nil {
		a.err = err
		var xe *exchange.Error
		sent := !errors.As(err, &xe) || xe.Sent
		return outcome{reached: sent, ran: sent}
	}
	defer x.Close()
	return a.reply(x)
}

func (a *attempt) reply(x *exchange.Response) outcome {
	a.status = x.Status
	reply := a.s.dialect.ReadResponse(x.Status, x.Header)
	a.heard(&reply)
	ran := outcome{reached: true, ran: true}
	switch {
	case reply.Misdirected && reply.Endpoint != a.ticket.Endpoint:
		a.result = control.Misdirected
		return outcome{reached: true}
	case reply.NotRun:
		a.result = control.RequestRefused
		return outcome{reached: true}
	case reply.RequestID != "" && reply.RequestID != a.head.ID:
		a.err = errors.Errorf("the answer belongs to request %s", reply.RequestID)
		return ran
	case !reply.Signed:
		a.err = errors.New("the answer is not signed")
		return ran
	case isStream(x):
		ran.whole = a.stream(x)
	default:
		ran.whole = a.document(x)
	}
	return ran
}

// heard tells the control state what an answer says of its endpoint.
func (a *attempt) heard(r *ResponseMetadata) {
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.ResponseStarted(now, a.ticket)
		if r.ColdRemaining > 0 {
			st.ReportCold(now, a.ticket, r.ColdRemaining)
		}
		if r.Load != nil {
			st.ReportLoad(now, a.ticket, control.LoadReport{Running: r.Load.Running, Waiting: r.Load.Waiting})
		}
	})
}

func (a *attempt) request() *exchange.Request {
	h := http.Header{}
	for name, values := range a.r.Header {
		if upstream.IsEndToEnd(name) {
			h[name] = values
		}
	}
	a.s.dialect.WriteForward(h, ForwardMetadata{
		ExpectedEndpoint: a.ticket.Endpoint,
		Workspace:        a.admission.Workspace,
		TimeLeft:         time.Until(a.deadline),
		Urgency:          a.admission.Priority,
		CacheFetchAddr:   a.ticket.CacheSourceAddr,
		LastEventID:      a.answer.lastEvent,
	})
	return &exchange.Request{
		Method: a.r.Method,
		Target: a.r.URL.RequestURI(),
		Host:   a.r.Host,
		Header: h,
		Body:   a.body,
	}
}
