package callers

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

// maxCompletionBytes limits the content of a stream that is collected into one chat completion.
const maxCompletionBytes = 1 << 20

var (
	errCompletionTooLarge = errors.New("callers: the collected response is too large")
	errInvalidChunk       = errors.New("callers: cannot decode a chunk of the response")
)

// nonStreamingResponse collects the stream of an engine into one chat completion, for a caller that did not request a
// stream.
type nonStreamingResponse struct {
	*responder
	firstChunk   chatChunk
	content      strings.Builder
	finishReason string
	usage        json.RawMessage
}

type chatChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prepareAttempt discards what earlier attempts collected. Nothing has been sent to the caller, so each attempt
// must start at the first event.
func (r *nonStreamingResponse) prepareAttempt(d core.Dispatch) bool {
	if r.headerWritten || d.Offset > 0 {
		return false
	}
	r.setPlacementHeader(d)
	r.buffered = bufferedResponse{}
	r.firstChunk = chatChunk{}
	r.content.Reset()
	r.finishReason = ""
	r.usage = nil
	return true
}

// Event implements upstream.ResponseSink.
func (r *nonStreamingResponse) Event(_ core.Dispatch, offset uint64, data []byte) error {
	var c chatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errInvalidChunk
	}
	if offset == 1 {
		r.firstChunk = chatChunk{ID: c.ID, Created: c.Created, Model: c.Model}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		r.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if c.Choices[0].FinishReason != "" {
		r.finishReason = c.Choices[0].FinishReason
	}
	if r.content.Len()+len(c.Choices[0].Delta.Content) > maxCompletionBytes {
		return errCompletionTooLarge
	}
	r.content.WriteString(c.Choices[0].Delta.Content)
	return nil
}

// End implements upstream.ResponseSink.
func (r *nonStreamingResponse) End(core.Dispatch) error {
	if r.buffered.status == 0 {
		b, err := json.Marshal(r.completion())
		if err != nil {
			return errors.Wrap(err, "callers: encode completion")
		}
		r.buffered = bufferedResponse{
			status: http.StatusOK,
			header: http.Header{"Content-Type": {"application/json"}},
			body:   b,
		}
	}
	r.endResponse()
	return nil
}

func (r *nonStreamingResponse) completion() chatCompletion {
	return chatCompletion{
		ID: r.firstChunk.ID, Object: "chat.completion", Created: r.firstChunk.Created, Model: r.firstChunk.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: r.content.String()},
			FinishReason: r.finishReason,
		}},
		Usage: r.usage,
	}
}

// Sent implements upstream.ResponseSink.
func (r *nonStreamingResponse) Sent() uint64 { return 0 }

func (r *nonStreamingResponse) finish(f core.Finish) {
	if r.complete || r.finishIfUnsent(f) {
		return
	}
	panic(http.ErrAbortHandler)
}
