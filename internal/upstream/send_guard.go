package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errLeaseExpired = errors.New("upstream: lease expired before the first byte")

var errAborted = errors.New("upstream: attempt ended before the first byte")

type sendState int32

const (
	sendNotStarted sendState = iota // no byte was written to the connection
	sendStarted                     // a byte may have been written
	sendExpired                     // final: no byte was written, as the lease expired
	sendAborted                     // final: no byte was written before the attempt ended
)

// sendGuard decides atomically whether an attempt may write its first byte to its
// connection. Once it is finished, the first byte can no longer be written.
type sendGuard struct {
	notAfter time.Time
	state    atomic.Int32
}

// start must be called before the first byte is written. It fails if the lease expired or the attempt ended.
func (g *sendGuard) start() error {
	if !g.notAfter.IsZero() && time.Now().After(g.notAfter) {
		g.state.CompareAndSwap(int32(sendNotStarted), int32(sendExpired))
	}
	if g.state.CompareAndSwap(int32(sendNotStarted), int32(sendStarted)) {
		return nil
	}
	if sendState(g.state.Load()) == sendExpired {
		return errLeaseExpired
	}
	return errAborted
}

// revert undoes start after the first write failed without writing a byte.
func (g *sendGuard) revert() {
	g.state.CompareAndSwap(int32(sendStarted), int32(sendNotStarted))
}

// finish prevents the first byte from being written from now on and returns the resulting state.
func (g *sendGuard) finish() sendState {
	g.state.CompareAndSwap(int32(sendNotStarted), int32(sendAborted))
	return sendState(g.state.Load())
}

// guardedConn is the connection of one attempt. Its first write must be permitted by the guard.
type guardedConn struct {
	net.Conn
	guard         *sendGuard
	firstByteSent bool
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.firstByteSent {
		return c.Conn.Write(b)
	}
	if err := c.guard.start(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.guard.revert()
		return n, err
	}
	c.firstByteSent = true
	return n, err
}

type sendGuardKey struct{}

func withSendGuard(ctx context.Context, g *sendGuard) context.Context {
	return context.WithValue(ctx, sendGuardKey{}, g)
}

// DialFunc dials a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialGuarded dials a connection and attaches the sendGuard of the context to it.
func (d DialFunc) dialGuarded(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	g, ok := ctx.Value(sendGuardKey{}).(*sendGuard)
	if !ok {
		return conn, nil
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}
