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
	defaultRetryDelay = 100 * time.Millisecond // without a problem, or if it has no retry_after_ms
	maxRetryDelay     = 2 * time.Second        // longer values of retry_after_ms are reduced to it
)

// Client sends the requests of one workspace.
type Client struct {
	Balancer       *Balancer
	HTTP           *http.Client
	APIKey         string        // sent as the bearer token
	RequestTimeout time.Duration // limit of one request including its retries
	IdleTimeout    time.Duration // limit without an event of a streamed response, and of a whole attempt of a booking; then the attempt is cancelled
}

// problem is the body of a refusal, or the data of an error event in a stream.
type problem struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Values of problem.Outcome.
const (
	problemOutcomeNotRun  = "not_run"
	problemOutcomeUnknown = "unknown"
)

// Error implements error.
func (p *problem) Error() string { return p.Outcome + ": " + p.Reason }

func (p *problem) retryDelay() time.Duration {
	if p.RetryAfterMS <= 0 {
		return defaultRetryDelay
	}
	return min(time.Duration(p.RetryAfterMS)*time.Millisecond, maxRetryDelay)
}

// send posts a body to a router chosen by the balancer. A response with a status of 300 or above is returned as a
// *problem, or as another error if its body isn't a problem document.
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
