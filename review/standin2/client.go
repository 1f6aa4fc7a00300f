package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Uint64

// newRequestID returns an ID that no other request of this process has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x9c41d07be0000000+requestNumber.Add(1)) }

// call is one client attempt.
type call struct {
	ID       string
	Method   string
	Path     string
	Deadline time.Duration
	Header   map[string]string
	Body     string
	Left     <-chan struct{} // closed when the client ends the connection; nil: it does not
}

// outcome is what the client got.
type outcome struct {
	Status     int // 0: no answer
	Header     http.Header
	Body       string
	Complete   bool
	Err        error
	LastEvent  int // of a stream
	RetryAfter time.Duration
}

func (c *call) request(ctx context.Context, addr string) (*http.Request, error) {
	var body io.Reader
	if c.Body != "" {
		body = strings.NewReader(c.Body)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr, body)
	if err != nil {
		return nil, err
	}
	r.URL.Path = c.Path // has no characters that are escaped
	r.Host = host
	r.Header.Set("Request-Id", c.ID)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	r.Header.Set("Credential", key)
	for name, v := range c.Header {
		r.Header.Set(name, v)
	}
	return r, nil
}

// send sends a client attempt on a new connection. Of a stream it reads events until stopAfter of them, 0 for all.
func (c *call) send(log *record, m *machine, stopAfter int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	go func() {
		select {
		case <-c.Left:
			cancel()
		case <-ctx.Done():
		}
	}()
	log.write("client sends %s to %s: %s %s %v", c.ID, m.name, c.Method, c.Path, c.Header)
	o := c.exchange(ctx, m, stopAfter)
	log.write("client has of %s: status %d, complete %v, %d events, %d bytes, retry after %v, error %v", c.ID, o.Status, o.Complete, o.LastEvent, len(o.Body), o.RetryAfter, o.Err)
	return o
}

func (c *call) exchange(ctx context.Context, m *machine, stopAfter int) (o outcome) {
	r, err := c.request(ctx, m.front())
	if err != nil {
		return outcome{Err: err}
	}
	r.Close = true
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return outcome{Err: err}
	}
	defer resp.Body.Close()
	o = outcome{Status: resp.StatusCode, Header: resp.Header}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		o.readEvents(resp.Body, stopAfter)
		return o
	}
	b, err := io.ReadAll(resp.Body)
	o.Body, o.Complete, o.Err = string(b), err == nil, err
	return o
}

// readEvents reads events until the end of the stream, an error or the given number of events, 0 for all.
func (o *outcome) readEvents(body io.Reader, stopAfter int) {
	br := bufio.NewReader(body)
	var text strings.Builder
	defer func() { o.Body = text.String() }()
	for n := 0; stopAfter == 0 || n < stopAfter; {
		line, err := br.ReadString('\n')
		text.WriteString(line)
		if err == io.EOF {
			o.Complete = true
			return
		}
		if err != nil {
			o.Err = err
			return
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			o.LastEvent, _ = strconv.Atoi(strings.TrimSpace(id))
		}
		if line == "\n" {
			n++
		}
	}
}

// subjects is the number of shared parts that the prompts of streams have.
const subjects = 16

// newStream returns a client attempt for a stream about one of the subjects.
func newStream(path string, subject int, deadline time.Duration) *call {
	prompt := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,e4402b%02x:250", subject%subjects, subject)
	return &call{ID: newRequestID(), Method: "POST", Path: path, Deadline: deadline, Body: "site history",
		Header: map[string]string{"Model": "m", "Token-Counts": "1460,480", "Prompt-Prefix": prompt}}
}
