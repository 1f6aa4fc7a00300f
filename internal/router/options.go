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

// Options holds all that a router process needs.
type Options struct {
	Core core.Options

	CallersAddr  string // IP:port
	PeersAddr    string
	OperatorAddr string

	TLS         *tls.Config
	Identify    func(tls.ConnectionState) (fleet.InstanceID, error)
	TokenSecret []byte // of resume tokens, shared by the fleet
	ParseConfig platform.ParseConfig

	Callers  callers.Config
	Peering  peering.Config
	Upstream upstream.Config
	Platform platform.Config

	LoadPollInterval time.Duration // of load reports
	StopTimeout      time.Duration // until the process exits although requests are in progress
	Profiling        bool          // serve net/http/pprof on the operator listener
	Metrics          http.Handler  // of GET /metrics, nil: none
	ReportInterval   time.Duration // of the process's own metrics
	Report           func(Snapshot)
}
