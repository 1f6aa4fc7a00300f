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
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// fakeServer serves each dialled connection in its own goroutine.
type fakeServer struct {
	serve func(net.Conn)
	dials atomic.Int32
	wg    sync.WaitGroup
}

func (s *fakeServer) dial(context.Context, string, string) (net.Conn, error) {
	s.dials.Add(1)
	client, server := net.Pipe()
	s.wg.Go(func() {
		defer server.Close()
		s.serve(server)
	})
	return client, nil
}

func (s *fakeServer) client(t testing.TB) *Client {
	cfg := DefaultConfig()
	cfg.Dial = s.dial
	c := New(cfg)
	t.Cleanup(func() {
		c.Close()
		s.wg.Wait()
	})
	return c
}

// respondWith returns a server that reads one request and responds with the given bytes.
func respondWith(response string) func(net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
	}
}

// recordingSink is a ResponseSink that records what it receives.
type recordingSink struct {
	events []string
	offset uint64
	status int
	body   strings.Builder
	ended  bool
	delay  time.Duration // of each event, at the caller
}

func (r *recordingSink) Event(_ core.Dispatch, offset uint64, data []byte) error {
	time.Sleep(r.delay)
	r.events = append(r.events, string(data))
	r.offset = offset
	return nil
}

func (r *recordingSink) Head(_ core.Dispatch, status int, _ http.Header) { r.status = status }

func (r *recordingSink) Body(p []byte) error {
	r.body.Write(p)
	return nil
}

func (r *recordingSink) End(core.Dispatch) error {
	r.ended = true
	return nil
}

func (r *recordingSink) Sent() uint64 { return r.offset }

var (
	chatDispatch = core.Dispatch{
		ID: "request", Attempt: 1, Endpoint: "engine", Addr: "192.0.2.1:80", Kind: fleet.Engine, Stream: "stream",
	}
	serviceDispatch = core.Dispatch{
		ID: "request", Attempt: 1, Endpoint: "booking", Addr: "192.0.2.1:80", Kind: fleet.Service, KeepResponse: true,
	}
	chatCall    = &Request{Method: http.MethodPost, Body: []byte(`{"model":"m"}`), Idempotent: true}
	serviceCall = &Request{Method: http.MethodPost, Path: "/bookings?gate=4", Body: []byte(`{"pad":7}`)}
)

func run(c *Client, d core.Dispatch, rq *Request, sink ResponseSink) core.Event {
	return c.Run(context.Background(), d, rq, sink, func(core.AttemptStarted) {})
}
