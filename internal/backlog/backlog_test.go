package backlog

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	start = boottime.Instant(time.Hour)
	e1    = uint32(1)
)

func ms(n int) boottime.Instant { return start.Add(time.Duration(n) * time.Millisecond) }

// TestPendingReads: an attempt's prompt is pending from the send to the first event or the end, whichever is first. It guards
// against prompts that stay pending, or are subtracted twice.
func TestPendingReads(t *testing.T) {
	tr := New()
	check := func(now boottime.Instant, want time.Duration) {
		t.Helper()
		if got := tr.Endpoint(now, e1).PendingRead; got != want {
			t.Errorf("%v pending, want %v", got, want)
		}
	}
	tr.Sent(ms(0), e1, "a", 120*time.Millisecond)
	tr.Sent(ms(0), e1, "a", 120*time.Millisecond) // the same attempt
	tr.Sent(ms(1), e1, "b", 5*time.Millisecond)
	tr.Sent(ms(1), 2, "c", time.Second)
	check(ms(2), 125*time.Millisecond)
	tr.PeerReads(ms(2), map[uint32]time.Duration{e1: 40 * time.Millisecond})
	check(ms(2), 165*time.Millisecond)
	tr.Begun(ms(3), "a")
	tr.Begun(ms(3), "a")
	tr.Ended(ms(4), "a")
	check(ms(4), 45*time.Millisecond)
	if own := tr.OwnReads(); len(own) != 1 || own[2] != time.Second {
		t.Errorf("%v is sent, want only reads above 10 ms", own)
	}
	tr.Ended(ms(5), "b")
	tr.Ended(ms(5), "unknown")
	check(ms(5), 40*time.Millisecond)
	check(ms(5000), 0) // peers have been silent for 5 s
}

// TestSpeedAges: a speed is known with its age, and forgotten once it counts for nothing.
func TestSpeedAges(t *testing.T) {
	tr := New()
	if s := tr.Endpoint(ms(0), e1); s.Known || s.Speed != 1 {
		t.Errorf("without a report: %+v", s)
	}
	if !tr.ReportSpeed(ms(0), e1, 250) {
		t.Error("peers are not informed of 250 percent")
	}
	if s := tr.Endpoint(ms(700), e1); !s.Known || s.Speed != 2.5 || s.SpeedAge != 700*time.Millisecond {
		t.Errorf("after 700 ms: %+v", s)
	}
	if s := tr.Endpoint(ms(5000), e1); s.Known || s.Speed != 1 {
		t.Errorf("after 5 s: %+v", s)
	}
}

// TestNewestSpeedCounts: reports of other gateways arrive in any order; the newest counts.
func TestNewestSpeedCounts(t *testing.T) {
	tr := New()
	tr.PeerSpeed(ms(1000), e1, 250, 100*time.Millisecond)
	tr.PeerSpeed(ms(1010), e1, 100, 300*time.Millisecond)
	if s := tr.Endpoint(ms(1010), e1); s.Speed != 2.5 {
		t.Errorf("an older report replaced a newer one: %+v", s)
	}
	tr.ReportSpeed(ms(1020), e1, 100)
	// The same slowness as seen by a third gateway, whose message was under way for 50 ms.
	tr.PeerSpeed(ms(1100), e1, 250, 50*time.Millisecond)
	if s := tr.Endpoint(ms(1100), e1); s.Speed != 1 {
		t.Errorf("a report in transit replaced this process's own: %+v", s)
	}
	tr.PeerSpeed(ms(1300), e1, 250, 50*time.Millisecond)
	if s := tr.Endpoint(ms(1300), e1); s.Speed != 2.5 || s.SpeedAge != 50*time.Millisecond {
		t.Errorf("a newer report did not replace this process's own: %+v", s)
	}
}

