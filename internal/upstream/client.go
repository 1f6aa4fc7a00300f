package upstream

import (
	"net"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/respcheck"
)

// Limits on what is read from an endpoint.
const (
	maxResponseHeaderBytes = 16 << 10
	maxReportBytes         = 4 << 10
	maxStoredBodyBytes     = 64 << 10 // of a response stored for repeated requests
	copyBufferBytes        = 16 << 10
	eventBudgetBytes       = 64 << 20 // of the large events of all streams together
)

// Idle connections for load polls, per endpoint.
const (
	maxIdlePollConns    = 1
	idlePollConnTimeout = time.Minute
)

// Config holds the settings of a Client.
type Config struct {
	Dial                 DialFunc      // nil means TCP
	ConnectTimeout       time.Duration // to establish a connection
	FirstProgressTimeout time.Duration // until the response header or the first event of a stream
	ProgressTimeout      time.Duration // between two events of a stream, or two reads of a body
	PollTimeout          time.Duration // of a load poll
	CancelTimeout        time.Duration // of a request to cancel a stream
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout:       time.Second,
		FirstProgressTimeout: 5 * time.Second,
		ProgressTimeout:      2 * time.Second,
		PollTimeout:          time.Second,
		CancelTimeout:        time.Second,
	}
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	cfg              Config
	attemptTransport respcheck.Transport
	pollTransport    respcheck.Transport
	events           bytebudget.Budget // of large events of streams
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout}).DialContext
	}
	return &Client{
		cfg:    cfg,
		events: bytebudget.Budget{Limit: eventBudgetBytes},
		attemptTransport: respcheck.Transport{Base: &http.Transport{
			DialContext:            cfg.Dial.dialGuarded,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		pollTransport: respcheck.Transport{Base: &http.Transport{
			DialContext:            cfg.Dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			MaxIdleConnsPerHost:    maxIdlePollConns,
			IdleConnTimeout:        idlePollConnTimeout,
		}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.attemptTransport.CloseIdleConnections()
	c.pollTransport.CloseIdleConnections()
}
