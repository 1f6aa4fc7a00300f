package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTicket    = "Dandelionvane-Ticket"
	headerPlacement = "Dandelionvane-Placement"
	headerResume    = "Last-Event-ID"
	headerBooking   = "X-Booking"

	maxProblemBytes = 64 << 10
	defaultPause    = 100 * time.Millisecond // before a retry without Retry-After
	maxPause        = 2 * time.Second
)

// Client sends the requests of one workspace.
type Client struct {
	Balancer       *Balancer
	HTTP           *http.Client
	Key            string        // bearer key
	RequestTimeout time.Duration // how long one request is retried
	IdleTimeout    time.Duration // how long an answer may stand still before it is given up
}

// problem is a refusal.
type problem struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// Error implements error.
func (p *problem) Error() string { return p.Outcome + ": " + p.Reason }

func (p *problem) pause() time.Duration {
	if p.RetryAfterMS <= 0 {
		return defaultPause
	}
	return min(time.Duration(p.RetryAfterMS)*time.Millisecond, maxPause)
}

// send posts a body to the next router. A refusal is returned as a *problem.
func (c *Client) send(ctx context.Context, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Balancer.pick()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "loadtest: request")
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "loadtest: send")
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readProblem(resp)
}

func readProblem(resp *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return errors.Wrap(err, "loadtest: read refusal")
	}
	p := &problem{}
	if err := json.Unmarshal(b, p); err != nil || p.Outcome == "" {
		return errors.Errorf("loadtest: %s without a problem document: %.200s", resp.Status, b)
	}
	return p
}
