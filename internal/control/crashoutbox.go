package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// minCrashNewsInterval is the minimum time between two messages with news to each peer.
	minCrashNewsInterval = 20 * time.Millisecond
	// maxForwardsPerSecond bounds the messages of other gateways that an aggregator sends on to each recipient.
	maxForwardsPerSecond = 100
	// crashLogInterval is the minimum time between two log lines about messages that are not sent, or not accepted.
	crashLogInterval = time.Second
	// crashNewsBytes bounds the encoded size of a message's content. Some bytes of a datagram remain for the frame.
	crashNewsBytes = 900
	// Upper bounds of the encoded sizes of a CrashEnd without requests, and of the other parts.
	crashEndBytes, brokenRequestBytes, datedRequestBytes, processBytes, traitBytes, datedTraitBytes = 40, 32, 22, 22, 12, 24
)

// crashOutbox holds news for other gateways. Each is sent twice, because messages may be lost.
type crashOutbox struct {
	fresh, repeat crashItems
	flushedAt     boottime.Instant
	syncedAt      boottime.Instant
	forwardsSince boottime.Instant
	forwards      int // messages of other gateways sent on since then, and replies to their questions
	askedAt       boottime.Instant
	peerAskedAt   boottime.Instant // the same, of a peer with an unknown key
	asks          int              // for the evidence of peers
	answered      bool             // a peer has sent it
	keyAt         boottime.Instant // when this process first had a key to ask with; 0: not yet
	strangeKey    bool             // a peer has signed with a key that this process does not hold

	sequence         uint64 // of the last message
	unsent, rejected logLimit
}

// logLimit allows one log line per crashLogInterval.
type logLimit struct{ last boottime.Instant }

func (l *logLimit) allow(now boottime.Instant) bool {
	if l.last != 0 && now.Sub(l.last) < crashLogInterval {
		return false
	}
	l.last = now
	return true
}

// crashItems are news whose ages are given as times.
type crashItems struct {
	ends      []crasher.End
	cleared   []crasher.Exoneration
	refuted   []liveProcess
	trials    []wire.CrashTrial
	blocked   []blockedRequest
	completed []crasher.TraitCompletion
}

// blockedRequest is a request that is blocked from a time until another one.
type blockedRequest struct {
	request      crasher.Fingerprint
	began, until boottime.Instant
}

// liveProcess is a process that showed a sign of life at a time.
type liveProcess struct {
	crasher.Process
	at boottime.Instant
}

func (o *crashOutbox) addEnd(e crasher.End) { o.fresh.ends = append(o.fresh.ends, e) }

func (o *crashOutbox) addCleared(c crasher.Exoneration) {
	o.fresh.cleared = append(o.fresh.cleared, c)
}

func (o *crashOutbox) addTrial(f crasher.Fingerprint, endpoint uint32) {
	o.fresh.trials = append(o.fresh.trials, wire.CrashTrial{Request: uint64(f), Endpoint: endpoint})
}

func (o *crashOutbox) addRefuted(p crasher.Process, aliveAt boottime.Instant) {
	o.fresh.refuted = append(o.fresh.refuted, liveProcess{p, aliveAt})
}

func (o *crashOutbox) addBlocked(began boottime.Instant, f crasher.Fingerprint, until boottime.Instant) {
	o.fresh.blocked = append(o.fresh.blocked, blockedRequest{f, began, until})
}

func (i *crashItems) empty() bool {
	return len(i.ends)+len(i.cleared)+len(i.refuted)+len(i.trials)+len(i.blocked)+len(i.completed) == 0
}

// flushCrashes sends the news that has not been sent, if the last message is old enough, and the news of that message again.
func (s *State) flushCrashes(now boottime.Instant) {
	o := &s.crashes.outbox
	s.queueCompletions(now)
	if o.fresh.empty() && o.repeat.empty() || now.Sub(o.flushedAt) < minCrashNewsInterval {
		return
	}
	o.flushedAt = now
	items := o.fresh
	items.ends = append(items.ends, o.repeat.ends...)
	items.cleared = append(items.cleared, o.repeat.cleared...)
	items.refuted = append(items.refuted, o.repeat.refuted...)
	items.blocked = append(items.blocked, o.repeat.blocked...)
	items.completed = append(items.completed, o.repeat.completed...)
	o.fresh, o.repeat = crashItems{}, o.fresh
	s.sendCrashNews(now, s.mesh.NewsRecipients(now, s.opts.Self.ID), items.messages(now))
}

