package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
)

// ChatLoad is a number of chats at a time on one model.
type ChatLoad struct {
	Model         string
	Concurrency   int // at a time
	TurnsPerChat  int // of each
	MaxTokens     int
	MeanThinkTime time.Duration // mean, between turns
}

// BookingLoad is a number of callers that book one after the other.
type BookingLoad struct {
	Path          string
	Callers       int
	MeanThinkTime time.Duration // mean, between bookings
}

// Load is the traffic of a run.
type Load struct {
	Clients  []*Client // one a workspace, taken in turn
	Chats    []ChatLoad
	Bookings BookingLoad
	Seed     uint64
}

// Run sends the traffic until ctx ends, lets what is in progress end and returns.
func (l Load) Run(ctx context.Context, chats, bookings *Results) {
	var wg sync.WaitGroup
	n := 0
	caller := func() (*Client, *rand.Rand) {
		n++
		return l.Clients[n%len(l.Clients)], rand.New(rand.NewPCG(l.Seed, uint64(n)))
	}
	for _, cl := range l.Chats {
		for range cl.Concurrency {
			c, rng := caller()
			wg.Go(func() { cl.run(ctx, c, rng, chats) })
		}
	}
	for i := range l.Bookings.Callers {
		c, rng := caller()
		wg.Go(func() { l.Bookings.run(ctx, c, rng, bookings, i) })
	}
	wg.Wait()
}

func (l ChatLoad) run(ctx context.Context, c *Client, rng *rand.Rand, r *Results) {
	ctxtime.Sleep(ctx, randomPause(rng, l.MeanThinkTime))
	for ctx.Err() == nil {
		chat := NewChat(c, r, l.Model, l.MaxTokens)
		for t := 0; t < l.TurnsPerChat && ctx.Err() == nil; t++ {
			if !chat.Turn(context.WithoutCancel(ctx), prompt(rng, t)) {
				break
			}
			ctxtime.Sleep(ctx, randomPause(rng, l.MeanThinkTime))
		}
	}
}

func (l BookingLoad) run(ctx context.Context, c *Client, rng *rand.Rand, r *Results, caller int) {
	b := NewBooker(c, r, l.Path)
	for i := 0; ctx.Err() == nil; i++ {
		b.Book(context.WithoutCancel(ctx), fmt.Sprintf("pad-%d-%d", caller, i))
		ctxtime.Sleep(ctx, randomPause(rng, l.MeanThinkTime))
	}
}

// randomPause spreads pauses between half and one and a half of the mean.
func randomPause(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

const historyLines = 30 // of a chat's first message

// prompt returns the user's message of a turn. The first one carries a long history.
func prompt(rng *rand.Rand, turn int) string {
	if turn > 0 {
		return fmt.Sprintf("And pad %d, is it free on day %d?", rng.IntN(1000), rng.IntN(30))
	}
	var b strings.Builder
	for i := range historyLines {
		fmt.Fprintf(&b, "Entry %d: gate %d, truck %08x, gravel %d t. ", i, rng.IntN(9), rng.Uint32(), rng.IntN(40))
	}
	return b.String()
}
