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
	headerTicket      = "Dandelionvane-Ticket"
	headerPlacement   = "Dandelionvane-Placement"
	headerLastEventID = "Last-Event-ID"
	headerBooking     = "X-Booking"

	maxProblemBytes   = 64 << 10
	defaultRetryDelay = 100 * time.Millisecond // if the refusal has no retry_after_ms
	maxRetryDelay     = 2 * time.Second
)

// Client sends the requests of one workspace.
type Client struct {
	Balancer       *Balancer
	HTTP           *http.Client
	APIKey         string        // bearer key
	RequestTimeout time.Duration // limit for one request including its retries
	IdleTimeout    time.Duration // time without data of a response after which the attempt is cancelled
}

// problem is the problem document of a refusal.
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

func (p *problem) retryDelay() time.Duration {
	if p.RetryAfterMS <= 0 {
		return defaultRetryDelay
	}
	return min(time.Duration(p.RetryAfterMS)*time.Millisecond, maxRetryDelay)
}

// send posts a body to a router chosen by the balancer. A refusal is returned as a *problem.
func (c *Client) send(ctx context.Context, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Balancer.pick()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "loadtest: create request")
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "loadtest: send request")
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
