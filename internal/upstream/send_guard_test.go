package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

func TestSendGuardIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g sendGuard
		var finished, started bool
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"start", "revert", "finish"}).Draw(t, "step") {
			case "start":
				if g.start() == nil {
					if finished && !started {
						t.Fatal("a byte was allowed after the attempt was reported as not sent")
					}
					started = true
				}
			case "revert":
				if !finished {
					g.revert()
					started = false
				}
			case "finish":
				state := g.finish()
				if (state == sendStarted) != started {
					t.Fatalf("state %d, started %v", state, started)
				}
				finished = true
			}
		}
	})
}

// TestLeaseThatExpiresWhileDialling checks that no byte is sent if the lease expires during the dial.
func TestLeaseThatExpiresWhileDialling(t *testing.T) {
	for name, tc := range map[string]struct {
		dialTime time.Duration
		sent     bool
	}{"in time": {time.Second, true}, "late": {time.Second + 1, false}} {
		synctest.Test(t, func(t *testing.T) {
			received := 0
			s := &fakeServer{serve: func(c net.Conn) {
				n, _ := io.ReadFull(c, make([]byte, 1))
				received += n
			}}
			cfg := DefaultConfig()
			cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				time.Sleep(tc.dialTime)
				return s.dial(ctx, network, addr)
			}
			d := serviceDispatch
			d.NotAfter = time.Now().Add(time.Second)
			ev := run(New(cfg), d, serviceCall, &recordingSink{})
			s.wg.Wait()
			got, notSent := ev.(core.AttemptNotSent)
			if notSent == tc.sent || (received > 0) != tc.sent {
				t.Errorf("%s: %+v, %d bytes received", name, ev, received)
			}
			if notSent && got.Cause != core.CauseLeaseExpired {
				t.Errorf("%s: cause %d", name, got.Cause)
			}
		})
	}
}

// TestCancelWhileDialling checks that an attempt cancelled during the dial ends as not sent,
// and that nothing is written to the connection that is established afterwards.
func TestCancelWhileDialling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		s := &fakeServer{serve: func(c net.Conn) {
			n, _ := io.ReadFull(c, make([]byte, 1))
			received += n
		}}
		cfg := DefaultConfig()
		cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(time.Second) // ignores the cancellation
			return s.dial(ctx, network, addr)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(time.Second/2, func() { cancel(ErrCancelled) })
		ev := New(cfg).Run(ctx, serviceDispatch, serviceCall, &recordingSink{}, func(core.AttemptStarted) {})
		synctest.Wait()
		time.Sleep(time.Minute)
		s.wg.Wait()
		if got, ok := ev.(core.AttemptNotSent); !ok || got.Cause != core.CauseCancelled || received != 0 {
			t.Errorf("%+v, %d bytes received", ev, received)
		}
	})
}
