package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamEngine answers each request with a stream of events, one each gap.
type streamEngine struct {
	*engine
	events int
	gap    time.Duration
}

// run sends the stream in chunks. It stops when the connection is closed.
func (s *streamEngine) stream(c net.Conn, req *http.Request) {
	id := req.Header.Get("Request-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, arrived: time.Now()})
	s.mu.Unlock()
	s.w.note("engine %s begins to run %s after event %d", s.id, id, after)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.1\r\nServer-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.id)
	for n := after + 1; n <= s.events; n++ {
		time.Sleep(s.gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			s.w.note("engine %s: the connection of %s is closed after event %d", s.id, id, n-1)
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	s.w.note("engine %s has sent all of %s", s.id, id)
}

// streamResult is what a client has got of a stream.
type streamResult struct {
	status   int
	events   int
	complete bool // the answer ended as the protocol says
	ended    time.Time
	err      error
}

// doStream sends a request and reads its stream to the end.
func (c *client) doStream(r *request) streamResult {
	conn, err := c.g.dial()
	if err != nil {
		return streamResult{err: err, ended: time.Now()}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return streamResult{err: err, ended: time.Now()}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return streamResult{err: err, ended: time.Now()}
	}
	body, err := io.ReadAll(resp.Body)
	return streamResult{status: resp.StatusCode, events: strings.Count(string(body), "\n\n"), complete: err == nil, ended: time.Now(), err: err}
}
