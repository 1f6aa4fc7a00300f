package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options are the settings of a State. Zero values select the defaults.
type Options struct {
	SeedPeers []fleet.InstanceID          // peers to ask before an instance list is known
	Usable    func(fleet.InstanceID) bool // tells whether an instance is alive and not leaving; nil: all are

	PullTimeout           time.Duration // for the answer to a pull
	PullDelay             time.Duration // for the change of a peer that is ahead to arrive by itself
	PushDelay             time.Duration // for which a peer may be behind before it is pushed the change
	PushInterval          time.Duration // between two pushes of a feed to the same peer that is behind
	ProbeInterval         time.Duration // between content exchanges with instances of the data centre
	RemoteProbeInterval   time.Duration // between a reader's exchanges with each other data centre
	StartupQueryInterval  time.Duration // between rounds of questions of a starting process
	ReaderRotation        time.Duration // for which each instance reads the platform in turn
	StartupReplyTimeout   time.Duration // for answers of peers, before a starting process goes on without them
	StartupCatchUpTimeout time.Duration // for a revision that a peer is known to have
	MaxPushBytes          int           // largest change pushed unasked; of larger ones the peer is told
	MaxHistoryBytes       int           // changes kept of each feed, with what undoes them
	MaxHistoryEntries     int           // changes kept of each feed
	ReplyBurstBytes       int           // burst of large answers to pulls
	ReplyBytesPerSecond   int           // bytes a second of large answers to pulls
	LargeReplyBytes       int           // size from which an answer counts as large
}

func (o Options) withDefaults() Options {
	if o.Usable == nil {
		o.Usable = func(fleet.InstanceID) bool { return true }
	}
	orDefault(&o.PullTimeout, 400*time.Millisecond)
	orDefault(&o.PullDelay, 100*time.Millisecond)
	orDefault(&o.PushDelay, 300*time.Millisecond)
	orDefault(&o.PushInterval, time.Second)
	orDefault(&o.ProbeInterval, 2*time.Second)
	orDefault(&o.RemoteProbeInterval, time.Second)
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
