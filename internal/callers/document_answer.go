package callers

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

// maxDocumentBytes bounds a chat answer that is collected into one document.
const maxDocumentBytes = 1 << 20

var (
	errDocumentTooLarge = errors.New("callers: the collected answer is too large")
	errChunk            = errors.New("callers: a chunk of the answer cannot be understood")
)

// documentAnswer collects a chat's stream into one JSON document.
type documentAnswer struct {
	*responder
	head         chatChunk
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

// restart begins anew: the caller has nothing, so every stream starts at its first event.
func (a *documentAnswer) restart(d core.Dispatch) bool {
	if a.begun || d.Offset > 0 {
		return false
	}
	a.hint(d)
	a.reply = reply{}
	a.head = chatChunk{}
	a.content.Reset()
	a.finishReason = ""
	a.usage = nil
	return true
}

// Event implements upstream.ResponseSink.
func (a *documentAnswer) Event(_ core.Dispatch, offset uint64, data []byte) error {
	var c chatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errChunk
	}
	if offset == 1 {
		a.head = chatChunk{ID: c.ID, Created: c.Created, Model: c.Model}
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
func (a *documentAnswer) End(core.Dispatch) error {
	if a.reply.status == 0 {
		b, err := json.Marshal(a.document())
		if err != nil {
			return errors.Wrap(err, "callers: encode document")
		}
		a.reply = reply{
			status: http.StatusOK,
			header: http.Header{"Content-Type": {"application/json"}},
			body:   b,
		}
	}
	a.endReply()
	return nil
}

func (a *documentAnswer) document() chatDocument {
	return chatDocument{
		ID: a.head.ID, Object: "chat.completion", Created: a.head.Created, Model: a.head.Model,
		Choices: []documentChoice{{
			Message:      documentMessage{Role: "assistant", Content: a.content.String()},
			FinishReason: a.finishReason,
		}},
		Usage: a.usage,
	}
}

// Sent implements upstream.ResponseSink.
func (a *documentAnswer) Sent() uint64 { return 0 }

func (a *documentAnswer) finish(f core.Finish) {
	if a.whole || a.finishUnbegun(f) {
		return
	}
	panic(http.ErrAbortHandler)
}
