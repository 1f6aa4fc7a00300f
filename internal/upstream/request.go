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

// Request is a caller's request as it is sent to an endpoint.
type Request struct {
	Method     string
	Path       string // with the query; services only
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// ResponseSink receives an endpoint's response. It is called from one goroutine. A
// returned error ends the attempt.
type ResponseSink interface {
	// Event receives one event of a chat's stream. Offsets increase by one.
	Event(d core.Dispatch, offset uint64, data []byte) error
	// Head receives the status and headers of a response that is not a stream.
	Head(d core.Dispatch, status int, h http.Header)
	// Body receives the next part of such a response.
	Body(p []byte) error
	// End is called once the response is complete.
	End(d core.Dispatch) error
	// Sent returns the number of events sent to the caller. A response that is not a stream
	// counts as one event as soon as any part of it was sent.
	Sent() uint64
}

func newRequest(ctx context.Context, d core.Dispatch, rq *Request) (*http.Request, error) {
	switch {
	case d.Kind == fleet.Service:
		return newServiceRequest(ctx, d, rq)
	case d.Resume:
		return newResumeRequest(ctx, d)
	default:
		return newChatRequest(ctx, d, rq)
	}
}

func newChatRequest(ctx context.Context, d core.Dispatch, rq *Request) (*http.Request, error) {
	r, err := newHTTPRequest(ctx, http.MethodPost, d.Addr, chatPath, rq.Body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	setCommonHeaders(r.Header, d)
	return r, nil
}

func newResumeRequest(ctx context.Context, d core.Dispatch) (*http.Request, error) {
	path := streamsPath + url.PathEscape(d.Stream) + "?offset=" + strconv.FormatUint(d.Offset, 10)
	r, err := newHTTPRequest(ctx, http.MethodGet, d.Addr, path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Accept", "text/event-stream")
	setCommonHeaders(r.Header, d)
	return r, nil
}

func newServiceRequest(ctx context.Context, d core.Dispatch, rq *Request) (*http.Request, error) {
	r, err := newHTTPRequest(ctx, rq.Method, d.Addr, rq.Path, rq.Body)
	if err != nil {
		return nil, err
	}
	copyEndToEndHeaders(r.Header, rq.Header)
	setCommonHeaders(r.Header, d)
	return r, nil
}

// newHTTPRequest leaves GetBody unset, so that net/http cannot resend the body.
func newHTTPRequest(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
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
	h.Set("X-Request-Id", endpointRequestID(d))
	h.Set("X-Workspace", string(d.Workspace))
	h.Set("X-Priority", strconv.Itoa(int(d.Priority)))
	if !d.Deadline.IsZero() {
		remaining := max(time.Until(d.Deadline), 0)
		h.Set("X-Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	}
}

func endpointRequestID(d core.Dispatch) string {
	if d.Stream != "" {
		return d.Stream
	}
	return string(d.ID)
}

// hopByHop holds the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, "Proxy-Connection": true,
}

// IsForwardable reports whether the router forwards a header.
func IsForwardable(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, "Dandelionvane-")
}

// copyEndToEndHeaders omits Authorization: the caller's key authenticates to the router, not to the endpoint.
func copyEndToEndHeaders(dst, src http.Header) {
	for name, values := range src {
		if IsForwardable(name) && name != "Authorization" {
			dst[name] = values
		}
	}
	for _, name := range src.Values("Connection") {
		for part := range strings.SplitSeq(name, ",") {
			dst.Del(strings.TrimSpace(part))
		}
	}
}
