package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/sse"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// maxDocumentBytes bounds an answer that is no stream.
const maxDocumentBytes = 8 << 20

func isStream(a *exchange.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// document passes an answer on when it is whole.
func (c *call) document(ctx context.Context, p control.Placement, a *exchange.Answer) verdict {
	if c.started {
		c.ended(p, control.Broken)
		return mayHave
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxDocumentBytes+1))
	if err != nil || len(body) > maxDocumentBytes {
		if ctx.Err() != nil {
			c.ended(p, control.Cancelled)
			return mayHave
		}
		c.ended(p, control.Broken)
		return mayHave
	}
	c.ended(p, control.Answered)
	c.copyHead(a)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(body)
	return done
}

func (c *call) copyHead(a *exchange.Answer) {
	h := c.w.Header()
	for name, values := range a.Header {
		if upstream.IsEndToEnd(name) {
			h[name] = values
		}
	}
}

// stream passes the events of an answer on as they arrive, whole ones only.
func (c *call) stream(ctx context.Context, p control.Placement, a *exchange.Answer) verdict {
	rc := http.NewResponseController(c.w)
	r := sse.NewReader(a.Body)
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) {
			c.ended(p, control.Answered)
			return done
		}
		if err != nil {
			return c.streamBroke(ctx, p)
		}
		if !c.started {
			c.copyHead(a)
			c.w.WriteHeader(a.Status)
			c.started = true
		}
		if len(ev.ID) > 0 {
			c.lastEvent = string(ev.ID)
		}
		if _, err := c.w.Write(ev.Raw); err != nil || rc.Flush() != nil {
			c.ended(p, control.Cancelled)
			panic(http.ErrAbortHandler)
		}
	}
}

func (c *call) streamBroke(ctx context.Context, p control.Placement) verdict {
	if ctx.Err() != nil {
		c.ended(p, control.Cancelled)
	} else {
		c.ended(p, control.Broken)
	}
	return mayHave
}
