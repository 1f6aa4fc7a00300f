package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/sse"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
)

// Chat is a conversation of several turns with a model.
type Chat struct {
	client        *Client
	results       *Results
	req           engine.Request // contains the messages of all turns so far
	placementHint string         // from the last response
}

// NewChat returns a chat without messages.
func NewChat(c *Client, r *Results, model string, maxTokens int) *Chat {
	return &Chat{client: c, results: r, req: engine.Request{Model: model, MaxTokens: maxTokens, Stream: true}}
}

// Turn sends the user's next message and reads the response, retrying the request or resuming its stream as needed. It
// reports whether the response was complete and correct.
func (c *Chat) Turn(ctx context.Context, message string) bool {
	c.req.Messages = append(c.req.Messages, engine.Message{Role: "user", Content: message})
	ctx, cancel := context.WithTimeout(ctx, c.client.RequestTimeout)
	defer cancel()
	t := &turn{chat: c, want: engine.Text(c.req)}
	o, detail := t.run(ctx)
	c.results.addOutcome(o, detail)
	c.req.Messages = append(c.req.Messages, engine.Message{Role: "assistant", Content: t.want})
	return o == answered
}

// turn is the state of one request of a chat across its attempts.
type turn struct {
	chat   *Chat
	want   string // expected text
	got    string // text received so far
	lastID string // id of the last event received, from which the stream is resumed
	usage  usage
}

type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

func (t *turn) run(ctx context.Context) (outcome, string) {
	body, err := json.Marshal(t.chat.req)
	if err != nil {
		panic(err)
	}
	timeoutOutcome := notRun // the outcome if the request times out
	for {
		err := t.attempt(ctx, body)
		if err == nil {
			return t.checkResponse()
		}
		delay := defaultRetryDelay
		var p *problem
		if !errors.As(err, &p) {
			timeoutOutcome = failed
			t.chat.results.update(func(c *Counts) { c.BrokenResponses++ })
		} else {
			t.chat.results.addRefusal(p.Reason)
			delay = p.retryDelay()
		}
		if p != nil && t.lastID != "" {
			t.resetStream()
		}
		ctxtime.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return timeoutOutcome, fmt.Sprintf("chat turn timed out: %v", err)
		}
		t.chat.results.update(func(c *Counts) { c.Retries++ })
	}
}

// resetStream discards the received part of a stream that cannot be resumed.
func (t *turn) resetStream() { t.got, t.lastID = "", "" }

func (t *turn) checkResponse() (outcome, string) {
	if t.got != t.want {
		return wrong, fmt.Sprintf("chat returned %.80q, want %.80q", t.got, t.want)
	}
	t.chat.results.update(func(c *Counts) {
		c.PromptTokens += t.usage.PromptTokens
		c.CachedTokens += t.usage.Details.CachedTokens
	})
	return answered, ""
}

// attempt sends the request or resumes its stream, and reads the response to its end.
func (t *turn) attempt(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(t.chat.client.IdleTimeout, cancel)
	defer idleTimer.Stop()
	h := http.Header{}
	if t.chat.placementHint != "" {
		h.Set(headerPlacement, t.chat.placementHint)
	}
	if t.lastID != "" {
		h.Set(headerLastEventID, t.lastID)
	}
	resp, err := t.chat.client.send(ctx, "/v1/chat/completions", h, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if t.lastID != "" {
		t.chat.results.update(func(c *Counts) { c.StreamResumes++ })
	}
	if hint := resp.Header.Get(headerPlacement); hint != "" {
		t.chat.placementHint = hint
	}
	return t.readStream(resp, idleTimer)
}

func (t *turn) readStream(resp *http.Response, idleTimer *time.Timer) error {
	events := sse.NewReader(resp.Body)
	for {
		ev, err := events.Next()
		idleTimer.Reset(t.chat.client.IdleTimeout)
		if err != nil {
			return errors.Wrap(err, "loadtest: read stream")
		}
		if string(ev.Name) == "error" {
			p := &problem{}
			if err := json.Unmarshal(ev.Data, p); err != nil {
				return errors.Wrap(err, "loadtest: decode error event")
			}
			return p
		}
		if string(ev.Data) == "[DONE]" {
			return nil
		}
		if err := t.addChunk(ev); err != nil {
			return err
		}
	}
}

func (t *turn) addChunk(ev sse.Event) error {
	var c chunk
	if err := json.Unmarshal(ev.Data, &c); err != nil {
		return errors.Wrapf(err, "loadtest: decode chunk %.80q", ev.Data)
	}
	for _, choice := range c.Choices {
		t.got += choice.Delta.Content
	}
	if c.Usage != nil {
		t.usage = *c.Usage
	}
	t.lastID = string(ev.ID)
	return nil
}
