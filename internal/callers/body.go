package callers

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/core"
)

const initialBodyBytes = 4 << 10

// requestError rejects a request before it reaches the core.
type requestError struct {
	reason core.Reason
	detail string
}

// Error implements error.
func (e *requestError) Error() string { return string(e.reason) + ": " + e.detail }

func badRequest(detail string) error { return &requestError{ReasonBadRequest, detail} }

// requestBody is a request body held in memory until release. Its memory is reserved from
// the budget as bytes arrive, so a slow sender reserves memory only in proportion to what it has sent.
type requestBody struct {
	bytes  []byte
	budget *bytebudget.Budget
}

func (b *requestBody) release() { b.budget.Release(int64(cap(b.bytes))) }

// grow doubles the capacity, up to limit, and reserves the added bytes from the budget.
func (b *requestBody) grow(limit int) error {
	size := min(max(2*cap(b.bytes), initialBodyBytes), limit)
	if !b.budget.Reserve(int64(size - cap(b.bytes))) {
		return &requestError{core.ReasonOverloaded, "too many request bodies in progress"}
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// readFrom reads r to its end. The buffer may grow to limit+1 bytes: the extra byte distinguishes a body of exactly
// limit bytes from a larger one.
func (b *requestBody) readFrom(r io.Reader, limit int) error {
	for {
		if len(b.bytes) > limit {
			return &requestError{ReasonTooLarge, "the body is too large"}
		}
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(limit + 1); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return b.checkSize(limit)
		}
		if err != nil {
			return bodyReadError(err)
		}
	}
}

func (b *requestBody) checkSize(limit int) error {
	if len(b.bytes) > limit {
		return &requestError{ReasonTooLarge, "the body is too large"}
	}
	return nil
}

// readBody reads a request body within the limits of size, time and total body memory.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (requestBody, error) {
	b := requestBody{budget: &s.bodyBudget}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout)); err != nil {
		return requestBody{}, errors.Wrap(err, "callers: set read deadline")
	}
	if err := b.readFrom(r.Body, s.cfg.MaxBodyBytes); err != nil {
		b.release()
		return requestBody{}, err
	}
	// Without a deadline, net/http's background read detects that the caller disconnects.
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		b.release()
		return requestBody{}, errors.Wrap(err, "callers: clear read deadline")
	}
	return b, nil
}

func bodyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &requestError{ReasonRequestTimeout, "the body did not arrive in time"}
	}
	return badRequest("the body could not be read")
}
