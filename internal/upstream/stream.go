package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/sse"
)

var (
	doneMarker = []byte("[DONE]")
	usageField = []byte(`"usage"`)
	nullMember = []byte(":null")
)

type tokenUsage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// streamState tracks the offset and the token usage of one stream.
type streamState struct {
	lastOffset uint64
	usage      tokenUsage
}

// forwardStream forwards the events of a chat completion until the end marker.
func (a *attempt) forwardStream(ctx context.Context, resp *http.Response) core.Event {
	st := streamState{lastOffset: a.dispatch.Offset}
	r := sse.NewBudgetReader(resp.Body, &a.client.events)
	defer r.Release()
	for {
		ev, err := r.Next()
		if err != nil {
			return a.lost(causeOf(ctx, protocolError(err)), false)
		}
		if bytes.Equal(ev.Data, doneMarker) {
			return a.finishStream(&st)
		}
		if err := a.forwardEvent(&st, ev); err != nil {
			return a.lost(causeOf(ctx, err), false)
		}
	}
}

func protocolError(err error) error {
	for _, bound := range []error{sse.ErrTooLarge, sse.ErrTooMuchBetweenEvents, bytebudget.ErrExhausted} {
		if errors.Is(err, bound) {
			return errProtocol
		}
	}
	return err
}

// forwardEvent forwards one event. It drops an event that the caller already has; a gap in the offsets is an error.
func (a *attempt) forwardEvent(st *streamState, ev sse.Event) error {
	n, err := strconv.ParseUint(string(ev.ID), 10, 64)
	if err != nil || n > st.lastOffset+1 {
		return errProtocol
	}
	if n <= st.lastOffset {
		return nil
	}
	st.readUsage(ev.Data)
	a.watchdog.pause()
	if err := a.sink.Event(a.dispatch, n, ev.Data); err != nil {
		return errors.Wrap(errProtocol, err.Error())
	}
	st.lastOffset = n
	a.watchdog.restart(a.client.cfg.ProgressTimeout)
	return nil
}

func (st *streamState) readUsage(data []byte) {
	_, value, ok := bytes.Cut(data, usageField)
	if !ok || bytes.HasPrefix(value, nullMember) {
		return
	}
	var chunk struct{ Usage tokenUsage }
	if err := json.Unmarshal(data, &chunk); err == nil && chunk.Usage.CompletionTokens > 0 {
		st.usage = chunk.Usage
	}
}

func (a *attempt) finishStream(st *streamState) core.Event {
	a.watchdog.pause()
	if err := a.sink.End(a.dispatch); err != nil {
		return a.lost(core.CauseProtocol, false)
	}
	return core.AttemptDone{
		ID: a.dispatch.ID, Attempt: a.dispatch.Attempt, Status: http.StatusOK,
		Tokens: st.usage.CompletionTokens, CachedTokens: st.usage.PromptDetails.CachedTokens,
	}
}