// TestWhatIsSent: only speeds that differ from the usual, or have just returned to it, are sent. It guards against traffic for
// endpoints that report the usual speed all the time.
func TestWhatIsSent(t *testing.T) {
	tr := New()
	for _, percent := range []int{100, 90, 110, 97} {
		if tr.ReportSpeed(ms(0), e1, percent) || tr.OwnSpeeds(ms(0)) != nil {
			t.Errorf("%d percent is sent", percent)
		}
	}
	tr.ReportSpeed(ms(100), e1, 250)
	if s := tr.OwnSpeeds(ms(600))[e1]; s != (Speed{250, ms(100)}) {
		t.Errorf("sent %+v", s)
	}
	if s := tr.OwnSpeeds(ms(1200)); s != nil {
		t.Errorf("%+v is sent after 1.1 s", s)
	}
	tr.ReportSpeed(ms(1300), e1, 250)
	if !tr.ReportSpeed(ms(1400), e1, 100) || tr.OwnSpeeds(ms(1500))[e1].Percent != 100 {
		t.Error("the return to the usual speed is not sent")
	}
	tr.ReportSpeed(ms(1800), e1, 100)
	if s := tr.OwnSpeeds(ms(1800))[e1]; s != (Speed{100, ms(1400)}) {
		t.Errorf("sent %+v, the speed returned at 1,400", s)
	}
	if tr.ReportSpeed(ms(2010), e1, 100) || tr.OwnSpeeds(ms(2010)) != nil {
		t.Error("the return to the usual speed is sent for more than 600 ms")
	}
	tr.PeerSpeed(ms(2500), e1, 400, 10*time.Millisecond)
	if s := tr.OwnSpeeds(ms(2500)); s != nil {
		t.Errorf("%+v of a peer is sent as this process's own", s)
	}
	if !tr.ReportSpeed(ms(2600), e1, 100) || tr.OwnSpeeds(ms(2600))[e1].Percent != 100 {
		t.Error("the end of a peer's report is not sent")
	}
}

// TestAbsurdReports plays random reports. The speed stays from 0.25 to 10, ages and pending reads are never negative, and the
// tables are bounded.
func TestAbsurdReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			endpoint := rapid.Uint32Range(0, 3).Draw(t, "endpoint")
			percent := rapid.OneOf(rapid.Int(), rapid.IntRange(-1, 12_000)).Draw(t, "percent")
			duration := time.Duration(rapid.OneOf(rapid.Int64(), rapid.Int64Range(0, int64(5*time.Second))).Draw(t, "duration"))
			attempt := rapid.IntRange(0, 5).Draw(t, "attempt")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				tr.ReportSpeed(now, endpoint, percent)
			case 1:
				tr.PeerSpeed(now, endpoint, percent, duration)
			case 2:
				tr.Sent(now, endpoint, attempt, duration)
			case 3:
				tr.Begun(now, attempt)
			case 4:
				tr.Ended(now, attempt)
			}
			for e := range uint32(4) {
				s := tr.Endpoint(now, e)
				if s.Speed < 0.25 || s.Speed > 10 || s.SpeedAge < 0 || s.PendingRead < 0 || !s.Known && s.Speed != 1 {
					t.Fatalf("%+v", s)
				}
			}
		}
		for attempt := range 6 {
			tr.Ended(now, attempt)
		}
		if len(tr.own)+len(tr.attempts) != 0 {
			t.Fatalf("%v is pending without an attempt", tr.own)
		}
	})
	tr := New()
	for n := range uint32(3 * maxEndpoints) {
		tr.ReportSpeed(start, n, 250)
		tr.Sent(start, n, n, time.Second)
	}
	for n := range 2 * maxAttempts {
		tr.Sent(start, e1, n, time.Second)
	}
	if len(tr.speeds) > maxEndpoints || len(tr.attempts) > maxAttempts {
		t.Errorf("%d speeds, %d attempts", len(tr.speeds), len(tr.attempts))
	}
	tr.ReportSpeed(ms(10_000), 1<<20, 250)
	if len(tr.speeds) != 1 {
		t.Errorf("%d speeds are kept for 10 s", len(tr.speeds))
	}
}
