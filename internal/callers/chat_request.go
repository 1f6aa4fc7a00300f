package callers

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	bytesPerToken  = 4 // estimate for prompt text
	maxTokensLimit = 1 << 20
	maxModelBytes  = 128
	roleSystem     = "system"
	roleDeveloper  = "developer"
	roleUser       = "user"
	hashSeparator  = "\x00"
)

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatRequest holds the JSON members of a chat request that the router reads.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

func parseChat(b []byte) (*chatRequest, error) {
	var c chatRequest
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, badRequest("the body is not a chat request in JSON")
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = c.MaxCompletionTokens
	}
	switch {
	case c.Model == "" || len(c.Model) > maxModelBytes:
		return nil, badRequest("model is missing or too long")
	case len(c.Messages) == 0:
		return nil, badRequest("messages is missing or empty")
	case c.MaxTokens < 0 || c.MaxTokens > maxTokensLimit:
		return nil, badRequest("max_tokens is out of range")
	}
	return &c, nil
}

// affinityHash hashes the part of a chat that all its turns share: the hash of the bearer key, the model, the
// first user message and the system and developer messages before it. All turns of a chat then prefer the
// same endpoints, whose cache may hold their common prefix.
func (c *chatRequest) affinityHash(keyHash string) uint64 {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString(hashSeparator)
	}
	write(keyHash)
	write(c.Model)
	for _, m := range c.Messages {
		if m.Role == roleSystem || m.Role == roleDeveloper {
			write(string(m.Content))
			continue
		}
		if m.Role == roleUser {
			write(string(m.Content))
			break
		}
	}
	return h.Sum64()
}

// estimatePromptTokens estimates the length of the prompt from the bytes of the messages' JSON content.
func (c *chatRequest) estimatePromptTokens() int {
	n := 0
	for _, m := range c.Messages {
		n += len(m.Content)
	}
	return n/bytesPerToken + 1
}

func (c *chatRequest) model() fleet.ModelID { return fleet.ModelID(c.Model) }

// withStreaming returns the body with "stream": true, as the router always requests a stream from engines.
func (c *chatRequest) withStreaming(b []byte) ([]byte, error) {
	if c.Stream {
		return b, nil
	}
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &members); err != nil {
		return nil, badRequest("the body is not a chat request in JSON")
	}
	members["stream"] = json.RawMessage("true")
	return json.Marshal(members)
}

// hashRequest returns a 64-bit hash of the method, path and body of a request. It detects that a ticket or
// idempotency key is used again for another request.
func hashRequest(method, path string, b []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(method)
	_, _ = h.WriteString(hashSeparator)
	_, _ = h.WriteString(path)
	_, _ = h.WriteString(hashSeparator)
	_, _ = h.Write(b)
	return h.Sum64()
}
