package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// forwardResponse forwards a response that is not an event stream.
func (a *attempt) forwardResponse(ctx context.Context, resp *http.Response) core.Event {
	if !a.hasFraming(resp) {
		return a.lost(core.CauseProtocol, false)
	}
	a.sink.Head(a.dispatch, resp.StatusCode, resp.Header)
	stored, err := a.forwardBody(resp)
	if err != nil {
		return a.lost(causeOf(ctx, err), false)
	}
	a.watchdog.pause()
	if err := a.sink.End(a.dispatch); err != nil {
		return a.lost(core.CauseProtocol, false)
	}
	return core.AttemptDone{ID: a.dispatch.ID, Attempt: a.dispatch.Attempt, Status: resp.StatusCode, Response: a.newStoredResponse(resp, stored)}
}

// hasFraming reports whether the message framing distinguishes the end of a response from a
// broken connection.
func (a *attempt) hasFraming(resp *http.Response) bool {
	if a.request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// forwardBody forwards the body. It also returns the body if the dispatch sets KeepResponse and the
// body does not exceed maxStoredBodyBytes.
func (a *attempt) forwardBody(resp *http.Response) ([]byte, error) {
	var stored []byte
	store := a.dispatch.KeepResponse
	buf := make([]byte, copyBufferBytes)
	timeout := a.bodyProgressTimeout()
	for {
		a.watchdog.restart(timeout)
		n, err := resp.Body.Read(buf)
		a.watchdog.pause()
		if store = store && len(stored)+n <= maxStoredBodyBytes; store {
			stored = append(stored, buf[:n]...)
		}
		if werr := a.forwardChunk(buf[:n]); werr != nil {
			return nil, werr
		}
		if errors.Is(err, io.EOF) {
			return storedBody(store, stored), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyProgressTimeout returns the time without a byte of the body after which the attempt ends: for a request that cannot
// be retried, the time until its deadline.
func (a *attempt) bodyProgressTimeout() time.Duration {
	if a.untilDeadline() {
		return a.firstProgressTimeout()
	}
	return a.client.cfg.ProgressTimeout
}

func (a *attempt) forwardChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	return errors.Wrap(a.sink.Body(p), "upstream: forward body")
}

func storedBody(store bool, body []byte) []byte {
	if !store {
		return nil
	}
	if body == nil {
		return []byte{}
	}
	return body
}

func (a *attempt) newStoredResponse(resp *http.Response, body []byte) *wire.StoredResponse {
	if body == nil {
		return nil
	}
	return &wire.StoredResponse{
		Status:      uint16(resp.StatusCode),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}
