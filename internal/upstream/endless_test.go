package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/sse"
)

// TestHeadWithoutEnd checks that a head without end is an error of the attempt, not of the deadline,
// and that the endpoint is cut off.
func TestHeadWithoutEnd(t *testing.T) {
	for name, tc := range map[string]struct{ begin, piece string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"field":             {"HTTP/1.1 200 OK\r\nX-One: ", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X-One: 1\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		const most = 32 << 20
		sent := 0
		s := &fakeServer{serve: func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, tc.begin)
			piece := strings.Repeat(tc.piece, 1000)
			for ; sent < most; sent += len(piece) {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
		}}
		c := s.client(t)
		ev, lost := run(c, chatDispatch, chatCall, &recordingSink{}).(core.AttemptLost)
		s.wg.Wait()
		if !lost || ev.Cause != core.CauseReset || sent >= most {
			t.Errorf("%s: %+v after %d bytes", name, ev, sent)
		}
	}
}

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

// TestEventsWithoutEndAtOnce guards against events without end of many streams at once, each within its own bound, that use memory without a bound.
func TestEventsWithoutEndAtOnce(t *testing.T) {
	const (
		streams    = 600
		eventBytes = 200 << 10
	)
	s := &fakeServer{}
	s.serve = func(c net.Conn) {
		respondWith(streamHead + "data: " + strings.Repeat("x", eventBytes))(c)
		_, _ = c.Read(make([]byte, 1)) // returns when the connection is closed
	}
	c := s.client(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	var wg sync.WaitGroup
	var lost atomic.Int32
	for range streams {
		wg.Go(func() {
			ev := c.Run(ctx, chatDispatch, chatCall, &recordingSink{}, func(core.AttemptStarted) {})
			if ev, ok := ev.(core.AttemptLost); ok && ev.Cause == core.CauseProtocol {
				lost.Add(1)
			}
		})
	}
	const atLeast = streams - eventBudgetBytes/(2*(eventBytes-16<<10)) // that cannot be in memory
	for end := time.Now().Add(4 * time.Second); lost.Load() < atLeast && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := lost.Load(); n < atLeast {
		t.Errorf("%d of %d streams are cut off while %d bytes are reserved, want %d", n, streams, c.events.Reserved(), atLeast)
	}
	cancel(ErrCancelled)
	wg.Wait()
	if n := c.events.Reserved(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}
