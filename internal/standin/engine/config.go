package engine

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Config describes an engine.
type Config struct {
	ID                fleet.EndpointID
	Model             fleet.ModelID // "": any model
	Capacity          int           // concurrent streams in the batch when warm
	QueueLimit        int           // streams that may wait for room in the batch
	TokenInterval     time.Duration // between the tokens of a stream that is alone in the batch
	Slowdown          float64       // increase of the interval per further stream in the batch, as a fraction of TokenInterval
	CacheBlocks       int           // prefix blocks in the cache
	LoadReportDelay   time.Duration // age of the reported load
	CacheEventDelay   time.Duration // time until a cache event can be read
	DropEveryNthEvent int           // every n-th cache event is lost; 0: none
	ReaderGracePeriod time.Duration // a stream that has had no reader for this long is cancelled and discarded
	ColdCapacity      int           // capacity right after a cold start
	ColdStartDuration time.Duration // time from a cold start to full capacity; 0: always warm
	ChecksFence       bool          // refuse orders with a fencing token below that of the last order
}

// DefaultConfig returns the configuration of an engine that is always warm and reports without delay.
func DefaultConfig(id fleet.EndpointID) Config {
	return Config{
		ID: id, Capacity: 16, QueueLimit: 16, TokenInterval: 2 * time.Millisecond, Slowdown: 0.05,
		CacheBlocks: 4096, ReaderGracePeriod: 5 * time.Second, ColdCapacity: 1,
	}
}
