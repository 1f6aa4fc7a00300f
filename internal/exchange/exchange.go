// Package exchange sends one HTTP/1.1 request to an endpoint over a connection of its
// own and reads the answer.
//
// Each request has a fresh connection, so that a request that may run only once is
// never written to a connection that died unnoticed, and no late answer of an earlier
// request can be taken for its own. An error tells whether a byte of the request was
// handed to the connection.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const readBufferBytes = 4 << 10

// Request is one request as it goes to an endpoint.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Error is the failure of an exchange before the head of its answer.
type Error struct {
	Sent          bool // a byte may have reached the endpoint
	ConnectFailed bool // no connection could be made
	Cause         error
}

// Error implements error.
func (e *Error) Error() string { return "exchange: " + e.Cause.Error() }

// Timeout tells whether the endpoint did not answer in time.
func (e *Error) Timeout() bool {
	var ne net.Error
	return errors.As(e.Cause, &ne) && ne.Timeout()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client opens the connections.
type Client struct{ dialer net.Dialer }

// NewClient returns a client whose connections must be made within a timeout.
func NewClient(connectTimeout time.Duration) *Client {
	return &Client{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

// Response is an endpoint's answer whose head has arrived. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // ends with io.EOF only when the body is whole
	Framed bool      // the end of the body is told apart from a closed connection

	conn net.Conn
	stop func() bool
}

// Do sends a request and returns the head of the answer. The end of ctx closes the
// connection, also while the body is read. All errors are *Error.
func (c *Client) Do(ctx context.Context, addr string, rq *Request) (*Response, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &Error{ConnectFailed: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	a, err := roundTrip(conn, rq)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// Probe tells whether a connection to an address can be made. It sends nothing over it.
func (c *Client) Probe(ctx context.Context, addr string) *Error {
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return &Error{ConnectFailed: true, Cause: err}
	}
	_ = conn.Close()
	return nil
}

func roundTrip(conn net.Conn, rq *Request) (*Response, error) {
	hr := rq.httpRequest()
	w := &countingWriter{w: conn}
	written := make(chan error, 1)
	// An endpoint may answer before it has read a long body.
	go func() { written <- hr.Write(w) }()
	resp, err := readResponse(conn, hr)
	if err == nil {
		return newAnswer(conn, resp), nil
	}
	_ = conn.Close()
	<-written
	return nil, &Error{Sent: w.n > 0, Cause: err}
}

func readResponse(conn net.Conn, hr *http.Request) (*http.Response, error) {
	br := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		resp, err := http.ReadResponse(br, hr)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the endpoint switched protocols")
		}
	}
}

func newAnswer(conn net.Conn, resp *http.Response) *Response {
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   resp.Body,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		conn:   conn,
	}
}

// httpRequest builds the request so that net/http adds nothing of its own but the
// framing of the body.
func (rq *Request) httpRequest() *http.Request {
	h := rq.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	hr := &http.Request{
		Method: rq.Method,
		URL:    &url.URL{Scheme: "http", Host: rq.Host, Opaque: rq.Target},
		Host:   rq.Host,
		Header: h,
		Close:  true,
	}
	if len(rq.Body) > 0 {
		hr.Body = io.NopCloser(bytes.NewReader(rq.Body))
		hr.ContentLength = int64(len(rq.Body))
	}
	return hr
}

// SetReadDeadline bounds the next read of the body.
func (a *Response) SetReadDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// Close closes the connection; the endpoint stops work on the request.
func (a *Response) Close() {
	a.stop()
	_ = a.conn.Close()
}

type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer. Bytes count before they are written: a write that fails
// may have handed over some of them.
func (c *countingWriter) Write(b []byte) (int, error) {
	c.n += len(b)
	return c.w.Write(b)
}
