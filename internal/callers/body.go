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

const firstBodyBytes = 4 << 10

// formError is a request that is refused for its form.
type formError struct {
	reason core.Reason
	detail string
}

// Error implements error.
func (e *formError) Error() string { return string(e.reason) + ": " + e.detail }

func badRequest(detail string) error { return &formError{ReasonBadRequest, detail} }

// body is a request body held in memory until release. Its memory is taken from
// the budget as bytes arrive, so that a slow sender holds little.
type body struct {
	bytes  []byte
	budget *bytebudget.Budget
}

func (b *body) release() { b.budget.Release(int64(cap(b.bytes))) }

// grow makes room for more bytes.
func (b *body) grow(limit int) error {
	size := min(max(2*cap(b.bytes), firstBodyBytes), limit)
	if !b.budget.Reserve(int64(size - cap(b.bytes))) {
		return &formError{core.ReasonOverloaded, "too many request bodies in progress"}
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// fill reads r to its end. The limit leaves one byte to tell a full body from a larger one.
func (b *body) fill(r io.Reader, limit int) error {
	for {
		if len(b.bytes) > limit {
			return &formError{ReasonTooLarge, "the body is too large"}
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
			return bodyError(err)
		}
	}
}

func (b *body) checkSize(limit int) error {
	if len(b.bytes) > limit {
		return &formError{ReasonTooLarge, "the body is too large"}
	}
	return nil
}

// readBody reads a body within the bounds of size, time and total memory.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body, error) {
	b := body{budget: &s.bodies}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout)); err != nil {
		return body{}, errors.Wrap(err, "callers: set read deadline")
	}
	if err := b.fill(r.Body, s.cfg.MaxBodyBytes); err != nil {
		b.release()
		return body{}, err
	}
	// The server reads on to notice that the caller goes away.
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		b.release()
		return body{}, errors.Wrap(err, "callers: clear read deadline")
	}
	return b, nil
}

func bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &formError{ReasonRequestTimeout, "the body did not arrive in time"}
	}
	return badRequest("the body could not be read")
}
