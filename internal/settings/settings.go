package settings

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Fault is one thing that is wrong in a settings file.
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

// Instance says which instance this process is.
type Instance struct {
	ID         string `toml:"id"`          // as in the platform's instance list and the certificate
	DataCentre string `toml:"data_centre"` // the data centre in which the process runs
}

// Listen holds the addresses on which the process listens, each IP:port.
type Listen struct {
	Callers  string `toml:"callers"`  // HTTP for callers and the balancer
	Peers    string `toml:"peers"`    // QUIC (UDP) for other routers
	Operator string `toml:"operator"` // HTTP for operators: metrics, dump, explain

	Profiling bool `toml:"profiling"` // serve Go profiles to operators below /debug/pprof/
}

// Platform says where the platform's configuration and lists are read.
type Platform struct {
	URL       string        `toml:"url"`        // http://IP:port
	WatchWait time.Duration `toml:"watch_wait"` // how long one watch call waits for a change
}

// Peers names other routers that a starting process asks when the platform is down.
type Peers struct {
	Seeds []string `toml:"seeds"` // routers to ask before an instance list is known, each "ID=IP:port" with the address of its listen.peers
}

// TLS names the files for mutual TLS between routers. Relative names count from
// the directory of the settings file.
type TLS struct {
	CA          string `toml:"ca"`          // certificate of the authority
	Certificate string `toml:"certificate"` // certificate of this instance
	Key         string `toml:"key"`         // private key of this instance
	Secret      string `toml:"secret"`      // optional: a secret that all instances share, authenticates the ids of streams
}

// LoadBalancing bounds the load on endpoints.
type LoadBalancing struct {
	Multiple  float64       `toml:"multiple"`   // highest load of an endpoint as a multiple of the mean of its pool
	Ramp      time.Duration `toml:"ramp"`       // time from a cold start to full load
	RampStart int           `toml:"ramp_start"` // concurrent requests at the start of the ramp
	MaxQueue  int           `toml:"max_queue"`  // requests that may wait for one endpoint
	MaxWait   time.Duration `toml:"max_wait"`   // time that a request may wait for an endpoint
}

// Requests bounds the requests of callers.
type Requests struct {
	DefaultDeadline time.Duration `toml:"default_deadline"` // for the whole answer, when the caller names none
	MaxBodyBytes    int64         `toml:"max_body_bytes"`   // of a request
	MaxHeaderBytes  int           `toml:"max_header_bytes"` // of a request
	ProgressTimeout time.Duration `toml:"progress_timeout"` // a connection without progress for this long is given up
	HeaderTimeout   time.Duration `toml:"header_timeout"`   // for receiving a request's header
}

// Retry bounds the retries of idempotent requests.
type Retry struct {
	Ratio       float64       `toml:"ratio"`        // retries as a share of requests
	BackoffBase time.Duration `toml:"backoff_base"` // before the first retry
	BackoffMax  time.Duration `toml:"backoff_max"`  // before any retry
}

// Tickets bounds the memory of non-idempotent requests.
type Tickets struct {
	TTL         time.Duration `toml:"ttl"`          // time in which a ticket can be redeemed
	KeyLifetime time.Duration `toml:"key_lifetime"` // time for which an Idempotency-Key is remembered
}

// Stop bounds a planned stop.
type Stop struct {
	DrainTimeout time.Duration `toml:"drain_timeout"` // time that answers in progress have to finish
}

// Log sets the amount of logging.
type Log struct {
	Verbosity int `toml:"verbosity"` // of klog; 0 logs the numbered events only
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the settings that hold where a file sets nothing.
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
