// Package backlog keeps the outstanding work and the speed of endpoints: the prefill time that this process's attempts
// still wait for, the peers' sums of the same, and the latest speed that an endpoint has reported to any gateway.
//
// It has no I/O, clock or goroutines; the time is passed in. Endpoints are named by their short IDs, the low 32 bits of
// fleet.Hash of their IDs. The load that it addresses: requests of very different cost, at endpoints whose speed
// changes from one half second to the next. A speed is used only to compare endpoints and excludes none.
package backlog

import (
	"maps"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// UsualPercent is the speed of an endpoint at which work takes as long as usual.
	UsualPercent = 100
	// usualRange is the deviation from UsualPercent up to which a speed counts as usual for other gateways. It matters less
	// than the errors of estimates, and endpoints whose speed varies a little all the time would otherwise always be reported.
	usualRange = 10
	// minPercent and maxPercent bound a reported speed, so that a false report cannot make an endpoint look arbitrarily
	// fast or slow.
	minPercent = 25
	maxPercent = 1000
	// MaxSpeedAge is the age up to which a speed is sent to other gateways. Endpoints change their speed about every half
	// second, and a speed's deviation from the usual counts half as much after each 400 ms.
	MaxSpeedAge = time.Second
	// speedTTL is the age up to which a speed is known. After eight times 400 ms its deviation counts less than 1 in 200.
	speedTTL = 8 * 400 * time.Millisecond
	// MaxReturnAge is the age up to which a return to the usual speed is sent to other gateways. It takes up to 600 ms to
	// reach all gateways of a large fleet.
	MaxReturnAge = 600 * time.Millisecond
	// ownPrecedence is how much later than this process's own report a peer's must seem to replace it. The age of a peer's
	// report does not include the transit of messages, so that this process's own report, returned by a peer, seems later
	// than it was.
	ownPrecedence = 100 * time.Millisecond
	// minSentRead is the pending prefill time at an endpoint from which it is sent to other gateways. It is below what
	// callers notice.
	minSentRead = 10 * time.Millisecond
	// peerReadTTL is how long the peers' sums count.
	peerReadTTL = 3 * time.Second
	// maxRead bounds the estimate of one attempt.
	maxRead = time.Minute
	// maxEndpoints and maxAttempts bound the tables. The largest fleet has 600 endpoints.
	maxEndpoints = 4096
	maxAttempts  = 1 << 16
)

// Speed is how long work takes at an endpoint, in percent of the usual, and when the endpoint reported it.
type Speed struct {
	Percent uint16
	At      boottime.Instant
}

// Usual reports whether other gateways need not know the speed unless it was another one just before.
func (s Speed) Usual() bool {
	return s.Percent >= UsualPercent-usualRange && s.Percent <= UsualPercent+usualRange
}

// Sent reports whether a speed is recent enough to be sent to other gateways.
func (s Speed) Sent(now boottime.Instant) bool {
	if s.Usual() {
		return now.Sub(s.At) <= MaxReturnAge
	}
	return now.Sub(s.At) <= MaxSpeedAge
}

// State is what is known about an endpoint.
type State struct {
	PendingRead time.Duration // prefill time of the whole fleet's attempts that have not got their first event
	Speed       float64       // 1 is usual, 2.5 is 2.5 times as long; 1 if unknown
	SpeedAge    time.Duration
	Known       bool // a speed is known
}

// pendingRead is the prompt of an attempt that has not got its first event.
type pendingRead struct {
	endpoint uint32
	read     time.Duration
}

// endpointSpeed is the latest speed of an endpoint.
type endpointSpeed struct {
	Speed
	own        bool             // reported to this process
	returnedAt boottime.Instant // when the speed returned to the usual with a report to this process; 0: it did not
}

// Tracker keeps the state of all endpoints. It is not safe for concurrent use.
type Tracker struct {
	attempts   map[any]pendingRead
	own        map[uint32]time.Duration // sums of attempts by endpoint
	peers      map[uint32]time.Duration
	peersAt    boottime.Instant // when peers was set
	speeds     map[uint32]endpointSpeed
	lastExpiry boottime.Instant // of speeds
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{attempts: map[any]pendingRead{}, own: map[uint32]time.Duration{}, speeds: map[uint32]endpointSpeed{}}
}

// Clone returns an independent copy.
func (t *Tracker) Clone() *Tracker {
	c := *t
	c.attempts, c.own, c.speeds = maps.Clone(t.attempts), maps.Clone(t.own), maps.Clone(t.speeds)
	return &c // the peers' sums are replaced, never changed
}

// Sent records that an attempt was sent to an endpoint, which is expected to need the time read to prefill its prompt. The
// attempt is any comparable value that identifies it.
func (t *Tracker) Sent(_ boottime.Instant, endpoint uint32, attempt any, read time.Duration) {
	if _, sent := t.attempts[attempt]; sent || read <= 0 || len(t.attempts) >= maxAttempts {
		return
	}
	p := pendingRead{endpoint, min(read, maxRead)}
	t.attempts[attempt] = p
	t.own[endpoint] += p.read
}

// Begun records that the first event of an attempt has arrived, so that its prompt is no longer pending.
func (t *Tracker) Begun(_ boottime.Instant, attempt any) { t.remove(attempt) }

// Ended records the end of an attempt. Attempts that are not known are ignored.
func (t *Tracker) Ended(_ boottime.Instant, attempt any) { t.remove(attempt) }

func (t *Tracker) remove(attempt any) {
	p, sent := t.attempts[attempt]
	if !sent {
		return
	}
	delete(t.attempts, attempt)
	if t.own[p.endpoint] -= p.read; t.own[p.endpoint] <= 0 {
		delete(t.own, p.endpoint)
	}
}

// Endpoint returns the state of an endpoint.
func (t *Tracker) Endpoint(now boottime.Instant, endpoint uint32) State {
	s := State{PendingRead: t.own[endpoint], Speed: 1}
	if t.peersAt != 0 && now.Sub(t.peersAt) <= peerReadTTL {
		s.PendingRead += t.peers[endpoint]
	}
	if speed, known := t.speeds[endpoint]; known && now.Sub(speed.At) <= speedTTL {
		s.Speed, s.SpeedAge, s.Known = float64(speed.Percent)/UsualPercent, max(now.Sub(speed.At), 0), true
	}
	return s
}

// PeerReads replaces the peers' sums of pending prefill times by endpoint.
func (t *Tracker) PeerReads(now boottime.Instant, reads map[uint32]time.Duration) {
	t.peers, t.peersAt = reads, now
}

// OwnReads returns the pending prefill times of this process's attempts that are sent to other gateways.
func (t *Tracker) OwnReads() map[uint32]time.Duration {
	var out map[uint32]time.Duration
	for endpoint, read := range t.own {
		if read < minSentRead {
			continue
		}
		if out == nil {
			out = map[uint32]time.Duration{}
		}
		out[endpoint] = read
	}
	return out
}
