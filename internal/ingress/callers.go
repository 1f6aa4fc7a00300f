package ingress

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	// lastAnswerTime is how long before the end of a planned stop all connections without a request are closed, so that
	// requests that have arrived by then can still be answered.
	lastAnswerTime = 300 * time.Millisecond
	// finalAnswerTime is how long after the end of a planned stop the answers to the requests that it has ended may take to be sent.
	finalAnswerTime = 200 * time.Millisecond
	// finalAnswerCheckInterval is the time between two checks whether all of them are sent.
	finalAnswerCheckInterval = 5 * time.Millisecond
)

// callers is the server of the callers' connections.
type callers struct {
	http        *http.Server
	listener    atomic.Pointer[callerconn.Listener]
	idleTimeout atomic.Int64 // published, ns; 0 if unknown or none
	stopping    atomic.Bool  // answers close their connections
	drainEnd    atomic.Int64 // end of the planned stop, Unix ns; 0 until the listener is closed
	maxConns    int          // 0: no bound
	unadmitted  *callerconn.Budget
}

func newCallers(h http.Handler) *callers {
	return &callers{http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: callerconn.MaxHeadTimeout, // callerconn enforces the limits that apply now
		MaxHeaderBytes:    callerconn.MaxHeadBytes,
		ConnState:         callerconn.ConnState,
		ConnContext:       callerconn.ConnContext,
	}}
}

// Serve serves callers until Drain or Close is called, or returns the listener's error.
func (s *Server) Serve(l *net.TCPListener) error {
	listener := callerconn.NewListener(l)
	listener.SetBudgets(s.callers.maxConns, s.callers.unadmitted)
	s.callers.listener.Store(listener)
	err := s.callers.http.Serve(listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "ingress: serve callers")
}

// DisableKeepAlives makes the server send "Connection: close" with every answer whose head is sent from now on.
func (s *Server) DisableKeepAlives() { s.callers.stopping.Store(true) }

// CloseIdle closes the callers' connections without a request whose time is over: the longer of the published idle
// timeout and the one that their last answer announced, plus callerconn.Margin.
func (s *Server) CloseIdle() {
	s.control.Do(func(st *control.State, _ boottime.Instant) { s.callers.setLimits(st.Limits()) })
	l := s.callers.listener.Load()
	if l == nil {
		return
	}
	l.Sweep(callerconn.Idle, s.callers.publishedIdleTimeout())
	s.recordClosed(l, callerconn.Idle, EndIdle)
	s.meter.RecordRefused(l, "callers")
}

// recordClosed records the connections without a request that have been closed since the last call.
func (s *Server) recordClosed(l *callerconn.Listener, why callerconn.Reason, cause EndCause) {
	n := l.Closed(why)
	if n == 0 {
		return
	}
	event.LogFields(event.CallersClosed, "cause", cause, "connections", n, "limit_ms", s.callers.publishedIdleTimeout().Milliseconds())
	s.meter.callersEnded(cause, n)
}

// Drain completes a planned stop. It accepts no more connections, closes those without a request as what their last
// answers announced passes, but all of them from idleEnd on, and returns once none is left or end has come. Requests that
// still arrive are refused if their time limit is beyond end. Requests that are still in progress at end are ended: answered, or cut if a stream has
// begun, which takes up to finalAnswerTime. It returns their number.
func (s *Server) Drain(idleEnd, end time.Time) int {
	l := s.callers.listener.Load()
	if l == nil {
		return 0
	}
	s.callers.drainEnd.Store(end.UnixNano())
	if last := end.Add(-lastAnswerTime); last.Before(idleEnd) {
		idleEnd = last
	}
	open := l.Drain(s.callers.publishedIdleTimeout(), idleEnd, end)
	s.recordClosed(l, callerconn.PlannedStop, EndPlannedStop)
	s.recordClosed(l, callerconn.GraceEnd, EndGracePeriod)
	if open == 0 {
		return 0
	}
	n := int(s.inProgress.Load())
	s.endRequests()
	s.Close(EndGracePeriod)
	return n
}

// endRequests ends the requests in progress and waits until their answers are sent, but not longer than finalAnswerTime.
func (s *Server) endRequests() {
	s.stopRequests()
	for end := time.Now().Add(finalAnswerTime); s.inProgress.Load() > 0 && time.Now().Before(end); {
		time.Sleep(finalAnswerCheckInterval)
	}
}

// Close closes the connections of all callers for the given cause and returns the number of requests that it cuts off.
func (s *Server) Close(cause EndCause) int {
	s.ending.Store(uint32(cause))
	n := int(s.inProgress.Load())
	if n > 0 {
		event.LogFields(event.CallersClosed, "cause", cause, "connections", n, "limit_ms", 0)
	}
	_ = s.callers.http.Close() // fails only if the listener is closed already
	return n
}

// endCause returns why the connection of a request in progress has ended.
func (s *Server) endCause() EndCause {
	if cause := EndCause(s.ending.Load()); cause != 0 {
		return cause
	}
	return EndCallerLeft
}

// endsBefore reports whether a planned stop that no longer accepts connections ends before t.
func (c *callers) endsBefore(t time.Time) bool {
	end := c.drainEnd.Load()
	return end != 0 && end < t.UnixNano()
}

func (c *callers) setLimits(limits routing.Limits) {
	c.idleTimeout.Store(int64(limits.IdleTimeout))
	if l := c.listener.Load(); l != nil {
		l.SetLimits(callerconn.Limits{HeadBytes: limits.MaxHeaderBytes, HeadTimeout: limits.HeaderTimeout})
	}
}

// keeps reports whether connections are kept between requests.
func (c *callers) keeps() bool {
	l := c.listener.Load()
	return !c.stopping.Load() && (l == nil || !l.Crowded())
}

func (c *callers) publishedIdleTimeout() time.Duration { return time.Duration(c.idleTimeout.Load()) }
