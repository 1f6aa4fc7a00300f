package engine

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Config describes an engine.
type Config struct {
	ID                fleet.EndpointID
	Model             fleet.ModelID // "" serves any model
	Capacity          int           // streams in the batch when warm
	QueueLimit        int           // streams that wait beside the batch
	TokenInterval     time.Duration // between tokens of a lone stream
	Slowdown          float64       // growth of the interval for each further stream
	CacheBlocks       int           // prefix blocks in the cache
	LoadReportDelay   time.Duration // age of load reports
	CacheEventDelay   time.Duration // delay of cache events
	DropEveryNthEvent int           // each EventGap-th cache event is lost; 0: none
	ReaderGracePeriod time.Duration // how long a stream without reader is kept
	ColdCapacity      int           // capacity right after a cold start
	ColdStartDuration time.Duration // until full capacity; 0: always warm
	ChecksFence       bool          // refuse orders with an old fencing number
}

// DefaultConfig returns an engine that is always warm and reports at once.
func DefaultConfig(id fleet.EndpointID) Config {
	return Config{
		ID: id, Capacity: 16, QueueLimit: 16, TokenInterval: 2 * time.Millisecond, Slowdown: 0.05,
		CacheBlocks: 4096, ReaderGracePeriod: 5 * time.Second, ColdCapacity: 1,
	}
}
