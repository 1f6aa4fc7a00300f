package callerconn

import (
	"bytes"
	"net"
	"time"

	"github.com/pkg/errors"
)

// ErrMemory is the error of a read of a body for which there is no memory. The handler may still answer.
var ErrMemory = errors.New("callerconn: no memory for the request")

// errRefused is the error of a read of a head that was refused. net/http does not answer it.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// refusalTime bounds the write of a refusal, which waits only if earlier answers are unread.
const refusalTime = 50 * time.Millisecond

// Answers to heads that are refused. None of these requests has run.
var refusals = map[Reason]string{
	HeadTooLarge: refusal("431 Request Header Fields Too Large", "", "the header is larger than allowed\n"),
	HeadLate:     refusal("408 Request Timeout", "", "the header did not arrive in time\n"),
	Memory:       refusal("503 Service Unavailable", "Retry-After: 1\r\n", "not run: no_memory\n"),
}

func refusal(status, field, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" + field + "\r\n" + body
}

// refuse ends the connection for a reason and returns the error for the reader. It must be called only by Read, which may be called
// again: package net/textproto drops an error between two lines.
func (c *Conn) refuse(why Reason) error {
	first, body, answer := c.beginRefusal(why)
	if first {
		c.listener.countClosed(why)
	}
	switch {
	case body:
		return ErrMemory
	case !first:
	case answer == "":
		_ = c.Close() // the server closes it once more
	default: // the server closes it, so that it lingers
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = c.TCPConn.Write([]byte(answer)) // the caller may have left
	}
	return errRefused
}

// beginRefusal reports whether the request is refused for the first time, whether that happens in its body, and the answer, if any.
func (c *Conn) beginRefusal(why Reason) (first, body bool, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = c.incoming.refused == 0
	c.incoming.refused = why
	body = !c.incoming.head && c.phase == InFlight
	if body || !first || c.incoming.began.IsZero() {
		return first, body, ""
	}
	if answer = refusals[why]; answer != "" {
		c.rejected, c.unread = true, true
	}
	return first, false, answer
}

// Write implements net.Conn. What is written before a head is complete is the server's rejection of that head.
func (c *Conn) Write(p []byte) (int, error) {
	if drop, reject := c.beginWrite(); drop {
		return len(p), nil
	} else if reject {
		c.listener.countClosed(rejection(p))
	}
	return c.TCPConn.Write(p)
}

// beginWrite reports whether what is to be written must be dropped, and whether it is the server's rejection of a head.
func (c *Conn) beginWrite() (drop, reject bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected {
		return true, false
	}
	if !c.incoming.head || c.unread || c.phase == Waiting {
		return false, false
	}
	c.unread = true
	return false, true
}

func rejection(answer []byte) Reason {
	if bytes.HasPrefix(answer, []byte("HTTP/1.1 431 ")) {
		return HeadTooLarge
	}
	return HeadMalformed
}
