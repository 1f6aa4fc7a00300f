package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts callers' connections and keeps track of them.
type Listener struct {
	*net.TCPListener
	limits   currentLimits
	maxConns int           // 0: no bound
	memory   *Budget       // nil: no bound
	room     chan struct{} // holds an element after a connection was closed

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	open      int            // connections whose descriptors are open: conns and those that linger
	lingering int            // those that linger
	accepting int            // calls of Accept
	closed    map[Reason]int // since the last call of Closed
}

// NewListener returns a listener that accepts the connections of l, without budgets.
func NewListener(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, room: make(chan struct{}, 1), conns: map[*Conn]struct{}{}, closed: map[Reason]int{}}
}

// SetBudgets bounds the number of connections, and the memory for what their callers send and do not read. It must be called before
// Accept.
func (l *Listener) SetBudgets(conns int, memory *Budget) { l.maxConns, l.memory = conns, memory }

// SetLimits sets the limits on the heads of requests. They apply at once, also to heads that are being read.
func (l *Listener) SetLimits(limits Limits) { l.limits.set(limits) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.beginAccept()
	defer l.endAccept()
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
		l.countClosed(Refused)
		_ = tcp.Close()
	}
}

func (l *Listener) beginAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting++
}

func (l *Listener) endAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
}

// ConnState must be the ConnState hook of the http.Server that serves a Listener.
func ConnState(c net.Conn, s http.ConnState) {
	if conn, ok := c.(*Conn); ok && s == http.StateIdle {
		conn.answered()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext must be the ConnContext hook of the http.Server that serves a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Announce records the Keep-Alive timeout that an answer carries, 0 for none. ctx is the context of the answer's
// request.
func Announce(ctx context.Context, timeout time.Duration) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.Announce(timeout)
	}
}

// LeaveUnread records that the answer in progress does not wait for the rest of the request's body. ctx is the context of its request.
func LeaveUnread(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.leaveUnread()
	}
}

// Sweep examines all connections for the same reason and returns how many of them it has asked to close. They close
// soon after, except those in which a request has arrived.
func (l *Listener) Sweep(why Reason, limit time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	asked := 0
	for c := range l.conns {
		if c.askToClose(why, limit, now) {
			asked++
		}
	}
	return asked
}

// Closed returns how many connections have been closed for a reason since the last call.
func (l *Listener) Closed(why Reason) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.closed[why]
	delete(l.closed, why)
	return n
}

// Len returns the number of open connections, without those that linger.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// idle reports whether no connection is open, lingering or just being accepted.
func (l *Listener) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && l.accepting == 0
}

// remove forgets a connection that begins to close.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Listener) countClosed(why Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed[why]++
}
