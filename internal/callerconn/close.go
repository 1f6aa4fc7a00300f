package callerconn

import (
	"io"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read, and discarded, of a request after an answer that did not wait for its end. A
	// connection that is closed with unread bytes is reset, which may destroy the answer on its way.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 4 << 20
	// lingerShare is the part of the connection budget that may linger; further connections are closed at once.
	lingerShare = 4
)

// Close implements net.Conn. After an answer that did not wait for the end of its request, it returns before the connection is closed,
// unless the connection was evicted.
func (c *Conn) Close() error {
	c.listener.remove(c)
	first, linger := c.beginClose()
	if !first {
		return c.TCPConn.Close()
	}
	if !linger || !c.listener.beginLinger() {
		defer c.listener.released(false)
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

// CloseWrite ends the answer. net/http calls it half a second before Close if much of a body was not read; an evicted connection is
// closed at once.
func (c *Conn) CloseWrite() error {
	if c.isEvicted() {
		return c.Close()
	}
	return c.TCPConn.CloseWrite()
}

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// beginClose reports whether Close is called for the first time, and whether the connection must linger.
func (c *Conn) beginClose() (first, linger bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.closing
	c.closing = true
	c.releaseCharge()
	return first, c.unread && !c.evicted
}

// linger ends the answer, discards what still arrives of the request, and closes the connection.
func (c *Conn) linger() {
	defer c.listener.released(true)
	defer c.TCPConn.Close()
	if c.TCPConn.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // the caller has closed it
	}
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes) // ends with the request, the time or the connection
}
