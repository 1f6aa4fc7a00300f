package engine

import (
	"fmt"
	"time"
)

// stream is one request in the engine. Engine.mu guards the fields that change.
type stream struct {
	id             string
	prompt         string
	seed           uint64
	priority       int
	totalTokens    int // tokens to generate
	cachedTokens   int // prompt tokens found in the cache
	producedTokens int // tokens generated so far
	ended          bool
	complete       bool          // all tokens were generated
	readers        int           // connections that follow the stream
	idleSince      time.Time     // time at which the last reader left
	changed        chan struct{} // closed and replaced on each token and at the end
}

// notify notifies the readers of the stream of a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish ends the stream and notifies its readers.
func (s *stream) finish(complete bool) {
	s.ended, s.complete = true, complete
	s.notify()
}

func (s *stream) promptTokens() int { return len(s.prompt) / bytesPerToken }

// chunk returns the data of the event for the token with the given index, from 1. The last one contains the usage.
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
