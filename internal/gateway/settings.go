package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// Settings are the settings of one gateway process.
type Settings struct {
	Instance    fleet.InstanceID
	DataCentre  fleet.DataCentreID                    // data centre in which the process runs
	DataCentres map[fleet.DataCentreID]fleet.RegionID // region of each data centre; not used by the gateway
	Listen      Listen
	Peers       Peers
	Store       Store
	Bounds      Bounds
	CPUMillis   uint32  // processor share in thousandths of a core, 0: unknown
	LinkMbps    float64 // bandwidth of the instance's link in Mbit/s, 0: unknown
	MemoryMB    float64 // memory of the instance in MiB, beyond which the process is killed, 0: unknown
	MaxFDs      int     // descriptors that the process may have open, 0: unknown
	FirstStart  bool    // the whole fleet starts for the first time
}

// Listen holds the TCP listen addresses of the process, each IP:port.
type Listen struct {
	Callers  string // for the requests of callers
	Balancer string // for the readiness check of the load balancer
	Control  string // for other gateways: seed queries and pulls of items
	Operator string // for metrics and the state dump, "" for none
}

// Peers configures the messages between gateways.
type Peers struct {
	Addr  string   // UDP IP:port of this process; all processes use the same port
	Seeds []string // control addresses (IP:port) of some gateways, which may be down
}

// Store configures the client of the platform's store.
type Store struct {
	Addr string // IP:port
}

// Bounds holds the timeouts, rates and delays that the deployment requires of the fleet. The
// gateway doesn't use EndpointDrainDelay, ColdMultiple, ColdExtra, AddressReuseDelay,
// EndpointHeartbeatInterval, CacheRetention and MaxForwardDelay.
type Bounds struct {
	StopGracePeriod           time.Duration // between the stop signal and the kill of the process
	EndpointDrainDelay        time.Duration // within which a draining endpoint gets its last request
	ConfigPropagationDelay    time.Duration // within which a published configuration takes effect
	StrictRevoke              bool          // accept keys only while the configuration is confirmed to be recent
	KeyRevocationDelay        time.Duration // within which a revoked key is rejected
	RetryRatio                float64       // fleet-wide retries per request
	RetryWindow               time.Duration // sliding window of the retry budget
	RetryExtra                float64       // fleet-wide retries per window on top of the ratio
	ColdMultiple              float64       // allowed request rate of a cold endpoint as a multiple of what it can serve
	ColdExtra                 float64       // requests per second on top of ColdMultiple
	LoadMultiple              float64       // maximum load of an endpoint as a multiple of the mean
	AddressReuseDelay         time.Duration // after which another endpoint may get the address of an ended one
	EndpointHeartbeatInterval time.Duration // between two heartbeats of an endpoint in the store
	CacheRetention            time.Duration // for which a cached prompt part is worth looking up
	MaxForwardDelay           time.Duration // maximum delay that this process adds to an event of a stream
}

// validate returns an error if the settings lack a value without which the process cannot run.
func (s *Settings) validate() error {
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

// keyRevocationMargin is subtracted from the time within which a revoked key must be rejected,
// because the store may acknowledge a write before the change is visible to all readers.
const keyRevocationMargin = time.Second

// member returns the entry of this process in the member list.
func (s *Settings) member() mesh.Member {
	return mesh.Member{ID: s.Instance, DataCentre: s.DataCentre, Addr: s.Peers.Addr, ControlAddr: s.Listen.Control, CPUMillis: s.CPUMillis}
}

// controlOptions returns the options of the control state.
func (s *Settings) controlOptions(randomSeed uint64, protocol published.Protocol) control.Options {
	bounds := &s.Bounds
	return control.Options{
		Self:                 s.member(),
		RandomSeed:           randomSeed,
		SeedCount:            len(newSeedClient(*s).addrs),
		Protocol:             protocol,
		StrictRevoke:         bounds.StrictRevoke,
		AuthStalenessBound:   bounds.KeyRevocationDelay - keyRevocationMargin,
		DenialStalenessBound: bounds.ConfigPropagationDelay * 3 / 4, // the remaining quarter covers the time until the response arrives
		LoadMultiple:         max(bounds.LoadMultiple, 1),
		RetryRatio:           bounds.RetryRatio,
		RetryExtra:           bounds.RetryExtra,
		RetryWindow:          bounds.RetryWindow,
	}
}
