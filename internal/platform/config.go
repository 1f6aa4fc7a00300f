package platform

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Config tunes a Client.
type Config struct {
	BaseURL         string           // http://IP:port
	Reader          fleet.InstanceID // named to the platform with each call
	WatchWait       time.Duration    // of one watch call
	CallTimeout     time.Duration    // of a call beyond its wait
	MinBackoff      time.Duration    // after the first failure
	MaxBackoff      time.Duration
	MinCallInterval time.Duration // between the starts of two calls for one feed
}

// DefaultConfig returns the defaults for a platform's address and a reader.
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
