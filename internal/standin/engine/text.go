package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat completion.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Text returns the complete response text of a request.
func Text(r Request) string { return text(xxhash.Sum64String(flatten(r.Messages)), r.tokens()) }

func (r Request) tokens() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return r.MaxTokens
}

// token returns the token at index, from 1, of the response to the prompt with hash seed.
func token(seed uint64, index int) string {
	return fmt.Sprintf("%d:%08x ", index, uint32(seed>>32)^uint32(index)*0x9e3779b1)
}

func text(seed uint64, tokens int) string {
	var b strings.Builder
	for i := 1; i <= tokens; i++ {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// flatten returns the messages as one string. The prompt of a turn of a chat starts with the prompt
// and the response of the previous turn, which the prefix cache may still hold.
func flatten(ms []Message) string {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}