// messages returns the items in messages that each fit a datagram.
func (i *crashItems) messages(now boottime.Instant) []wire.CrashNews {
	b := crashNewsBuilder{}
	for _, t := range i.trials {
		b.reserve(datedRequestBytes)
		b.current.Trials = append(b.current.Trials, t)
	}
	for _, r := range i.blocked {
		b.reserve(datedRequestBytes)
		b.current.Blocked = append(b.current.Blocked, wire.BlockedRequest{Request: uint64(r.request), AgeMS: ageMS(now, r.began), LeftMS: ageMS(r.until, now)})
	}
	for _, c := range i.completed {
		b.reserve(datedTraitBytes)
		b.current.Completed = append(b.current.Completed, wire.CompletedTrait{Trait: encodeTrait(c.Trait), Version: c.Version, AgeMS: ageMS(now, c.At)})
	}
	for _, e := range i.ends {
		b.addEnd(now, e)
	}
	for _, c := range i.cleared {
		b.reserve(datedRequestBytes)
		b.current.Cleared = append(b.current.Cleared, wire.ClearedRequest{Request: uint64(c.Request), Version: c.Version, AgeMS: ageMS(now, c.At)})
	}
	for _, p := range i.refuted {
		b.reserve(processBytes)
		process := wire.EndpointProcess{Endpoint: p.Endpoint, Incarnation: p.Incarnation}
		b.current.Refuted = append(b.current.Refuted, wire.LiveProcess{Process: process, AgeMS: ageMS(now, p.at)})
	}
	return b.finish()
}

// crashNewsBuilder distributes news over messages.
type crashNewsBuilder struct {
	done    []wire.CrashNews
	current wire.CrashNews
	bytes   int // of current, at most
}

// reserve begins a new message if an item does not fit the current one.
func (b *crashNewsBuilder) reserve(bytes int) {
	if b.bytes+bytes > crashNewsBytes {
		b.done = append(b.done, b.current)
		b.current, b.bytes = wire.CrashNews{}, 0
	}
	b.bytes += bytes
}

func (b *crashNewsBuilder) addEnd(now boottime.Instant, e crasher.End) {
	head := wire.CrashEnd{
		Process: wire.EndpointProcess{Endpoint: e.Endpoint, Incarnation: e.Incarnation},
		Service: e.Service, Version: e.Version, AgeMS: ageMS(now, e.At), Cause: encodeTraits(e.Cause),
	}
	headBytes := crashEndBytes + traitBytes*len(e.Cause)
	b.reserve(headBytes)
	b.current.Ends = append(b.current.Ends, head)
	for _, r := range e.Broken {
		size := brokenRequestBytes + traitBytes*len(r.Traits)
		if b.bytes+size > crashNewsBytes {
			b.reserve(crashNewsBytes)
			b.bytes = headBytes
			b.current.Ends = append(b.current.Ends, head)
		}
		b.bytes += size
		last := &b.current.Ends[len(b.current.Ends)-1]
		last.Broken = append(last.Broken, wire.BrokenRequest{Request: uint64(r.Request), Progress: r.Progress, RanMS: uint32(r.Ran / time.Millisecond),
			Caller: uint32(r.Caller), Traits: encodeTraits(r.Traits), Events: r.Events})
	}
}

func (b *crashNewsBuilder) finish() []wire.CrashNews {
	if b.bytes > 0 {
		b.done = append(b.done, b.current)
	}
	return b.done
}

func ageMS(now, at boottime.Instant) uint32 { return uint32(max(now.Sub(at), 0) / time.Millisecond) }

// mayForward counts a message that is sent on, and reports whether the limit allows it.
func (o *crashOutbox) mayForward(now boottime.Instant) bool {
	if now.Sub(o.forwardsSince) >= time.Second {
		o.forwardsSince, o.forwards = now, 0
	}
	o.forwards++
	return o.forwards <= maxForwardsPerSecond
}
