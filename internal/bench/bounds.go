package bench

import "time"

// The bounds follow from the targets that docs/DESIGN.md states.
const (
	maxLoadMultiple          = 1.5                     // of the mean load, that no engine exceeds
	minMeanLoad              = 4.0                     // mean load from which the skew is a ratio worth stating
	maxControlBytesPerSecond = 5000.0                  // control bytes/s of one router
	maxOutOfServiceDelay     = 5 * time.Second         // until a data centre that was taken out gets no new work
	maxConfigDelay           = 5 * time.Second         // until a change of configuration is in force everywhere
	maxAttemptsPerRequest    = 1.1                     // attempts per request over the fleet
	maxFirstTokenWait        = 1500 * time.Millisecond // of 95 in 100, before the first token
)
