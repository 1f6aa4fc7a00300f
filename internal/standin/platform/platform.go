// Package platform is a stand-in for the platform's read and watch service. It
// counts its readers' calls and can be stale, down, or show different readers
// different values.
package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/standin"
)

// Feed names one of the published values.
type Feed string

// The feeds.
const (
	Configuration Feed = "configuration"
	Instances     Feed = "instances"
	Endpoints     Feed = "endpoints"
)

// ConfigurationValue is the value of the configuration feed: three TOML documents.
type ConfigurationValue struct {
	Plans        string `json:"plans"`
	Entitlements string `json:"entitlements"`
	State        string `json:"state"`
}

// InstancesValue is the value of the instances feed.
type InstancesValue struct {
	Instances []fleet.Instance `json:"instances"`
}

// EndpointsValue is the value of the endpoints feed.
type EndpointsValue struct {
	Endpoints []fleet.Endpoint `json:"endpoints"`
}

// Faults are injected failures.
type Faults struct {
	Down  bool   `json:"down"`  // refuse all reads and end waiting ones
	Stale []Feed `json:"stale"` // feeds that stay as they were when this was injected
}

// Stats counts reads. A waiting watch counts as one call in each second.
type Stats struct {
	Calls      int `json:"calls"`
	Waiting    int `json:"waiting"`      // watches that wait now
	PeakPerSec int `json:"peak_per_sec"` // most calls and waiting watches in one second
}

// revisionedValue is one value with its revision.
type revisionedValue struct {
	revision uint64
	body     []byte
}

// feed is the state of one feed. Values are by reader, "" for all others.
type feed struct {
	revision uint64 // highest given out
	current  map[string]revisionedValue
	stale    map[string]revisionedValue // served instead while set
}

// Platform is a stand-in for the platform.
type Platform struct {
	*standin.Server

	mu            sync.Mutex
	feeds         map[Feed]*feed
	down          bool
	changed       chan struct{} // closed and replaced at each change
	stats         Stats
	currentSecond int64
	callsInSecond int // calls in that second
}

// Start runs a platform on addr.
func Start(addr string) (*Platform, error) {
	p := &Platform{feeds: map[Feed]*feed{}, changed: make(chan struct{})}
	for _, f := range []Feed{Configuration, Instances, Endpoints} {
		p.feeds[f] = &feed{current: map[string]revisionedValue{}}
	}
	srv, err := standin.Listen(addr, p.handler())
	p.Server = srv
	return p, err
}

// Publish gives a feed a new value, which must encode as a JSON object, and
// returns its revision. With a reader it is shown to that reader only, until the
// next value for all.
func (p *Platform) Publish(name Feed, reader string, value any) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.feeds[name]
	body, err := json.Marshal(value)
	if err != nil || len(body) < len(`{"":0}`) || body[0] != '{' {
		return 0, errors.Errorf("platform: %T is not an object with members", value)
	}
	f.revision++
	if reader == "" {
		f.current = map[string]revisionedValue{}
	}
	f.current[reader] = revisionedValue{f.revision, fmt.Appendf(nil, `{"revision":%d,%s`, f.revision, body[1:])}
	close(p.changed)
	p.changed = make(chan struct{})
	return f.revision, nil
}

// Inject replaces the injected faults.
func (p *Platform) Inject(in Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, f := range p.feeds {
		f.stale = nil
		if slices.Contains(in.Stale, name) {
			f.stale = maps.Clone(f.current)
		}
	}
	p.down = in.Down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Stats returns the counts of reads so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// visibleValue returns what a reader of a feed is shown, and whether the platform is up.
func (p *Platform) visibleValue(name Feed, reader string) (v revisionedValue, changed <-chan struct{}, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.feeds[name].current
	if p.feeds[name].stale != nil {
		values = p.feeds[name].stale
	}
	v, perReader := values[reader]
	if !perReader {
		v = values[""]
	}
	return v, p.changed, !p.down
}

// recordCalls notes new calls and watches that began or ended to wait.
func (p *Platform) recordCalls(now time.Time, calls, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := now.Unix(); s != p.currentSecond {
		p.currentSecond, p.callsInSecond = s, 0
	}
	p.callsInSecond += calls
	p.stats.Calls += calls
	p.stats.Waiting += waiting
	p.stats.PeakPerSec = max(p.stats.PeakPerSec, p.callsInSecond+p.stats.Waiting)
}
