// Package exchange is an HTTP/1.1 client that uses a new connection for each request.
//
// Connections are not reused, so a non-idempotent request is never written to a stale
// connection, and a late response to an earlier request cannot be mistaken for the current
// one. An error reports whether any byte of the request may have reached the endpoint; if none
// has, the request can safely be retried.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/respcheck"
)

const readBufferBytes = 4 << 10

// Request is one request to an endpoint.
type Request struct {
	Method string
	Target string // path and query, unchanged from the caller's request
	Host   string
	Header http.Header
	Body   [][]byte // in parts; not changed
}

// Error is a failure to connect, or a failure before the head of the response was received.
type Error struct {
	MaybeSent     bool // part of the request may have reached the endpoint
	ConnectFailed bool // the connection could not be established
	Cause         error
}

// maxErrorBytes bounds the text of an Error, since net/http quotes what it cannot parse.
const maxErrorBytes = 256

// Error implements error.
func (e *Error) Error() string {
	text := "exchange: " + e.Cause.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// Timeout reports whether the cause is a timeout.
func (e *Error) Timeout() bool {
	var ne net.Error
	return errors.As(e.Cause, &ne) && ne.Timeout()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client sends requests. It is safe for concurrent use.
type Client struct{ dialer net.Dialer }

// NewClient returns a client with a timeout for establishing connections.
func NewClient(connectTimeout time.Duration) *Client {
	return &Client{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

// Response is an endpoint's response whose head has been received. Close must be called.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.Reader // returns io.EOF only at the end of the complete body, see respcheck.Body
	Length  int64     // of Body as announced, -1: unknown
	Framed  bool      // the body has a length or is chunked, so that its truncation is detected
	Checked bool      // another response came before on the connection, so that an extra one may stand in place of this

	conn           net.Conn
	stopCancelHook func() bool
}

// Do sends a request and returns when the head of the response has been received. Cancelling
// ctx closes the connection, also while the body is being read. All errors are *Error.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	return c.do(ctx, addr, req, func(net.Conn) error { return nil })
}

// do sends a request on a new connection after prepare has returned nil.
func (c *Client) do(ctx context.Context, addr string, req *Request, prepare func(net.Conn) error) (*Response, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &Error{ConnectFailed: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := prepare(conn); err != nil {
		stop()
		_ = conn.Close()
		return nil, &Error{Cause: err}
	}
	resp, err := roundTrip(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	resp.stopCancelHook = stop
	return resp, nil
}

// Probe checks whether a connection to an address can be established. It sends no data.
func (c *Client) Probe(ctx context.Context, addr string) *Error {
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return &Error{ConnectFailed: true, Cause: err}
	}
	_ = conn.Close()
	return nil
}

func roundTrip(conn net.Conn, req *Request) (*Response, error) {
	httpReq := req.httpRequest()
	w := &countingWriter{w: conn}
	written := make(chan error, 1)
	// The write runs concurrently because an endpoint may respond before it has read a long body.
	go func() { written <- write(httpReq, w) }()
	resp, err := readResponse(conn, httpReq)
	if err == nil {
		return newResponse(conn, resp, func() error { return <-written }), nil
	}
	_ = conn.Close()
	<-written
	return nil, &Error{MaybeSent: w.n > 0, Cause: err}
}

// write writes a request. A panic is an error: no handler would recover it on the goroutine of the write.
func write(r *http.Request, w io.Writer) (err error) {
	if p := fault.Contain("write_request", func() { err = r.Write(w) }); p != nil {
		return p
	}
	return err
}

// newResponse returns a response whose head has been read. awaitWrite returns the result of writing the request.
func newResponse(conn net.Conn, resp *http.Response, awaitWrite func() error) *Response {
	length := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		length = 0 // the announced length is that of the response to a GET
	}
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   respcheck.Body(resp, awaitWrite),
		Length: length,
		Framed: !respcheck.CloseDelimited(resp),
		conn:   conn,
	}
}

// httpRequest converts the request for net/http. The explicit User-Agent keeps net/http from
// adding its own; it adds only "Connection: close" and the framing of the body.
func (req *Request) httpRequest() *http.Request {
	h := req.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	httpReq := &http.Request{
		Method: req.Method,
		URL:    &url.URL{Scheme: "http", Host: req.Host, Opaque: req.Target},
		Host:   req.Host,
		Header: h,
		Close:  true,
	}
	if n := req.bodyBytes(); n > 0 {
		parts := net.Buffers(slices.Clone(req.Body)) // reading consumes them
		httpReq.Body = io.NopCloser(&parts)
		httpReq.ContentLength = n
	}
	return httpReq
}

func (req *Request) bodyBytes() int64 {
	var n int64
	for _, part := range req.Body {
		n += int64(len(part))
	}
	return n
}

// SetReadDeadline sets the deadline of reads from the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Close closes the connection, which also makes the endpoint stop work on an unfinished request.
func (r *Response) Close() {
	r.stopCancelHook()
	_ = r.conn.Close()
}

// countingWriter counts the bytes handed to a writer.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer. It counts the bytes before the write, since a failed write may
// have sent some of them.
func (c *countingWriter) Write(b []byte) (int, error) {
	c.n += len(b)
	return c.w.Write(b)
}
