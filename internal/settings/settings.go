package settings

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Fault is an error or warning about a settings file.
type Fault = tomldoc.Fault

// Settings is the settings file of one router process.
type Settings struct {
	Instance Instance      `toml:"instance"`
	Listen   Listen        `toml:"listen"`
	Platform Platform      `toml:"platform"`
	Peers    Peers         `toml:"peers"`
	TLS      TLS           `toml:"tls"`
	Load     LoadBalancing `toml:"load"`
	Requests Requests      `toml:"requests"`
	Retry    Retry         `toml:"retry"`
	Tickets  Tickets       `toml:"tickets"`
	Stop     Stop          `toml:"stop"`
	Log      Log           `toml:"log"`
}

// Instance identifies the instance of this process.
type Instance struct {
	ID         string `toml:"id"`          // instance id, as in the platform's instance list and the certificate
	DataCentre string `toml:"data_centre"` // data centre in which the process runs
}

// Listen holds the addresses on which the process listens, each IP:port.
type Listen struct {
	Callers  string `toml:"callers"`  // HTTP for callers and the load balancer
	Peers    string `toml:"peers"`    // QUIC (UDP) for other routers
	Operator string `toml:"operator"` // HTTP for operators: metrics, dump and explain

	Profiling bool `toml:"profiling"` // serve Go profiles under /debug/pprof/ of the operator listener
}

// Platform configures access to the platform's service, which publishes the configuration and the
// lists.
type Platform struct {
	URL       string        `toml:"url"`        // http or https URL with an IP address, for example http://10.1.0.2:7070
	WatchWait time.Duration `toml:"watch_wait"` // time that a watch call waits for a change
}

// Peers lists seed peers: routers that a starting process contacts before it knows the instance list.
type Peers struct {
	Seeds []string `toml:"seeds"` // seed peers, each "ID=IP:port" with the address of its listen.peers; needed when the platform is down
}

// TLS names the files for mutual TLS between routers. Relative paths are resolved against the
// directory of the settings file.
type TLS struct {
	CA          string `toml:"ca"`          // certificate of the certificate authority
	Certificate string `toml:"certificate"` // certificate of this instance
	Key         string `toml:"key"`         // private key of this instance
	Secret      string `toml:"secret"`      // optional: file with a secret that all instances share; authenticates resume tokens
}

// LoadBalancing configures bounded load and the cold-start ramp of endpoints.
type LoadBalancing struct {
	Multiple  float64       `toml:"multiple"`   // bounded load: highest load of an endpoint as a multiple of the mean load of its pool
	Ramp      time.Duration `toml:"ramp"`       // duration of the ramp from a cold start to full load
	RampStart int           `toml:"ramp_start"` // concurrent requests at the start of the ramp
	MaxQueue  int           `toml:"max_queue"`  // maximum number of requests queued for one endpoint
	MaxWait   time.Duration `toml:"max_wait"`   // maximum time that a request waits in the queue of an endpoint
}

// Requests sets limits for the requests of callers.
type Requests struct {
	DefaultDeadline time.Duration `toml:"default_deadline"` // time until the complete response, if the request sets no deadline
	MaxBodyBytes    int64         `toml:"max_body_bytes"`   // maximum size of a request body
	MaxHeaderBytes  int           `toml:"max_header_bytes"` // maximum size of a request header
	ProgressTimeout time.Duration `toml:"progress_timeout"` // an attempt at an endpoint without progress for this long is cancelled
	HeaderTimeout   time.Duration `toml:"header_timeout"`   // time to receive a request header
}

// Retry configures the retry budget and the backoff of retries.
type Retry struct {
	Ratio       float64       `toml:"ratio"`        // retry budget: retries as a fraction of requests
	BackoffBase time.Duration `toml:"backoff_base"` // base of the exponential backoff before a retry
	BackoffMax  time.Duration `toml:"backoff_max"`  // upper bound of the delay before any retry
}

// Tickets sets how long tickets and idempotency keys are valid.
type Tickets struct {
	TTL         time.Duration `toml:"ttl"`          // time in which a ticket can be redeemed
	KeyLifetime time.Duration `toml:"key_lifetime"` // time for which the record of an Idempotency-Key is kept
}

// Stop configures a planned stop.
type Stop struct {
	DrainTimeout time.Duration `toml:"drain_timeout"` // maximum time to complete the requests in progress
}

// Log sets the verbosity of logging.
type Log struct {
	Verbosity int `toml:"verbosity"` // klog verbosity; 0 logs only the numbered events
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the default settings, which apply where a file does not set a key.
func Default() *Settings {
	return &Settings{
		Listen: Listen{
			Callers:  "0.0.0.0:8080",
			Peers:    "0.0.0.0:7443",
			Operator: "127.0.0.1:9090",
		},
		Platform: Platform{WatchWait: 30 * time.Second},
		Load: LoadBalancing{
			Multiple:  1.5,
			Ramp:      30 * time.Second,
			RampStart: 1,
			MaxQueue:  32,
			MaxWait:   time.Second,
		},
		Requests: Requests{
			DefaultDeadline: 60 * time.Second,
			MaxBodyBytes:    mebibyte,
			MaxHeaderBytes:  16 * kibibyte,
			ProgressTimeout: 5 * time.Second,
			HeaderTimeout:   10 * time.Second,
		},
		Retry: Retry{
			Ratio:       0.1,
			BackoffBase: 50 * time.Millisecond,
			BackoffMax:  time.Second,
		},
		Tickets: Tickets{TTL: 10 * time.Minute, KeyLifetime: 10 * time.Minute},
		Stop:    Stop{DrainTimeout: 120 * time.Second},
	}
}
