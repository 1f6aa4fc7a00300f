package engine

import (
	"fmt"
	"time"
)

// stream is one request in the engine. What changes is guarded by Engine.mu.
type stream struct {
	id             string
	prompt         string
	seed           uint64
	priority       int
	totalTokens    int // tokens to generate
	cachedTokens   int // prompt tokens found in the cache
	producedTokens int // tokens
	ended          bool
	complete       bool // ended with all its tokens
	readers        int
	idleSince      time.Time     // since when no reader follows
	changed        chan struct{} // closed and replaced at each progress
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) finish(complete bool) {
	s.ended, s.complete = true, complete
	s.notify()
}

func (s *stream) promptTokens() int { return len(s.prompt) / bytesPerToken }

// chunk returns the data of the stream's event with the given index.
func (s *stream) chunk(index int) string {
	finish, usage := "null", "null"
	if index == s.totalTokens {
		finish = `"length"`
		usage = fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
			s.promptTokens(), s.totalTokens, s.cachedTokens)
	}
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk",`+
		`"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}],"usage":%s}`,
		s.id, token(s.seed, index), finish, usage)
}
