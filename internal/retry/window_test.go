package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// TestWindowKeepsTheBound: in every interval of the window's length, the number of retries is
// at most the ratio of the requests in it, and in one slot before it, plus the constant.
func TestWindowKeepsTheBound(t *testing.T) {
	const length, ratio, extra = 10 * time.Second, 0.2, 5.0
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(length)
		now := boottime.Instant(time.Hour)
		var requests, retries []boottime.Instant
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if !w.AllowRetry(now, ratio, extra) {
				continue
			}
			retries = append(retries, now)
			span := length + length/windowSlots
			if n := countWithin(retries, now, length); float64(n) > ratio*float64(countWithin(requests, now, span))+extra {
				t.Fatalf("%d retries for %d requests", n, countWithin(requests, now, span))
			}
		}
	})
}

func countWithin(times []boottime.Instant, now boottime.Instant, span time.Duration) int {
	n := 0
	for _, at := range times {
		if d := now.Sub(at); d >= 0 && d <= span {
			n++
		}
	}
	return n
}

// TestFleetKeepsTheBudget simulates nine routers on which every request fails and is retried as
// often as the budget allows. The fleet as a whole must stay within the budget.
func TestFleetKeepsTheBudget(t *testing.T) {
	const routers, ratio, extra, length = 9, 0.2, 58.0, 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	t.Log("seed 1 2")
	var ws []*Window
	for range routers {
		ws = append(ws, NewWindow(length))
	}
	now := boottime.Instant(time.Hour)
	var requests, retries []boottime.Instant
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(int(16 * time.Millisecond))))
		w := ws[rng.IntN(routers)]
		w.CountRequest(now)
		requests = append(requests, now)
		for w.AllowRetry(now, ratio, extra/routers) {
			retries = append(retries, now)
		}
	}
	if len(retries) < len(requests)/6 {
		t.Errorf("%d retries for %d requests: the budget is not used", len(retries), len(requests))
	}
	for i := 0; i < len(retries); i += 37 {
		end := retries[i]
		n := countWithin(retries[:i+1], end, length)
		if most := ratio*float64(countWithin(requests, end, length+length/windowSlots)) + extra; float64(n) > most {
			t.Fatalf("%d retries in a window, %v are allowed", n, most)
		}
	}
}

// TestReturnedRetriesAreNotCounted: a retry that is returned within the window can be made again, and one that is
// returned later changes no other count.
func TestReturnedRetriesAreNotCounted(t *testing.T) {
	const length = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(length)
		now := boottime.Instant(time.Hour)
		var counted []boottime.Instant
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(counted) > 0 && rapid.Bool().Draw(t, "return") {
				i := rapid.IntRange(0, len(counted)-1).Draw(t, "which")
				w.ReturnRetry(counted[i])
				counted = append(counted[:i], counted[i+1:]...)
			} else if w.AllowRetry(now, 0, 1000) {
				counted = append(counted, now)
			}
			want := 0
			for _, at := range counted {
				if w.slotIndex(at) >= w.slotIndex(now)-windowSlots {
					want++
				}
			}
			if _, got := w.Counts(now); got != want {
				t.Fatalf("%d retries counted, want %d", got, want)
			}
		}
	})
}
