package ingress

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
)

// maxIncarnationChecks limits how often an endpoint that does not report its incarnation is asked before an attempt, each time on a
// new connection.
const maxIncarnationChecks = 3

// Errors of checks that end an attempt.
var (
	errEndpointRestarted     = errors.New("the endpoint has another incarnation than its entry")
	errIncarnationUnreported = errors.New("the endpoint does not report its incarnation")
)

// send sends the request to the endpoint of the attempt. If the placement demands it, the endpoint must first report its
// incarnation on the same connection; an endpoint that has another one than its entry, or reports none, gets no request.
func (a *attempt) send(ctx context.Context) (*exchange.Response, error) {
	if !a.placed.ConfirmIncarnation {
		return a.s.client.Do(ctx, a.placed.Addr, a.outboundRequest())
	}
	resp, err := a.sendChecked(ctx)
	for n := 1; n < maxIncarnationChecks && errors.Is(err, errIncarnationUnreported); n++ {
		resp, err = a.sendChecked(ctx)
	}
	if errors.Is(err, exchange.ErrCheckConnClosed) {
		return a.sendBetweenReports(ctx)
	}
	return resp, err
}

func (a *attempt) sendChecked(ctx context.Context) (*exchange.Response, error) {
	askedAt := boottime.Now()
	check := exchange.Check{Target: a.s.codec.IncarnationPath(), Accept: func(status int, body []byte) error {
		return a.checkIncarnation(askedAt, status, body)
	}}
	return a.s.client.DoChecked(ctx, a.placed.Addr, check, a.outboundRequest())
}

// sendBetweenReports sends the request to an endpoint that has just reported the incarnation of its entry and closed the connection. If
// it reports the same once it has begun to respond, the process has not been replaced in between, and the response is its own.
func (a *attempt) sendBetweenReports(ctx context.Context) (*exchange.Response, error) {
	resp, err := a.s.client.Do(ctx, a.placed.Addr, a.outboundRequest())
	if err != nil {
		return nil, err
	}
	askedAt := boottime.Now()
	status, body, err := a.s.client.Fetch(ctx, a.placed.Addr, a.s.codec.IncarnationPath())
	if err != nil {
		err = errors.WithMessage(errIncarnationUnreported, err.Error()) // err itself would say that the request was not sent
	} else {
		err = a.checkIncarnation(askedAt, status, body)
	}
	if err != nil {
		resp.Close()
		return nil, errors.WithMessage(err, "after the request was sent")
	}
	return resp, nil
}

// unproven reports whether an attempt has ended because its endpoint did not report the incarnation of its entry.
func unproven(err error) bool {
	return errors.Is(err, errEndpointRestarted) || errors.Is(err, errIncarnationUnreported)
}

// checkIncarnation returns an error if a report has another incarnation than the endpoint's entry, or none.
func (a *attempt) checkIncarnation(askedAt boottime.Instant, status int, body []byte) error {
	inc, ok := a.s.codec.ReadIncarnation(body)
	if status != http.StatusOK || !ok {
		event.LogFields(event.IncarnationUnreported, "request", a.meta.ID, "endpoint", a.placed.Endpoint, "status", status)
		return errIncarnationUnreported
	}
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.IncarnationReported(now, a.placed.Endpoint, inc, askedAt)
	})
	if inc != a.placed.Incarnation {
		return errEndpointRestarted
	}
	return nil
}
