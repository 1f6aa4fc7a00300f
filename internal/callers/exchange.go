package callers

import (
	"context"
	"sync"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// maxPendingCommands is the number of commands that the core can have outstanding for a
// request: one dispatch and one finish.
const maxPendingCommands = 2

// command is an action of the core for one request. Exactly one field is set.
type command struct {
	dispatch *core.Dispatch
	finish   *core.Finish
	tickets  *core.TicketReply
}

// exchange is the command queue of one request in progress: it passes the core's commands to the request's handler.
type exchange struct {
	id       fleet.RequestID
	commands chan command
	goneOnce sync.Once // guards the post of core.CallerGone

	mu             sync.Mutex
	attempt        uint32
	cancel         context.CancelCauseFunc // of the running attempt
	finished       bool                    // the core has finished the request
	cancelledBelow uint64                  // attempts with a lower number are cancelled
}

func newExchange(id fleet.RequestID) *exchange {
	return &exchange{id: id, commands: make(chan command, maxPendingCommands)}
}

// startAttempt returns the context of an attempt. If the core has already cancelled the
// attempt or finished the request, the context is cancelled.
func (x *exchange) startAttempt(attempt uint32) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt = attempt
	x.cancel = cancel
	if x.finished || uint64(attempt) < x.cancelledBelow {
		cancel(upstream.ErrCancelled)
	}
	return ctx, cancel
}

// cancelAttempt cancels an attempt and all earlier ones. An attempt that has not started yet is cancelled when it starts.
func (x *exchange) cancelAttempt(attempt uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelledBelow = max(x.cancelledBelow, uint64(attempt)+1)
	if x.cancel != nil && x.attempt <= attempt {
		x.cancel(upstream.ErrCancelled)
	}
}

// finish cancels the running attempt, so that the final response is not delayed by it. Later attempts are cancelled
// when they start.
func (x *exchange) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	if x.cancel != nil {
		x.cancel(upstream.ErrCancelled)
	}
}

// exchangeTable holds the exchanges of the requests in progress, up to a limit.
type exchangeTable struct {
	mu    sync.Mutex
	limit int
	byID  map[fleet.RequestID]*exchange
}

func newExchangeTable(limit int) *exchangeTable {
	return &exchangeTable{limit: limit, byID: map[fleet.RequestID]*exchange{}}
}

// add registers a new exchange. It returns nil when the table is full.
func (t *exchangeTable) add(id fleet.RequestID) *exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byID) >= t.limit {
		return nil
	}
	x := newExchange(id)
	t.byID[id] = x
	return x
}

func (t *exchangeTable) remove(id fleet.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *exchangeTable) get(id fleet.RequestID) *exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *exchangeTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
