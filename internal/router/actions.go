package router

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/callers"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/peering"
	"github.com/dandelionvane/dandelionvane/internal/platform"
)

// actionExecutor executes the core's actions with the servers and clients of the process.
type actionExecutor struct {
	peers    *peering.Transport
	callers  *callers.Server
	platform *platform.Client
	pollers  *pollers
	stopOnce sync.Once
	stopped  chan struct{} // closed when the core has completed a planned stop
}

// Execute implements executor.
func (x *actionExecutor) Execute(a core.Action) {
	switch a := a.(type) {
	case core.Send:
		x.peers.Send(a.To, a.Addr, a.Frame)
	case core.Dispatch:
		x.callers.Dispatch(a)
	case core.CancelAttempt:
		x.callers.CancelAttempt(a)
	case core.Finish:
		x.callers.Finish(a)
	case core.TicketReply:
		x.callers.IssueTickets(a)
	case core.WatchPlatform:
		x.platform.Watch(a.Enable)
	case core.PollEndpoint:
		x.pollers.apply(a)
	case core.SetReady:
		x.callers.SetReady(a.Ready)
	case core.Stopped:
		x.stopOnce.Do(func() { close(x.stopped) })
	case core.Log:
		event.LogText(a.Event, a.Detail)
	default:
		panic(errors.Errorf("router: unknown action %T", a))
	}
}
