package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// Settings is what one gateway process is told at its start.
type Settings struct {
	Instance    fleet.InstanceID
	DataCentre  fleet.DataCentreID // in which the process runs
	DataCentres map[fleet.DataCentreID]fleet.RegionID
	Listen      Listen
	Peers       Peers
	Store       Store
	Bounds      Bounds
}

// Listen holds the addresses on which the process listens, each IP:port over TCP.
type Listen struct {
	Callers  string // requests of callers
	Balancer string // the balancer's question whether the process takes callers
	Control  string // other processes that look for peers
	Operator string // metrics and state dump, "" for none
}

// Peers says how other gateway processes are found.
type Peers struct {
	Addr  string   // UDP IP:port on which this process talks to peers; all processes use the same port
	Seeds []string // IP:port of the control addresses of some processes, which may be down
}

// Store says where the platform publishes.
type Store struct {
	Addr string // IP:port
}

// Bounds are the figures that the deployment demands.
type Bounds struct {
	StopGracePeriod           time.Duration // from the order to stop to the kill
	EndpointDrainDelay        time.Duration // after which a leaving endpoint gets nothing new
	ConfigPropagationDelay    time.Duration // after which a published configuration is in force
	StrictRevoke              bool          // keys count only while the configuration is known to be recent
	KeyRevocationDelay        time.Duration // after which a revoked key is refused
	RetryRatio                float64       // retries for each request, over the fleet
	RetryWindow               time.Duration // in which retries are counted
	RetryExtra                float64       // retries beyond the ratio in a window, over the fleet
	ColdMultiple              float64       // of the rate that a cold endpoint bears
	ColdExtra                 float64       // requests in a second beyond that
	LoadMultiple              float64       // highest load of an endpoint as a multiple of the mean
	AddressReuseDelay         time.Duration // after which the address of an ended endpoint may have another one
	EndpointHeartbeatInterval time.Duration // between two heartbeats of an endpoint to the store
	CacheRetention            time.Duration // for which a part of a prompt is worth finding again
	MaxForwardDelay           time.Duration // of an event of a stream in this process
}

// check returns an error if a process cannot run with the settings.
func (s *Settings) check() error {
	for name, value := range map[string]string{
		"instance": string(s.Instance), "data centre": string(s.DataCentre), "address for callers": s.Listen.Callers,
		"address for the balancer": s.Listen.Balancer, "address for control": s.Listen.Control,
		"address for peers": s.Peers.Addr, "address of the store": s.Store.Addr,
	} {
		if value == "" {
			return errors.Errorf("gateway: the settings have no %s", name)
		}
	}
	return nil
}

// revokeMargin is what is left of the time in which a revoked key must be refused: the
// store may answer a change's writer before it shows the change to all readers.
const revokeMargin = time.Second

// member is how other processes know this one.
func (s *Settings) member() mesh.Member {
	return mesh.Member{ID: s.Instance, DataCentre: s.DataCentre, Addr: s.Peers.Addr, Control: s.Listen.Control}
}

// control returns the options of the control state.
func (s *Settings) control(seed uint64, p published.Protocol) control.Options {
	b := &s.Bounds
	return control.Options{
		Self:                 s.member(),
		RandomSeed:           seed,
		SeedCount:            len(newSeedClient(*s).addrs),
		Protocol:             p,
		StrictRevoke:         b.StrictRevoke,
		AuthStalenessBound:   b.KeyRevocationDelay - revokeMargin,
		DenialStalenessBound: b.ConfigPropagationDelay * 3 / 4, // the rest is the way of the request
		LoadMultiple:         max(b.LoadMultiple, 1),
		RetryRatio:           b.RetryRatio,
		RetryExtra:           b.RetryExtra,
		RetryWindow:          b.RetryWindow,
	}
}
