// Package httpcall makes single HTTP calls and reads their whole answer within a bound.
package httpcall

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrTooLarge reports an answer beyond the bound.
var ErrTooLarge = errors.New("httpcall: the answer is too large")

// Response is a status with the body that came with it.
type Response struct {
	Status int
	Body   []byte
}

// Get calls a URL with GET. The answer's body has at most maxBytes.
func Get(ctx context.Context, c *http.Client, url string, maxBytes int64) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Response{}, errors.Wrap(err, "httpcall: build")
	}
	return Do(c, r, maxBytes)
}

// Do makes a call. The answer's body has at most maxBytes.
func Do(c *http.Client, r *http.Request, maxBytes int64) (Response, error) {
	resp, err := c.Do(r)
	if err != nil {
		return Response{}, errors.Wrap(err, "httpcall")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "httpcall: read the answer")
	}
	if int64(len(b)) > maxBytes {
		return Response{}, ErrTooLarge
	}
	return Response{Status: resp.StatusCode, Body: b}, nil
}
