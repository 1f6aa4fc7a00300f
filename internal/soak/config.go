package soak

import (
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	configDelay  = 2 * time.Second  // until a published configuration must be in force at every gateway (config_ms)
	routeTimeout = 3 * time.Second  // request timeout in the published configuration, unless an operation shortens it
	idleTimeout  = 4 * time.Second  // idle timeout of callers' connections, unless an operation shortens it
	oldestLimit  = 10 * time.Second // age of the oldest configuration whose limits may still be in force somewhere
)

// operator publishes the configuration and remembers its history.
type operator struct {
	store    *platformtest.Store
	timeline *timeline

	mu        sync.Mutex
	config    platformtest.ConfigEntry // published last
	limits    []limits                 // oldest first
	issued    map[string]time.Time     // when a key was published first
	withdrawn map[string]time.Time     // when a configuration without the key was written
}

// limits are the published limits from a time on.
type limits struct {
	from         time.Time
	routeTimeout time.Duration
	idleTimeout  time.Duration // 0: none
}

func newOperator(store *platformtest.Store, t *timeline, firstKey string, idle time.Duration) *operator {
	return &operator{
		store: store, timeline: t,
		config: platformtest.ConfigEntry{Timeout: routeTimeout, IdleTimeout: idle, Keys: []string{firstKey}, Others: map[string][]string{otherWorkspace: {otherKey}}, Targets: map[string][]string{}, Removed: map[string]bool{}},
		issued: map[string]time.Time{firstKey: {}, otherKey: {}}, withdrawn: map[string]time.Time{},
	}
}

// publish changes the configuration and publishes it as its next version.
func (o *operator) publish(edit func(c *platformtest.ConfigEntry)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.config.Version++
	edit(&o.config)
	now := time.Now()
	o.limits = append(o.limits, limits{now, o.config.Timeout, o.config.IdleTimeout})
	for _, k := range o.config.Keys {
		if _, ok := o.issued[k]; !ok {
			o.issued[k] = now
		}
	}
	o.timeline.mark(configChange, "", configDelay)
	o.store.Write(o.config.Item())
}

// publishAgain writes the configuration that was published last once more.
func (o *operator) publishAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Write(o.config.Item())
}

// withdrawing records that a key is taken away from now on.
func (o *operator) withdrawing(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn[key] = time.Now()
}

// keyUncertain reports whether a request with a key that was sent and ended at these times may have met a configuration
// without the key, if the configurations published within the delay before it need not be in force.
func (o *operator) keyUncertain(key string, sentAt, endedAt time.Time, delay time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	issued, known := o.issued[key]
	withdrawn, gone := o.withdrawn[key]
	return !known || sentAt.Sub(issued) < delay || (gone && withdrawn.Before(endedAt))
}

// shortestRouteTimeout returns the shortest of the route timeouts that may have been in force from start to end.
func (o *operator) shortestRouteTimeout(start, end time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	shortest := routeTimeout
	for i, l := range o.limits {
		replaced := i+1 < len(o.limits) && o.limits[i+1].from.Before(start.Add(-oldestLimit))
		if !replaced && l.from.Before(end) {
			shortest = min(shortest, l.routeTimeout)
		}
	}
	return shortest
}

// idleTimeoutAt returns the idle timeout that had been published last at a time, 0 for none.
func (o *operator) idleTimeoutAt(t time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out time.Duration
	for _, l := range o.limits {
		if !l.from.After(t) {
			out = l.idleTimeout
		}
	}
	return out
}

// knownIdleLimit returns the idle timeout that a caller goes by on a kept connection: the shorter of the one announced or
// published with the last response, and the one that must be in force by now.
func (o *operator) knownIdleLimit(c *clientConn) time.Duration {
	inForce := o.idleTimeoutAt(time.Now().Add(-configDelay))
	if c.idleLimit == 0 || (inForce > 0 && inForce < c.idleLimit) {
		return inForce
	}
	return c.idleLimit
}

// isMoved reports whether a route has another service than that of its name, or is missing.
func (o *operator) isMoved(route string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config.Removed[route] || len(o.config.Targets[route]) > 0
}
