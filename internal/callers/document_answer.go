package callers

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

// maxDocumentBytes limits the content of a chat response that is collected into one document.
const maxDocumentBytes = 1 << 20

var (
	errDocumentTooLarge = errors.New("callers: the collected response is too large")
	errInvalidChunk     = errors.New("callers: cannot decode a chunk of the response")
)

// documentResponse collects the stream of a chat into one JSON document for a caller that did not request a stream.
type documentResponse struct {
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

type chatDocument struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []documentChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage,omitempty"`
}

type documentChoice struct {
	Index        int             `json:"index"`
	Message      documentMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

type documentMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prepareAttempt discards what earlier attempts collected. Nothing has been sent to the caller, so each attempt
// must start at the first event.
func (a *documentResponse) prepareAttempt(d core.Dispatch) bool {
	if a.headerWritten || d.Offset > 0 {
		return false
	}
	a.setPlacementHeader(d)
	a.buffered = bufferedResponse{}
	a.firstChunk = chatChunk{}
	a.content.Reset()
	a.finishReason = ""
	a.usage = nil
	return true
}

// Event implements upstream.ResponseSink.
func (a *documentResponse) Event(_ core.Dispatch, offset uint64, data []byte) error {
	var c chatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errInvalidChunk
	}
	if offset == 1 {
		a.firstChunk = chatChunk{ID: c.ID, Created: c.Created, Model: c.Model}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if c.Choices[0].FinishReason != "" {
		a.finishReason = c.Choices[0].FinishReason
	}
	if a.content.Len()+len(c.Choices[0].Delta.Content) > maxDocumentBytes {
		return errDocumentTooLarge
	}
	a.content.WriteString(c.Choices[0].Delta.Content)
	return nil
}

// End implements upstream.ResponseSink.
func (a *documentResponse) End(core.Dispatch) error {
	if a.buffered.status == 0 {
		b, err := json.Marshal(a.document())
		if err != nil {
			return errors.Wrap(err, "callers: encode document")
		}
		a.buffered = bufferedResponse{
			status: http.StatusOK,
			header: http.Header{"Content-Type": {"application/json"}},
			body:   b,
		}
	}
	a.endResponse()
	return nil
}

func (a *documentResponse) document() chatDocument {
	return chatDocument{
		ID: a.firstChunk.ID, Object: "chat.completion", Created: a.firstChunk.Created, Model: a.firstChunk.Model,
		Choices: []documentChoice{{
			Message:      documentMessage{Role: "assistant", Content: a.content.String()},
			FinishReason: a.finishReason,
		}},
		Usage: a.usage,
	}
}

// Sent implements upstream.ResponseSink.
func (a *documentResponse) Sent() uint64 { return 0 }

func (a *documentResponse) finish(f core.Finish) {
	if a.complete || a.finishIfUnsent(f) {
		return
	}
	panic(http.ErrAbortHandler)
}
