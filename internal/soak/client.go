package soak

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// connectTimeout is how long a caller waits for a new connection.
const connectTimeout = time.Second

// clientConn is a caller's connection to a gateway. Unlike http.Transport, it can tell how much of a request
// reached the gateway's host.
type clientConn struct {
	gateway   *gateway
	tcp       *net.TCPConn
	reader    *bufio.Reader
	written   uint64        // bytes of the requests that were written so far
	used      bool          // has brought a response
	idleSince time.Time     // end of the last response
	idleLimit time.Duration // announced with the last response, otherwise published at its time; 0: none
	announced bool          // idleLimit was announced by the gateway
}

func dial(ctx context.Context, g *gateway) (*clientConn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp", g.callerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "soak: connect")
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("soak: connection of type %T", c)
	}
	return &clientConn{gateway: g, tcp: tcp, reader: bufio.NewReader(tcp)}, nil
}

func (c *clientConn) close() { _ = c.tcp.Close() }

// sending is one request as it is written and read.
type sending struct {
	request  *http.Request
	deadline time.Time
	pause    time.Duration // between the head and the body of the request
	limit    int64         // bytes of the body after which the caller leaves, 0: none
}

// roundTrip sends a request and reads its response. It returns the body, and whether the connection may be used again.
func (c *clientConn) roundTrip(s sending) (o response, body []byte, reusable bool) {
	o = response{connected: true, kept: c.used}
	if c.used {
		o.idle = time.Since(c.idleSince)
		o.announcedEnd = c.announced && o.idle >= c.idleLimit
	}
	before := c.written
	_ = c.tcp.SetDeadline(s.deadline)
	wroteAll, err := c.write(s)
	if err == nil {
		body, reusable, err = c.read(s, &o)
	}
	o.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	acked, known := ackedBytes(c.tcp)
	// A close with unread bytes resets the connection. These bytes may not have been acknowledged yet; a close that the
	// request crossed ends the connection in the regular way.
	received := !known || errors.Is(err, syscall.ECONNRESET)
	o.receivedPart = received || acked > before
	o.receivedAll = o.firstByte || err == nil || (received && wroteAll) || acked >= c.written
	return o, body, reusable
}

// write writes the request, and reports whether it wrote all of it. It returns an error only if the deadline has passed: after
// any other error, reading tells more.
func (c *clientConn) write(s sending) (all bool, err error) {
	var buf bytes.Buffer
	if err := s.request.Write(&buf); err != nil {
		return false, errors.Wrap(err, "soak: request")
	}
	whole := buf.Bytes()
	c.written += uint64(len(whole))
	head := len(whole)
	if s.pause > 0 {
		head = bytes.Index(whole, []byte("\r\n\r\n")) + len("\r\n\r\n")
	}
	_, err = c.tcp.Write(whole[:head])
	if err == nil && head < len(whole) {
		time.Sleep(s.pause)
		_, err = c.tcp.Write(whole[head:])
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	return err == nil, nil
}

// read reads the response.
func (c *clientConn) read(s sending, o *response) (body []byte, reusable bool, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	o.firstByte = true
	resp, err := http.ReadResponse(c.reader, s.request)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	o.status, o.stamped = resp.StatusCode, platformtest.Stamped(resp.Header)
	if s.limit > 0 {
		body, err = io.ReadAll(io.LimitReader(resp.Body, s.limit))
		o.left = err == nil && int64(len(body)) == s.limit
	} else {
		body, err = io.ReadAll(resp.Body)
	}
	o.complete = err == nil && !o.left
	if !o.complete {
		return body, false, err
	}
	c.used, c.idleSince = true, time.Now()
	c.idleLimit, c.announced = announcedIdleLimit(resp.Header)
	return body, !resp.Close && c.reader.Buffered() == 0, nil
}

// announcedIdleLimit returns the idle timeout in a Keep-Alive header, and whether there is one.
func announcedIdleLimit(h http.Header) (time.Duration, bool) {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
