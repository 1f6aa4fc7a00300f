package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
)

// askTimeout limits a question to an endpoint for its incarnation. Lookups wait little longer for the reply.
const askTimeout = 500 * time.Millisecond

// askIncarnation asks an endpoint for its incarnation and reports a reply to the control state.
func (p *process) askIncarnation(a control.AskIncarnation) {
	ctx, cancel := context.WithTimeout(p.ctx, askTimeout)
	defer cancel()
	askedAt := boottime.Now()
	status, body, err := p.client.Fetch(ctx, a.Addr, p.opts.HeaderCodec.IncarnationPath())
	inc, ok := p.opts.HeaderCodec.ReadIncarnation(body)
	var exchangeErr *exchange.Error
	if errors.As(err, &exchangeErr) && exchangeErr.ConnectFailed && !exchangeErr.Timeout() {
		p.loop.Do(func(s *control.State, now boottime.Instant) { s.ProbeDone(now, a.ID, control.ProbeConnectionRefused) })
		return
	}
	if err != nil || status != http.StatusOK || !ok {
		event.LogFields(event.IncarnationUnreported, "endpoint", a.ID, "status", status, "err", err)
		return
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.IncarnationReported(now, a.ID, inc, askedAt) })
}
