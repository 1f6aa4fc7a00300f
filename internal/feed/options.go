package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options configures a State. Zero values select the defaults.
type Options struct {
	SeedPeers []fleet.InstanceID          // peers to query before an instance list is known
	Usable    func(fleet.InstanceID) bool // reports whether an instance is alive and not leaving; nil: all instances are usable

	PullTimeout               time.Duration // for the reply to a pull; then the next source is tried
	PullDelay                 time.Duration // wait for a peer that is ahead to push its change before pulling it
	LaggingDigestDelay        time.Duration // how long a peer may lag before it is sent the local digest
	LaggingDigestInterval     time.Duration // between two digests of one feed sent to the same lagging peer
	AntiEntropyInterval       time.Duration // between digest exchanges with instances of the local data centre
	RemoteAntiEntropyInterval time.Duration // between a reader's digest exchanges with each other data centre
	StartupQueryInterval      time.Duration // between rounds of queries of a starting process
	ReaderRotation            time.Duration // length of one instance's turn as the rotating reader
	StartupReplyTimeout       time.Duration // for replies of peers at startup; then the process becomes ready without them
	StartupCatchUpTimeout     time.Duration // for fetching a revision that a peer has advertised at startup
	MaxPushBytes              int           // largest change that is pushed in full; for larger ones only the digest is pushed
	MaxHistoryBytes           int           // per feed, forward and undo changes together
	MaxHistoryEntries         int           // per feed
	ReplyBurstBytes           int           // burst of large replies to pulls
	ReplyBytesPerSecond       int           // sustained rate of large replies to pulls
	LargeReplyBytes           int           // size from which a reply counts as large
}

func (o Options) withDefaults() Options {
	if o.Usable == nil {
		o.Usable = func(fleet.InstanceID) bool { return true }
	}
	orDefault(&o.PullTimeout, 400*time.Millisecond)
	orDefault(&o.PullDelay, 100*time.Millisecond)
	orDefault(&o.LaggingDigestDelay, 300*time.Millisecond)
	orDefault(&o.LaggingDigestInterval, time.Second)
	orDefault(&o.AntiEntropyInterval, 2*time.Second)
	orDefault(&o.RemoteAntiEntropyInterval, time.Second)
	orDefault(&o.StartupQueryInterval, 300*time.Millisecond)
	orDefault(&o.ReaderRotation, 10*time.Second)
	orDefault(&o.StartupReplyTimeout, 2*time.Second)
	orDefault(&o.StartupCatchUpTimeout, 10*time.Second)
	orDefault(&o.MaxPushBytes, 4<<10)
	orDefault(&o.MaxHistoryBytes, 1<<20)
	orDefault(&o.MaxHistoryEntries, 64)
	orDefault(&o.ReplyBurstBytes, 3<<20)
	orDefault(&o.ReplyBytesPerSecond, 2<<20)
	orDefault(&o.LargeReplyBytes, 16<<10)
	return o
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}
