package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// promptSubjects is the number of subjects that prompts are about. Prompts about one of them share a part.
const promptSubjects = 160

var lastRequest atomic.Int64

func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)) }

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32}}
}

// answer is what a client got for one attempt.
type answer struct {
	id       string
	sentAt   time.Time
	status   int // 0: no answer
	stamped  bool
	body     string
	events   []event
	complete bool
}

// event is an event of a stream.
type event struct {
	number  int
	version string
}

// request sends one attempt to a gateway and reads the whole answer. resumes and after are set if it takes up a stream.
func request(c *http.Client, g *gateway, method, path, key string, deadline time.Duration, resumes string, after int) answer {
	a := answer{id: newRequestID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, nil)
	if err != nil {
		return a
	}
	r.Host = host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Credential", key)
	if strings.HasPrefix(path, streamPrefix) {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", "830,400")
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:120,91bd%04x:580,%s:130", rand.IntN(promptSubjects), a.id[4:]))
	}
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
	}
	if after > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	resp, err := c.Do(r)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("Response-Stamp") != ""
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(resp.Body)
		return a
	}
	body, err := io.ReadAll(resp.Body)
	a.body, a.complete = string(body), err == nil
	return a
}

func (a *answer) readEvents(r io.Reader) {
	lines := bufio.NewReader(r)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.complete = err == io.EOF && line == ""
			return
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			e.number, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			_, e.version, _ = strings.Cut(line, "by version ")
		case line == "":
			a.events = append(a.events, e)
			e = event{}
		}
	}
}
