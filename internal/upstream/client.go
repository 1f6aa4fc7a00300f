package upstream

import (
	"net"
	"net/http"
	"time"
)

// Bounds of what is read from an endpoint.
const (
	maxHeaderBytes = 16 << 10
	maxReportBytes = 4 << 10
	maxKeptBytes   = 64 << 10 // of a response kept for repeats
	copyBytes      = 16 << 10
)

// Kept connections for load reports, of each endpoint.
const (
	maxIdlePolls    = 1
	idlePollTimeout = time.Minute
)

// Config tunes a Client.
type Config struct {
	Dial                 DialFunc      // nil: TCP
	ConnectTimeout       time.Duration // of one connection
	FirstProgressTimeout time.Duration // until the first event of a stream or the head of a reply
	ProgressTimeout      time.Duration // between the events of a stream or the parts of a reply
	PollTimeout          time.Duration // of a load report
	CancelTimeout        time.Duration // of an order to stop generating
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout:       time.Second,
		FirstProgressTimeout: 5 * time.Second,
		ProgressTimeout:      2 * time.Second,
		PollTimeout:          time.Second,
		CancelTimeout:        time.Second,
	}
}

// Client speaks to endpoints. It is safe for concurrent use.
type Client struct {
	cfg      Config
	attempts *http.Transport
	polls    *http.Transport
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout}).DialContext
	}
	return &Client{
		cfg: cfg,
		attempts: &http.Transport{
			DialContext:            cfg.Dial.wrap,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		polls: &http.Transport{
			DialContext:            cfg.Dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			MaxIdleConnsPerHost:    maxIdlePolls,
			IdleConnTimeout:        idlePollTimeout,
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.attempts.CloseIdleConnections()
	c.polls.CloseIdleConnections()
}
