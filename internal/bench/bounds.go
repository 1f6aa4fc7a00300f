package bench

import "time"

// Limits that the tests assert. They follow from the targets in docs/DESIGN.md.
const (
	maxLoadMultiple          = 1.5                     // load of an engine relative to the mean load of its pool
	minMeanLoad              = 4.0                     // mean load below which the ratio isn't evaluated
	maxControlBytesPerSecond = 5000.0                  // sent by one router
	maxOutOfServiceDelay     = 5 * time.Second         // from taking a data centre out of service until it receives no new requests
	maxConfigDelay           = 5 * time.Second         // from publishing a configuration until all routers have adopted it
	maxAttemptsPerRequest    = 1.1                     // over the fleet
	maxP95StartDelay         = 1500 * time.Millisecond // 95th percentile of the wait before the start at an endpoint, and so before the first token
)
