// Package httpcall makes HTTP requests and reads whole responses, whose heads are valid, and whose head and body are bounded in bytes. The
// context of the request bounds their time.
package httpcall

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/respcheck"
)

// ErrTooLarge is returned for a response body that exceeds the size limit.
var ErrTooLarge = errors.New("httpcall: response body too large")

// MaxHeadBytes is the maximum size of the head of a response, with all interim responses before it.
const MaxHeadBytes = 16 << 10

// NewClient returns a client with a transport, on which it sets the bound of the head. A response whose head is invalid is an error. It
// returns redirects as responses: servers of this fleet and the platform have no reason to send any.
func NewClient(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return &http.Client{
		Transport:     respcheck.Transport{Base: t},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Response is the status and the whole body of a response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get sends a GET request. A body of more than maxBytes is ErrTooLarge.
func Get(ctx context.Context, c *http.Client, url string, maxBytes int64) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Response{}, errors.Wrap(err, "httpcall: build request")
	}
	return Do(c, r, maxBytes)
}

// Do sends a request. A body of more than maxBytes is ErrTooLarge.
func Do(c *http.Client, r *http.Request, maxBytes int64) (Response, error) {
	resp, err := c.Do(r)
	if err != nil {
		return Response{}, errors.Wrap(err, "httpcall")
	}
	defer resp.Body.Close()
	if resp.ContentLength > maxBytes {
		return Response{}, ErrTooLarge
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "httpcall: read response body")
	}
	if int64(len(b)) > maxBytes {
		return Response{}, ErrTooLarge
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}
