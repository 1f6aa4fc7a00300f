package router

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/callers"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/peering"
	"github.com/dandelionvane/dandelionvane/internal/platform"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// Options configures a router process.
type Options struct {
	Core core.Options

	CallersAddr  string // IP:port
	PeersAddr    string
	OperatorAddr string

	TLS               *tls.Config
	Identify          func(tls.ConnectionState) (fleet.InstanceID, error)
	ResumeTokenSecret []byte // seals resume tokens; shared by all routers
	ParseConfig       platform.ParseConfig

	Callers  callers.Config
	Peering  peering.Config
	Upstream upstream.Config
	Platform platform.Config

	LoadPollInterval time.Duration // between load polls of an endpoint
	StopTimeout      time.Duration // after which a planned stop no longer waits for requests in progress
	Profiling        bool          // serves net/http/pprof on the operator listener
	Metrics          http.Handler  // serves GET /metrics; nil means not served
	ReportInterval   time.Duration // between calls of Report
	Report           func(Snapshot)
}
