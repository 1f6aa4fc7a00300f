package callers

import "time"

// Config bounds what callers may use.
type Config struct {
	MaxConnections    int
	MaxRequests       int           // in progress
	MaxBodyBytes      int           // of one request
	MaxTotalBodyBytes int64         // of all requests in progress
	MaxHeaderBytes    int           // of one request
	HeaderTimeout     time.Duration // until a request's headers are read
	BodyTimeout       time.Duration // until a request's body is read
	WriteTimeout      time.Duration // of one part of an answer
	IdleTimeout       time.Duration // of a kept connection
	MaxDeadline       time.Duration // that a caller may ask for
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
