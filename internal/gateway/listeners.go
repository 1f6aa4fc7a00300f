package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/callerconn"
)

// Bounds of the listeners for the balancer, for peers and for operators, whose requests are small.
const (
	maxInternalHeadBytes = 16 << 10
	internalReadTimeout  = 10 * time.Second // of a whole request, with its body; also between two requests
	internalWriteTimeout = 10 * time.Second // of a response, from the end of the request's head; pulls end after pullTimeout
)

// newInternalServer returns a server for the balancer, for peers or for operators.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        callerconn.TrackBody(h),
		ConnState:      callerconn.ConnState,
		ConnContext:    callerconn.ConnContext,
		MaxHeaderBytes: maxInternalHeadBytes,
		ReadTimeout:    internalReadTimeout,
		WriteTimeout:   internalWriteTimeout,
	}
}

// internalListener is a listener for the balancer, for peers or for operators.
type internalListener struct {
	name     string // in logs and metrics
	addr     string
	handler  http.Handler
	maxConns int
}

func (p *process) serve(internal internalListener) error {
	tcp, err := net.Listen("tcp", internal.addr)
	if err != nil {
		return errors.Wrap(err, "gateway: listen")
	}
	l := callerconn.NewListener(tcp.(*net.TCPListener)) // the type of a listener for "tcp"
	l.SetBudgets(internal.maxConns, p.budgets.memory)
	l.SetLimits(callerconn.Limits{HeadBytes: maxInternalHeadBytes, HeadTimeout: internalReadTimeout})
	s := newInternalServer(internal.handler)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.listenerErrs <- err
		}
	}()
	p.wg.Go(func() { p.runPeriodically(idleCheckInterval, func() { p.meter.RecordRefused(l, internal.name) }) })
	return nil
}
