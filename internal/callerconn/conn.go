package callerconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// interrupted is a deadline in the past.
var interrupted = time.Unix(1, 0)

// Conn is a caller's connection. Methods that it doesn't define are those of the TCP connection.
type Conn struct {
	*net.TCPConn
	listener *Listener
	accepted time.Time

	mu        sync.Mutex
	incoming  incoming // what is arriving of a request
	phase     Phase
	since     time.Time     // start of the phase
	announced time.Duration // Keep-Alive timeout of the last answer
	deadline  time.Time     // for reads, as set by the server
	applied   time.Time     // deadline of the TCP connection: the earlier one of deadline and the limits' own
	awaits    bool          // the server has begun to wait for the next request
	reading   bool          // a Read is in progress
	asked     Reason        // why the connection shall be closed, 0 if it shall not
	limit     time.Duration // idle timeout for the decision on asked
	unread    bool          // the answer in progress does not wait for the rest of the request's body
	rejected  bool          // this package has answered; what the server still writes is dropped
	evicted   bool          // closed for others, which need its descriptor or memory: it does not linger
	closing   bool          // Close was called
}

// Announce records the Keep-Alive timeout that the answer in progress carries, 0 for none.
func (c *Conn) Announce(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = timeout
}

// leaveUnread records that the answer in progress does not wait for the rest of the request's body.
func (c *Conn) leaveUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
}

// answered records the end of an answer after which the connection is kept.
func (c *Conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = false
	c.setPhase(Waiting)
	c.awaits = false
	c.releaseCharge()
	early := c.incoming.early
	c.incoming = incoming{head: true, progress: c.since}
	if early {
		c.setPhase(Started)
		c.incoming.begin(c.since)
	}
}

func (c *Conn) setPhase(p Phase) { c.phase, c.since = p, time.Now() }

// SetReadDeadline implements net.Conn. The server sets the deadline when it begins to wait for a request, when it has
// enough bytes of a head, which may have been buffered behind the request before (not for the first request), and when the
// head is complete. It removes the deadline immediately before its background read, which follows the body.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.awaits:
		c.awaits = true
	case c.phase == Waiting, c.phase == Started:
		c.setPhase(InFlight)
		c.incoming.begin(c.since)
	default:
		c.incoming.head = false
		if t.IsZero() {
			c.incoming.bodyEnded = true
		}
	}
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Read implements net.Conn. A deadline ends the wait for bytes; those that have arrived are read regardless of it.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if why := c.beginRead(p); why != 0 {
			return 0, c.refuse(why)
		}
		n, err := c.TCPConn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.aborted() {
			n, err = c.readArrived(p, err)
		}
		done, why, unpaid := c.endRead(p[:max(n, 0)], err)
		if unpaid > 0 && !c.makeRoom(unpaid) {
			why = Memory
		}
		if why != 0 {
			return 0, c.refuse(why)
		}
		if done {
			return n, err
		}
	}
}

// beginRead returns the reason for which the request that is being read must be refused, or 0.
func (c *Conn) beginRead(p []byte) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incoming.refused != 0 {
		return c.incoming.refused
	}
	if c.incoming.head && c.incoming.bytes >= c.listener.limits.headBytes() {
		return HeadTooLarge
	}
	c.incoming.watch = len(p) == 1 && c.incoming.bodyEnded
	c.reading = true
	if c.readDeadline() != c.applied {
		_ = c.applyDeadline() // fails only if the connection is closed
	}
	return 0
}

// aborted reports whether the server has set a deadline in the past to end a read. What has arrived stays in the
// receive buffer for its next read.
func (c *Conn) aborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked == 0 && !c.deadline.IsZero() && c.deadline.Before(c.accepted)
}

// readArrived reads without waiting, regardless of the deadline. It returns the error none if nothing has arrived. It
// must be called only by Read.
func (c *Conn) readArrived(p []byte, none error) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, readErr = syscall.Read(int(fd), p)
		for readErr == syscall.EINTR {
			n, readErr = syscall.Read(int(fd), p)
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, none
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

// endRead updates the state after a read. It returns false if the read was only interrupted, by a sweep or a deadline that
// no longer holds, and the connection is kept; the reason for which the connection must be closed, or 0; and the cost of what was
// read if the memory budget has no room for it, otherwise 0.
func (c *Conn) endRead(read []byte, err error) (done bool, closeFor Reason, unpaid int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	why := c.asked
	c.asked = 0
	if why != 0 {
		_ = c.applyDeadline() // fails only if the connection is closed
	}
	if len(read) > 0 {
		return true, 0, c.received(read)
	}
	if why == 0 && c.deadline.Before(c.accepted) && !c.deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return true, 0, 0
	}
	now := time.Now()
	if why != 0 && Decide(c.state(), why, c.limit, now) == Close {
		c.evicted = why == Connections || why == Memory
		return true, why, 0
	}
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return true, 0, 0
	}
	return false, c.lateness(now), 0
}

// received updates the state after bytes were read. It returns their cost if the memory budget has no room for it, otherwise 0.
func (c *Conn) received(read []byte) (unpaid int64) {
	if c.phase == InFlight && !c.incoming.head && !c.incoming.body {
		c.incoming.early = c.incoming.watch
		return 0
	}
	now := time.Now()
	switch c.phase {
	case Fresh:
		c.phase, c.since = InFlight, now
	case Waiting:
		c.phase, c.since = Started, now
	case InFlight:
		c.incoming.early = c.incoming.watch
	}
	cost := c.incoming.count(read, now)
	if c.charge(cost) {
		return 0
	}
	return cost
}

func (c *Conn) state() State {
	return State{Phase: c.phase, Since: c.since, Announced: c.announced, Incomplete: c.incoming.incomplete(c.phase)}
}

// askToClose interrupts the reader if the connection may be closed, and reports whether it did. The reader then
// decides with what has arrived.
func (c *Conn) askToClose(why Reason, limit time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading || Decide(c.state(), why, limit, now) != Close {
		return false
	}
	return c.ask(why, limit)
}

// ask interrupts the reader. c.mu must be held.
func (c *Conn) ask(why Reason, limit time.Duration) bool {
	c.asked, c.limit = why, limit
	return c.TCPConn.SetReadDeadline(interrupted) == nil
}
