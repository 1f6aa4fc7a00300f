package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/sse"
)

var (
	doneMarker = []byte("[DONE]")
	usageField = []byte(`"usage"`)
	nullMember = []byte(":null")
)

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// streamState follows the offsets of one stream.
type streamState struct {
	last  uint64
	usage usage
}

// stream passes a chat's events on until the end marker.
func (a *attempt) stream(ctx context.Context, resp *http.Response) core.Event {
	st := streamState{last: a.d.Offset}
	r := sse.NewReader(resp.Body)
	for {
		ev, err := r.Next()
		if err != nil {
			return a.lost(causeOf(ctx, readError(err)), false)
		}
		if bytes.Equal(ev.Data, doneMarker) {
			return a.done(&st)
		}
		if err := a.pass(&st, ev); err != nil {
			return a.lost(causeOf(ctx, err), false)
		}
	}
}

func readError(err error) error {
	if errors.Is(err, sse.ErrTooLarge) {
		return errProtocol
	}
	return err
}

// pass hands one event on. Events that the caller has are dropped; a gap is an error.
func (a *attempt) pass(st *streamState, ev sse.Event) error {
	n, err := strconv.ParseUint(string(ev.ID), 10, 64)
	if err != nil || n > st.last+1 {
		return errProtocol
	}
	if n <= st.last {
		return nil
	}
	st.readUsage(ev.Data)
	a.dog.pause()
	if err := a.answer.Event(a.d, n, ev.Data); err != nil {
		return errors.Wrap(errProtocol, err.Error())
	}
	st.last = n
	a.dog.progress(a.c.cfg.ProgressTimeout)
	return nil
}

func (st *streamState) readUsage(data []byte) {
	_, value, ok := bytes.Cut(data, usageField)
	if !ok || bytes.HasPrefix(value, nullMember) {
		return
	}
	var chunk struct{ Usage usage }
	if err := json.Unmarshal(data, &chunk); err == nil && chunk.Usage.CompletionTokens > 0 {
		st.usage = chunk.Usage
	}
}

func (a *attempt) done(st *streamState) core.Event {
	a.dog.pause()
	if err := a.answer.End(a.d); err != nil {
		return a.lost(core.CauseProtocol, false)
	}
	return core.AttemptDone{
		ID: a.d.ID, Attempt: a.d.Attempt, Status: http.StatusOK,
		Tokens: st.usage.CompletionTokens, CachedTokens: st.usage.PromptDetails.CachedTokens,
	}
}
