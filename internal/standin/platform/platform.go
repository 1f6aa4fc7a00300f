// Package platform is a stand-in for the platform's read and watch service, which uses long
// polling: a watch is a read that waits for a revision above the given one. The revision of a feed
// increases by one with each publication. The stand-in counts the reads, and it can serve stale
// values, be down, or serve different values to different readers.
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

// Feed is the name of a published value.
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

// Faults are the injected faults.
type Faults struct {
	Down  bool   `json:"down"`  // respond with 503 to all reads, waiting watches included
	Stale []Feed `json:"stale"` // feeds that keep serving their values as of the injection
}

// Stats counts reads.
type Stats struct {
	Calls      int `json:"calls"`        // each watch counts once
	Waiting    int `json:"waiting"`      // waiting watches
	PeakPerSec int `json:"peak_per_sec"` // most calls within one second, where a waiting watch counts as a call in each second
}

// revisionedValue is an encoded value with its revision.
type revisionedValue struct {
	revision uint64
	body     []byte
}

// feed is the state of one feed. Values are keyed by reader; "" holds the value for all other readers.
type feed struct {
	revision uint64 // of the last publication
	current  map[string]revisionedValue
	stale    map[string]revisionedValue // values as of the injection of Faults.Stale, served instead of current; nil: not stale
}

// Platform is a stand-in for the platform.
type Platform struct {
	*standin.Server

	mu            sync.Mutex
	feeds         map[Feed]*feed
	down          bool
	changed       chan struct{} // closed and replaced on each change
	stats         Stats
	currentSecond int64
	callsInSecond int // in currentSecond
}

// Start starts a platform on addr.
func Start(addr string) (*Platform, error) {
	p := &Platform{feeds: map[Feed]*feed{}, changed: make(chan struct{})}
	for _, f := range []Feed{Configuration, Instances, Endpoints} {
		p.feeds[f] = &feed{current: map[string]revisionedValue{}}
	}
	srv, err := standin.Listen(addr, p.handler())
	p.Server = srv
	return p, err
}

// Publish sets the value of a feed, which must encode as a JSON object, and returns its
// revision. With a reader the value is served to that reader only, until the next value that
// is published for all readers.
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

// Stats returns the counts since the start.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// visibleValue returns the value of a feed for a reader, a channel that is closed on the next change, and
// whether the platform is up.
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

// recordCalls adds new calls, and the change in the number of waiting watches.
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
