package callers

import (
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// handleChat serves POST /v1/chat/completions.
func (s *Server) handleChat(rq *request) error {
	c, err := parseChat(rq.body)
	if err != nil {
		return err
	}
	ev, err := s.newChatEvent(rq, c)
	if err != nil {
		return err
	}
	body, err := c.withStreaming(rq.body)
	if err != nil {
		return err
	}
	x, closeExchange, err := s.openExchange(rq.id)
	if err != nil {
		return err
	}
	defer closeExchange()
	out := newResponder(s, rq.w, x)
	if ev.Resume != nil {
		out.sentOffset = ev.Resume.Offset
	}
	up := &upstream.Request{Method: rq.r.Method, Body: body, Idempotent: true}
	s.serve(rq.r, x, ev, up, newChatResponse(out, rq.keyHash, c.Stream))
	return nil
}

func (s *Server) newChatEvent(rq *request, c *chatRequest) (core.CallerRequest, error) {
	ev := core.CallerRequest{
		ID:           rq.id,
		APIKeyHash:   rq.keyHash,
		Model:        c.model(),
		Idempotent:   true,
		RequestHash:  hashRequest(rq.r.Method, rq.r.URL.Path, rq.body),
		Affinity:     c.affinityHash(rq.keyHash),
		PromptTokens: c.estimatePromptTokens(),
		MaxTokens:    c.MaxTokens,
		Resumable:    c.Stream,
	}
	err := s.readHeaders(rq.r.Header, &ev)
	if err != nil || !c.Stream {
		return ev, err
	}
	ev.Resume, err = s.resumePoint(rq.r.Header, rq.keyHash)
	return ev, err
}

func newChatResponse(out *responder, keyHash string, stream bool) callerResponse {
	if stream {
		return &streamResponse{responder: out, keyHash: keyHash}
	}
	return &nonStreamingResponse{responder: out}
}
