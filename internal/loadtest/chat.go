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

// Chat is one chat of several turns.
type Chat struct {
	client  *Client
	results *Results
	req     engine.Request
	hint    string // placement, from the last answer
}

// NewChat begins a chat.
func NewChat(c *Client, r *Results, model string, maxTokens int) *Chat {
	return &Chat{client: c, results: r, req: engine.Request{Model: model, MaxTokens: maxTokens, Stream: true}}
}

// Turn sends the user's next message and takes its answer, over as many connections
// as it needs. It returns whether the answer came whole.
func (c *Chat) Turn(ctx context.Context, message string) bool {
	c.req.Messages = append(c.req.Messages, engine.Message{Role: "user", Content: message})
	ctx, cancel := context.WithTimeout(ctx, c.client.RequestTimeout)
	defer cancel()
	t := &turn{chat: c, want: engine.Text(c.req)}
	o, detail := t.run(ctx)
	c.results.end(o, detail)
	c.req.Messages = append(c.req.Messages, engine.Message{Role: "assistant", Content: t.want})
	return o == answered
}

// turn is one request of a chat until its answer is whole.
type turn struct {
	chat   *Chat
	want   string
	got    string
	lastID string
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
	given := notRun // the outcome when it is given up
	for {
		err := t.attempt(ctx, body)
		if err == nil {
			return t.judge()
		}
		wait := defaultPause
		var p *problem
		if !errors.As(err, &p) {
			given = lost
			t.chat.results.update(func(c *Counts) { c.BrokenResponses++ })
		} else {
			t.chat.results.refused(p.Reason)
			wait = p.pause()
		}
		if p != nil && t.lastID != "" {
			t.startOver()
		}
		ctxtime.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return given, fmt.Sprintf("chat given up: %v", err)
		}
		t.chat.results.update(func(c *Counts) { c.Retries++ })
	}
}

// startOver forgets a stream that cannot be resumed.
func (t *turn) startOver() { t.got, t.lastID = "", "" }

func (t *turn) judge() (outcome, string) {
	if t.got != t.want {
		return wrong, fmt.Sprintf("chat answered %.80q, want %.80q", t.got, t.want)
	}
	t.chat.results.update(func(c *Counts) {
		c.PromptTokens += t.usage.PromptTokens
		c.CachedTokens += t.usage.Details.CachedTokens
	})
	return answered, ""
}

// attempt sends the request, or resumes its stream, and reads to the end of the answer.
func (t *turn) attempt(ctx context.Context, body []byte) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	idle := time.AfterFunc(t.chat.client.IdleTimeout, stop)
	defer idle.Stop()
	h := http.Header{}
	if t.chat.hint != "" {
		h.Set(headerPlacement, t.chat.hint)
	}
	if t.lastID != "" {
		h.Set(headerResume, t.lastID)
	}
	resp, err := t.chat.client.send(ctx, "/v1/chat/completions", h, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if t.lastID != "" {
		t.chat.results.update(func(c *Counts) { c.ResumedStreams++ })
	}
	if hint := resp.Header.Get(headerPlacement); hint != "" {
		t.chat.hint = hint
	}
	return t.read(resp, idle)
}

func (t *turn) read(resp *http.Response, idle *time.Timer) error {
	events := sse.NewReader(resp.Body)
	for {
		ev, err := events.Next()
		idle.Reset(t.chat.client.IdleTimeout)
		if err != nil {
			return errors.Wrap(err, "loadtest: stream")
		}
		if string(ev.Name) == "error" {
			p := &problem{}
			if err := json.Unmarshal(ev.Data, p); err != nil {
				return errors.Wrap(err, "loadtest: error event")
			}
			return p
		}
		if string(ev.Data) == "[DONE]" {
			return nil
		}
		if err := t.take(ev); err != nil {
			return err
		}
	}
}

func (t *turn) take(ev sse.Event) error {
	var c chunk
	if err := json.Unmarshal(ev.Data, &c); err != nil {
		return errors.Wrapf(err, "loadtest: chunk %.80q", ev.Data)
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
