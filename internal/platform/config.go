package platform

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Config configures a Client.
type Config struct {
	BaseURL         string           // http://IP:port of the platform
	Reader          fleet.InstanceID // sent in the X-Reader header of each call
	WatchWait       time.Duration    // how long the platform may hold a watch call
	CallTimeout     time.Duration    // of a call, in addition to the wait time of a watch
	MinBackoff      time.Duration    // after the first failure; doubles with each further one
	MaxBackoff      time.Duration
	MinCallInterval time.Duration // between the starts of two calls for one feed
}

// DefaultConfig returns the defaults for a base URL and a reader.
func DefaultConfig(baseURL string, reader fleet.InstanceID) Config {
	return Config{
		BaseURL:         baseURL,
		Reader:          reader,
		WatchWait:       20 * time.Second,
		CallTimeout:     3 * time.Second,
		MinBackoff:      200 * time.Millisecond,
		MaxBackoff:      5 * time.Second,
		MinCallInterval: 200 * time.Millisecond,
	}
}
