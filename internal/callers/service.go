package callers

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

const servicesPrefix = "/services/"

// handleService serves requests to services other than chat.
func (s *Server) handleService(rq *request) error {
	if rq.r.Method == http.MethodConnect || rq.r.Method == http.MethodTrace {
		return &requestError{ReasonMethodNotAllowed, "services do not take this method"}
	}
	ev := core.CallerRequest{
		ID:          rq.id,
		APIKeyHash:  rq.keyHash,
		Service:     fleet.ServiceID(chi.URLParam(rq.r, "service")),
		Idempotent:  idempotent(rq.r.Method),
		RequestHash: hashRequest(rq.r.Method, rq.r.URL.RequestURI(), rq.body),
	}
	if err := s.readHeaders(rq.r.Header, &ev); err != nil {
		return err
	}
	x, closeExchange, err := s.openExchange(rq.id)
	if err != nil {
		return err
	}
	defer closeExchange()
	up := &upstream.Request{
		Method: rq.r.Method, Path: servicePath(rq.r), Header: rq.r.Header, Body: rq.body, Idempotent: ev.Idempotent,
	}
	s.serve(rq.r, x, ev, up, &serviceResponse{responder: newResponder(s, rq.w, x)})
	return nil
}

// idempotent reports whether an HTTP method is idempotent (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// servicePath returns the path after the service's name and the query, both in their original encoding.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	_, path, _ := strings.Cut(rest, "/")
	if r.URL.RawQuery != "" {
		return "/" + path + "?" + r.URL.RawQuery
	}
	return "/" + path
}
