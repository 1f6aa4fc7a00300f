package backlog

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// ReportSpeed records the speed that an endpoint reported to this process, in percent of the usual time. It returns whether
// other gateways are to be informed.
func (t *Tracker) ReportSpeed(now boottime.Instant, endpoint uint32, percent int) bool {
	if percent <= 0 {
		return false
	}
	t.set(now, endpoint, Speed{clamp(percent), now}, true)
	_, sent := t.sentSpeed(now, endpoint)
	return sent
}

// PeerSpeed records a speed that an endpoint reported to another gateway some time ago. It is ignored if a later report is
// known.
func (t *Tracker) PeerSpeed(now boottime.Instant, endpoint uint32, percent int, age time.Duration) {
	if percent <= 0 || age < 0 || age > speedTTL {
		return
	}
	at := now.Add(-age)
	known := t.speeds[endpoint]
	if known.own {
		known.At = known.At.Add(ownPrecedence)
	}
	if at > known.At {
		t.set(now, endpoint, Speed{clamp(percent), at}, false)
	}
}

func (t *Tracker) set(now boottime.Instant, endpoint uint32, speed Speed, own bool) {
	before, known := t.speeds[endpoint]
	if !known && len(t.speeds) >= maxEndpoints {
		t.expire(now)
		if len(t.speeds) >= maxEndpoints {
			return
		}
	}
	next := endpointSpeed{Speed: speed, own: own}
	if own && speed.Usual() && known {
		next.returnedAt = before.returnedAt
		if !before.Usual() && now.Sub(before.At) <= speedTTL {
			next.returnedAt = now
		}
	}
	t.speeds[endpoint] = next
}

// expire removes the speeds that are no longer known, at most once in speedTTL.
func (t *Tracker) expire(now boottime.Instant) {
	if t.lastExpiry != 0 && now.Sub(t.lastExpiry) < speedTTL {
		return
	}
	t.lastExpiry = now
	for endpoint, speed := range t.speeds {
		if now.Sub(speed.At) > speedTTL {
			delete(t.speeds, endpoint)
		}
	}
}

// OwnSpeeds returns the speeds that were reported to this process and are sent to other gateways: the latest reports that
// differ from the usual, or have just returned to it.
func (t *Tracker) OwnSpeeds(now boottime.Instant) map[uint32]Speed {
	t.expire(now)
	var out map[uint32]Speed
	for endpoint := range t.speeds {
		speed, sent := t.sentSpeed(now, endpoint)
		if !sent {
			continue
		}
		if out == nil {
			out = map[uint32]Speed{}
		}
		out[endpoint] = speed
	}
	return out
}

func (t *Tracker) sentSpeed(now boottime.Instant, endpoint uint32) (Speed, bool) {
	s := t.speeds[endpoint]
	speed := s.Speed
	if speed.Usual() {
		speed.At = s.returnedAt // later reports of the usual speed tell nothing new
	}
	return speed, s.own && speed.Sent(now)
}

func clamp(percent int) uint16 { return uint16(min(max(percent, minPercent), maxPercent)) }
