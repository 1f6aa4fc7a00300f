package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options configures a State. Zero values select the defaults.
type Options struct {
	SeedPeers []fleet.InstanceID          // peers to query before an instance list is known
	Usable    func(fleet.InstanceID) bool // reports whether an instance is alive and not leaving; nil: all instances are usable

	PullTimeout               time.Duration // how long to wait for the reply to a pull before trying the next source
	PullDelay                 time.Duration // how long to wait for the push of a change that a peer advertises before pulling it
	LaggingDigestDelay        time.Duration // how long a peer must have lagged before it is sent the local digest
	LaggingDigestInterval     time.Duration // minimum time between two digests of one feed to the same lagging peer
	AntiEntropyInterval       time.Duration // time between two digests to instances of the local data centre
	RemoteAntiEntropyInterval time.Duration // time between two digests of a reader to each other data centre
	StartupQueryInterval      time.Duration // time between two rounds of queries of a starting instance
	ReaderRotation            time.Duration // length of one instance's turn as the rotating reader
	StartupReplyTimeout       time.Duration // how long a starting instance waits for replies before it becomes ready without them
	StartupCatchUpTimeout     time.Duration // how long a starting instance tries to fetch a revision that a peer advertised
	MaxPushBytes              int           // largest change that is pushed in full; for larger ones only the digest is pushed
	MaxHistoryBytes           int           // maximum history of one feed, forward and undo changes together
	MaxHistoryEntries         int           // maximum number of changes in the history of one feed
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
