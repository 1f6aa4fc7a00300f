package exchange

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// maxCheckBytes bounds the body of the response to a check.
const maxCheckBytes = 64 << 10

// Errors of checks. The request that follows the check has not been sent.
var (
	ErrCheckTooLarge   = errors.New("exchange: the response to the check is too large")
	ErrCheckConnClosed = errors.New("exchange: the endpoint closes the connection after the check")
	ErrCheckExtraBytes = errors.New("exchange: bytes follow the response to the check")
)

// Check is a GET request that is sent before another request on the same connection, and therefore to the same process.
type Check struct {
	Target string // path and query
	// Accept returns an error if the other request must not be sent.
	Accept func(status int, body []byte) error
}

// DoChecked sends a check and, if its response is accepted, a request, as Do does. An error of the check or of its Accept
// has MaybeSent false.
func (c *Client) DoChecked(ctx context.Context, addr string, check Check, req *Request) (*Response, error) {
	resp, err := c.do(ctx, addr, req, func(conn net.Conn) error { return check.run(conn, req.Host) })
	if err != nil {
		return nil, err
	}
	resp.Checked = true
	return resp, nil
}

// Fetch sends a GET request and returns the whole response, of at most maxCheckBytes.
func (c *Client) Fetch(ctx context.Context, addr, target string) (status int, body []byte, err error) {
	check := Check{Target: target, Accept: func(s int, b []byte) error {
		status, body = s, b
		return nil
	}}
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, nil, &Error{ConnectFailed: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	err = check.run(conn, addr)
	if errors.Is(err, ErrCheckConnClosed) {
		err = nil
	}
	return status, body, err
}

// run sends the check and has its response accepted.
func (c *Check) run(conn net.Conn, host string) error {
	httpReq := (&Request{Method: http.MethodGet, Target: c.Target, Host: host, Header: http.Header{}}).httpRequest()
	httpReq.Close = false
	if err := httpReq.Write(conn); err != nil {
		return errors.Wrap(err, "check")
	}
	resp, buffer, err := readBufferedResponse(conn, httpReq)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCheckBytes+1))
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if len(body) > maxCheckBytes {
		return ErrCheckTooLarge
	}
	if buffer.Buffered() > 0 {
		return ErrCheckExtraBytes
	}
	if err := c.Accept(resp.StatusCode, body); err != nil {
		return err
	}
	if resp.Close {
		return ErrCheckConnClosed
	}
	return nil
}
