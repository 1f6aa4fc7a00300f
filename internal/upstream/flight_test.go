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
		var f flight
		var ended, handed bool
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"begin", "revert", "end"}).Draw(t, "step") {
			case "begin":
				if f.begin() == nil {
					if ended && !handed {
						t.Fatal("a byte was allowed after the attempt was reported as not sent")
					}
					handed = true
				}
			case "revert":
				if !ended {
					f.revert()
					handed = false
				}
			case "end":
				state := f.end()
				if (state == flightHanded) != handed {
					t.Fatalf("state %d, handed %v", state, handed)
				}
				ended = true
			}
		}
	})
}

// TestLeaseThatExpiresWhileDialling must not reach the endpoint.
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
			ev := run(New(cfg), d, serviceCall, &recorder{})
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

// TestCancelWhileDialling ends the attempt as not sent; the connection that is made
// afterwards must stay empty.
func TestCancelWhileDialling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		s := &fakeServer{serve: func(c net.Conn) {
			n, _ := io.ReadFull(c, make([]byte, 1))
			received += n
		}}
		cfg := DefaultConfig()
		cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(time.Second) // does not notice the cancellation
			return s.dial(ctx, network, addr)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(time.Second/2, func() { cancel(ErrCancelled) })
		ev := New(cfg).Run(ctx, serviceDispatch, serviceCall, &recorder{}, func(core.AttemptStarted) {})
		synctest.Wait()
		time.Sleep(time.Minute)
		s.wg.Wait()
		if got, ok := ev.(core.AttemptNotSent); !ok || got.Cause != core.CauseCancelled || received != 0 {
			t.Errorf("%+v, %d bytes received", ev, received)
		}
	})
}
