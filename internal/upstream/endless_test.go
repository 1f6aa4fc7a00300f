package upstream

import (
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/sse"
)

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// TestStreamWithoutEnd checks that an attempt is lost at once when a stream sends comments or an
// event without end.
func TestStreamWithoutEnd(t *testing.T) {
	for name, text := range map[string]string{
		"comments": strings.Repeat(": ping\n\n", 4*sse.MaxBytesBetweenEvents/8),
		"event":    "data: " + strings.Repeat("x", 4*sse.MaxEventBytes),
	} {
		s := &fakeServer{serve: respondWith(streamHead + text)}
		ev, lost := run(s.client(t), chatDispatch, chatCall, &recordingSink{}).(core.AttemptLost)
		if !lost || ev.Cause != core.CauseProtocol {
			t.Errorf("%s: %+v, want cause %v", name, ev, core.CauseProtocol)
		}
	}
}
