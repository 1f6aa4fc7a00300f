package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// document passes a reply on that is no stream.
func (a *attempt) document(ctx context.Context, resp *http.Response) core.Event {
	if !a.framed(resp) {
		return a.lost(core.CauseProtocol, false)
	}
	a.answer.Head(a.d, resp.StatusCode, resp.Header)
	kept, err := a.copyBody(resp)
	if err != nil {
		return a.lost(causeOf(ctx, err), false)
	}
	a.dog.pause()
	if err := a.answer.End(a.d); err != nil {
		return a.lost(core.CauseProtocol, false)
	}
	return core.AttemptDone{ID: a.d.ID, Attempt: a.d.Attempt, Status: resp.StatusCode, Response: a.stored(resp, kept)}
}

// framed tells whether the end of a reply can be told from a broken connection.
func (a *attempt) framed(resp *http.Response) bool {
	if a.rq.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// copyBody returns the body when it is to be kept and small enough.
func (a *attempt) copyBody(resp *http.Response) ([]byte, error) {
	var kept []byte
	keep := a.d.KeepResponse
	buf := make([]byte, copyBytes)
	for {
		a.dog.progress(a.dog.period)
		n, err := resp.Body.Read(buf)
		a.dog.pause()
		if keep = keep && len(kept)+n <= maxKeptBytes; keep {
			kept = append(kept, buf[:n]...)
		}
		if werr := a.passBody(buf[:n]); werr != nil {
			return nil, werr
		}
		if errors.Is(err, io.EOF) {
			return bodyToKeep(keep, kept), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (a *attempt) passBody(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	return errors.Wrap(a.answer.Body(p), "upstream: pass body")
}

func bodyToKeep(keep bool, b []byte) []byte {
	if !keep {
		return nil
	}
	if b == nil {
		return []byte{}
	}
	return b
}

func (a *attempt) stored(resp *http.Response, body []byte) *wire.StoredResponse {
	if body == nil {
		return nil
	}
	return &wire.StoredResponse{
		Status:      uint16(resp.StatusCode),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}
