package callers

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/resume"
)

// Headers of the HTTP protocol for callers.
const (
	headerTicket         = "Dandelionvane-Ticket"
	headerPlacement      = "Dandelionvane-Placement"
	headerDeadline       = "Dandelionvane-Deadline-Ms"
	headerRequestID      = "Dandelionvane-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

const (
	maxTicketBytes         = 512
	maxIdempotencyKeyBytes = 255
	maxPlacementBytes      = 512
	requestIDBytes         = 16
)

// newRequestID returns 128 random bits in hex.
func newRequestID() fleet.RequestID {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return fleet.RequestID(hex.EncodeToString(b[:]))
}

// bearerKeyHash returns the hex SHA-256 of the request's bearer key.
func bearerKeyHash(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), true
}

// readHeaders sets the fields of ev that come from request headers.
func (s *Server) readHeaders(h http.Header, ev *core.CallerRequest) error {
	var err error
	if ev.Ticket, err = headerValue(h, headerTicket, maxTicketBytes); err != nil {
		return err
	}
	if ev.IdempotencyKey, err = headerValue(h, headerIdempotencyKey, maxIdempotencyKeyBytes); err != nil {
		return err
	}
	if ev.Hint, err = headerValue(h, headerPlacement, maxPlacementBytes); err != nil {
		return err
	}
	if ev.Deadline, err = s.parseDeadline(h); err != nil {
		return err
	}
	return nil
}

func headerValue(h http.Header, name string, limit int) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", badRequest(name + " is given more than once")
	}
	v := h.Get(name)
	if len(v) > limit {
		return "", badRequest(name + " is too long")
	}
	return v, nil
}

func (s *Server) parseDeadline(h http.Header) (time.Time, error) {
	// An int64 has at most 20 characters.
	v, err := headerValue(h, headerDeadline, 20)
	if err != nil || v == "" {
		return time.Time{}, err
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, badRequest(headerDeadline + " is not a positive number of milliseconds")
	}
	ms = min(ms, s.cfg.MaxDeadline.Milliseconds())
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// resumePoint returns the position that the resume token in Last-Event-ID encodes, or nil if the header is absent. It
// rejects a token that is malformed or was issued for another bearer key.
func (s *Server) resumePoint(h http.Header, keyHash string) (*core.ResumePoint, error) {
	v, err := headerValue(h, headerLastEventID, resume.MaxTokenBytes)
	if err != nil || v == "" {
		return nil, err
	}
	p, err := s.resumeTokens.Decode(keyHash, v)
	if err != nil {
		return nil, &requestError{ReasonResumeInvalid, "Last-Event-ID was not issued to this key"}
	}
	return &core.ResumePoint{Endpoint: p.Endpoint, Stream: p.Stream, Offset: p.Offset}, nil
}
