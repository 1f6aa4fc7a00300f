package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	chatPath    = "/v1/chat/completions"
	streamsPath = "/v1/streams/"
	loadPath    = "/v1/load"
)

// Request is what a caller asked, as it goes to an endpoint.
type Request struct {
	Method     string
	Path       string // with the query; plain services only
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// ResponseSink takes what an endpoint sends. One goroutine calls it. A returned error
// ends the attempt.
type ResponseSink interface {
	// Event takes one event of a chat's stream. Offsets rise by one.
	Event(d core.Dispatch, offset uint64, data []byte) error
	// Head takes the status and headers of a reply that is no stream.
	Head(d core.Dispatch, status int, h http.Header)
	// Body takes the next part of such a reply.
	Body(p []byte) error
	// End says that the answer is whole.
	End(d core.Dispatch) error
	// Sent returns how many events the caller was sent. Any part of a reply counts as one.
	Sent() uint64
}

func newRequest(ctx context.Context, d core.Dispatch, rq *Request) (*http.Request, error) {
	switch {
	case d.Kind == fleet.Service:
		return serviceRequest(ctx, d, rq)
	case d.Resume:
		return resumeRequest(ctx, d)
	default:
		return chatRequest(ctx, d, rq)
	}
}

func chatRequest(ctx context.Context, d core.Dispatch, rq *Request) (*http.Request, error) {
	r, err := build(ctx, http.MethodPost, d.Addr, chatPath, rq.Body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	setCommonHeaders(r.Header, d)
	return r, nil
}

func resumeRequest(ctx context.Context, d core.Dispatch) (*http.Request, error) {
	path := streamsPath + url.PathEscape(d.Stream) + "?offset=" + strconv.FormatUint(d.Offset, 10)
	r, err := build(ctx, http.MethodGet, d.Addr, path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Accept", "text/event-stream")
	setCommonHeaders(r.Header, d)
	return r, nil
}

func serviceRequest(ctx context.Context, d core.Dispatch, rq *Request) (*http.Request, error) {
	r, err := build(ctx, rq.Method, d.Addr, rq.Path, rq.Body)
	if err != nil {
		return nil, err
	}
	copyEndToEnd(r.Header, rq.Header)
	setCommonHeaders(r.Header, d)
	return r, nil
}

// build leaves GetBody unset, so that net/http cannot send the body twice.
func build(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "upstream: build request")
	}
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r, nil
}

func setCommonHeaders(h http.Header, d core.Dispatch) {
	h.Set("X-Request-Id", streamName(d))
	h.Set("X-Workspace", string(d.Workspace))
	h.Set("X-Priority", strconv.Itoa(int(d.Priority)))
	if !d.Deadline.IsZero() {
		left := max(time.Until(d.Deadline), 0)
		h.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
}

func streamName(d core.Dispatch) string {
	if d.Stream != "" {
		return d.Stream
	}
	return string(d.ID)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, "Proxy-Connection": true,
}

// IsEndToEnd tells whether a header passes through the router.
func IsEndToEnd(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, "Dandelionvane-")
}

// copyEndToEnd leaves out the caller's key, which is the fleet's and not the endpoint's.
func copyEndToEnd(dst, src http.Header) {
	for name, values := range src {
		if IsEndToEnd(name) && name != "Authorization" {
			dst[name] = values
		}
	}
	for _, name := range src.Values("Connection") {
		for part := range strings.SplitSeq(name, ",") {
			dst.Del(strings.TrimSpace(part))
		}
	}
}
