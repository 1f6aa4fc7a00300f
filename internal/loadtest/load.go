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

// ChatLoad is the traffic of concurrent chats with one model.
type ChatLoad struct {
	Model         string
	Concurrency   int // chats in progress at the same time
	TurnsPerChat  int
	MaxTokens     int           // per response
	MeanThinkTime time.Duration // between two turns of a chat
}

// BookingLoad is the traffic of concurrent callers, each of which makes one booking after the other.
type BookingLoad struct {
	Path          string
	Concurrency   int
	MeanThinkTime time.Duration // between two bookings of a caller
}

// Load is the traffic of a run.
type Load struct {
	Clients  []*Client // one per workspace, assigned round-robin to chats and callers
	Chats    []ChatLoad
	Bookings BookingLoad
	Seed     uint64
}

// Run sends the traffic until ctx is done, then waits for the requests in progress and returns.
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
	for i := range l.Bookings.Concurrency {
		c, rng := caller()
		wg.Go(func() { l.Bookings.run(ctx, c, rng, bookings, i) })
	}
	wg.Wait()
}

func (l ChatLoad) run(ctx context.Context, c *Client, rng *rand.Rand, r *Results) {
	ctxtime.Sleep(ctx, randomThinkTime(rng, l.MeanThinkTime))
	for ctx.Err() == nil {
		chat := NewChat(c, r, l.Model, l.MaxTokens)
		for t := 0; t < l.TurnsPerChat && ctx.Err() == nil; t++ {
			if !chat.Turn(context.WithoutCancel(ctx), prompt(rng, t)) {
				break
			}
			ctxtime.Sleep(ctx, randomThinkTime(rng, l.MeanThinkTime))
		}
	}
}

func (l BookingLoad) run(ctx context.Context, c *Client, rng *rand.Rand, r *Results, caller int) {
	b := NewBookingClient(c, r, l.Path)
	for i := 0; ctx.Err() == nil; i++ {
		b.Book(context.WithoutCancel(ctx), fmt.Sprintf("pad-%d-%d", caller, i))
		ctxtime.Sleep(ctx, randomThinkTime(rng, l.MeanThinkTime))
	}
}

// randomThinkTime returns a duration uniformly distributed between 0.5 and 1.5 times the mean.
func randomThinkTime(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

const firstPromptEntries = 30 // history entries in the first message of a chat

// prompt returns the user's message of a turn. The first message contains a long history.
func prompt(rng *rand.Rand, turn int) string {
	if turn > 0 {
		return fmt.Sprintf("And pad %d, is it free on day %d?", rng.IntN(1000), rng.IntN(30))
	}
	var b strings.Builder
	for i := range firstPromptEntries {
		fmt.Fprintf(&b, "Entry %d: gate %d, truck %08x, gravel %d t. ", i, rng.IntN(9), rng.Uint32(), rng.IntN(40))
	}
	return b.String()
}
