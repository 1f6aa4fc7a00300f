package router

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/callers"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/lists"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
	"github.com/dandelionvane/dandelionvane/internal/peering"
	"github.com/dandelionvane/dandelionvane/internal/platform"
	"github.com/dandelionvane/dandelionvane/internal/settings"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

const (
	loadPollInterval      = time.Second
	metricsReportInterval = time.Second
	stopGracePeriod       = 5 * time.Second // after the drain timeout, until a planned stop is aborted
	minSecretBytes        = 16
	incarnationUnit       = time.Millisecond
)

// Run runs a router with the given settings. The end of ctx starts a planned stop, and
// Run returns once it is complete.
func Run(ctx context.Context, s *settings.Settings) error {
	o, err := optionsFromSettings(s)
	if err != nil {
		return err
	}
	reg := metrics.New()
	defer reg.Close()
	o.Metrics = reg.Handler()
	o.Report = newReporter(reg.Scope()).report
	return RunOptions(ctx, o)
}

func optionsFromSettings(s *settings.Settings) (Options, error) {
	tlsConfig, err := keys.LoadTLSConfigForInstance(s.Instance.ID, s.TLS.CA, s.TLS.Certificate, s.TLS.Key)
	if err != nil {
		return Options{}, err
	}
	secret, err := readSecret(s.TLS.Secret)
	if err != nil {
		return Options{}, err
	}
	o := Options{
		Core:              coreOptions(s),
		CallersAddr:       s.Listen.Callers,
		PeersAddr:         s.Listen.Peers,
		OperatorAddr:      s.Listen.Operator,
		TLS:               tlsConfig,
		Identify:          peerInstance,
		ResumeTokenSecret: secret,
		ParseConfig:       parseConfig,
		Callers:           callers.DefaultConfig(),
		Peering:           peering.DefaultConfig(),
		Upstream:          upstream.DefaultConfig(),
		Platform:          platform.DefaultConfig(s.Platform.URL, fleet.InstanceID(s.Instance.ID)),
		LoadPollInterval:  loadPollInterval,
		StopTimeout:       s.Stop.DrainTimeout + stopGracePeriod,
		Profiling:         s.Listen.Profiling,
		ReportInterval:    metricsReportInterval,
	}
	o.Platform.WatchWait = s.Platform.WatchWait
	o.Callers.MaxBodyBytes = int(s.Requests.MaxBodyBytes)
	o.Callers.MaxHeaderBytes = s.Requests.MaxHeaderBytes
	o.Callers.HeaderTimeout = s.Requests.HeaderTimeout
	o.Upstream.ProgressTimeout = s.Requests.ProgressTimeout
	o.Upstream.FirstProgressTimeout = s.Requests.ProgressTimeout
	return o, nil
}

func coreOptions(s *settings.Settings) core.Options {
	o := core.DefaultOptions(fleet.InstanceID(s.Instance.ID), fleet.DataCentreID(s.Instance.DataCentre), newIncarnation())
	o.RandomSeed = newRandomSeed()
	o.SeedPeers = seedPeers(s)
	o.LoadMultiple = s.Load.Multiple
	o.RampTime = s.Load.Ramp
	o.RampStart = s.Load.RampStart
	o.MaxQueue = s.Load.MaxQueue
	o.MaxQueueWait = s.Load.MaxWait
	o.DefaultDeadline = s.Requests.DefaultDeadline
	o.RetryRatio = s.Retry.Ratio
	o.BackoffBase = s.Retry.BackoffBase
	o.BackoffMax = s.Retry.BackoffMax
	o.TicketTTL = s.Tickets.TTL
	o.KeyLifetime = s.Tickets.KeyLifetime
	o.DrainTimeout = s.Stop.DrainTimeout
	return o
}

func seedPeers(s *settings.Settings) []core.SeedPeer {
	var out []core.SeedPeer
	for _, text := range s.Peers.Seeds {
		seed, err := settings.ParseSeed(text)
		if err == nil { // the settings were validated when they were read
			out = append(out, core.SeedPeer{ID: fleet.InstanceID(seed.ID), Addr: seed.Addr.String()})
		}
	}
	return out
}

// newIncarnation returns the wall-clock time, so that each later run has a higher incarnation.
func newIncarnation() fleet.Incarnation {
	return fleet.Incarnation(time.Now().UnixNano() / int64(incarnationUnit))
}

func newRandomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

func peerInstance(cs tls.ConnectionState) (fleet.InstanceID, error) {
	id, err := keys.PeerInstanceID(cs)
	return fleet.InstanceID(id), err
}

func readSecret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "router: secret")
	}
	b = bytes.TrimSpace(b)
	if len(b) < minSecretBytes {
		return nil, errors.Errorf("router: the secret in %s has fewer than %d bytes", path, minSecretBytes)
	}
	return b, nil
}

// parseConfig parses the operators' lists. It returns the first fault that is not a warning as an error.
func parseConfig(rev fleet.Revision, plans, entitlements, state string) (*fleet.Configuration, error) {
	cfg, faults := lists.Parse(rev, plans, entitlements, state)
	for _, f := range faults {
		if !f.Warning {
			return nil, errors.Errorf("%s (%d faults in all)", f, len(faults))
		}
	}
	if cfg == nil {
		return nil, errors.New("router: the lists gave no configuration")
	}
	return cfg, nil
}
