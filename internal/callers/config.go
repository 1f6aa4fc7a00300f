package callers

import "time"

// Config holds the resource limits and timeouts of the server for callers.
type Config struct {
	MaxConnections    int           // open at a time
	MaxRequests       int           // in progress at a time
	MaxBodyBytes      int           // of one request body
	MaxTotalBodyBytes int64         // of the bodies of all requests in progress
	MaxHeaderBytes    int           // of the headers of one request
	HeaderTimeout     time.Duration // for reading the headers of a request
	BodyTimeout       time.Duration // for reading the body of a request
	WriteTimeout      time.Duration // for each write to the caller
	IdleTimeout       time.Duration // of a keep-alive connection
	MaxDeadline       time.Duration // upper bound of the deadline in a request
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		MaxConnections:    4096,
		MaxRequests:       2048,
		MaxBodyBytes:      1 << 20,
		MaxTotalBodyBytes: 64 << 20,
		MaxHeaderBytes:    16 << 10,
		HeaderTimeout:     5 * time.Second,
		BodyTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxDeadline:       10 * time.Minute,
	}
}
