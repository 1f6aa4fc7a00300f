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

var errEndpointRestarted = errors.New("the endpoint has another incarnation than its entry")

// send sends the request to the endpoint of the attempt. If the placement demands it, the endpoint must first report its
// incarnation on the same connection; an endpoint that has another one than its entry gets no request.
func (a *attempt) send(ctx context.Context) (*exchange.Response, error) {
	if !a.placed.ConfirmIncarnation {
		return a.s.client.Do(ctx, a.placed.Addr, a.outboundRequest())
	}
	askedAt := boottime.Now()
	check := exchange.Check{Target: a.s.codec.IncarnationPath(), Accept: func(status int, body []byte) error {
		return a.checkIncarnation(askedAt, status, body)
	}}
	resp, err := a.s.client.DoChecked(ctx, a.placed.Addr, check, a.outboundRequest())
	if errors.Is(err, exchange.ErrCheckConnClosed) {
		// The report was accepted. Only a restart within the next round trip would go unnoticed.
		return a.s.client.Do(ctx, a.placed.Addr, a.outboundRequest())
	}
	return resp, err
}

// checkIncarnation returns an error if a report has another incarnation than the endpoint's entry. An endpoint that
// does not report its incarnation is taken to have that of its entry.
func (a *attempt) checkIncarnation(askedAt boottime.Instant, status int, body []byte) error {
	inc, ok := a.s.codec.ReadIncarnation(body)
	if status != http.StatusOK || !ok {
		event.LogFields(event.IncarnationUnreported, "request", a.meta.ID, "endpoint", a.placed.Endpoint, "status", status)
		return nil
	}
	a.s.control.Do(func(st *control.State, now boottime.Instant) {
		st.IncarnationReported(now, a.placed.Endpoint, inc, askedAt)
	})
	if inc != a.placed.Incarnation {
		return errEndpointRestarted
	}
	return nil
}
