package coretest

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
)

// Load generates the requests of recurring chats as a Poisson process and sends them through
// random ready routers. An arrival is dropped if no router is ready or if 21 randomly drawn
// chats are all busy.
type Load struct {
	Rate      func(t time.Duration) float64    // total requests/s at t since the start
	Workspace func(w *World) fleet.WorkspaceID // workspace of a new chat; nil: uniformly random
	Chats     int                              // number of chats
	NoHints   bool                             // callers do not return the placement hint
	PickNode  func(w *World) *Node             // nil: any ready router

	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	Reasons  map[core.Reason]int

	w         *World
	startedAt time.Time
	end       time.Time
	chats     []chat
}

type chat struct {
	ws       fleet.WorkspaceID
	model    fleet.ModelID
	affinity uint64
	hint     string
	busy     bool
}

// StartLoad starts l, which sends requests for the duration d.
func (w *World) StartLoad(l *Load, d time.Duration) {
	l.w = w
	l.startedAt, l.end = w.Now(), w.Now().Add(d)
	l.Reasons = map[core.Reason]int{}
	l.chats = make([]chat, l.Chats)
	for i := range l.chats {
		l.chats[i] = l.newChat()
	}
	w.After(0, l.sendNext)
}

func (l *Load) newChat() chat {
	w := l.w
	ws := WorkspaceID(w.rng.IntN(len(w.Platform.config.Workspaces)))
	if l.Workspace != nil {
		ws = l.Workspace(w)
	}
	models := w.Platform.config.Plans["standard"].Models
	return chat{ws: ws, model: models[w.rng.IntN(len(models))], affinity: w.rng.Uint64()}
}

func (l *Load) sendNext() {
	if !l.w.Now().Before(l.end) {
		return
	}
	rate := l.Rate(l.w.Now().Sub(l.startedAt))
	if rate > 0 {
		l.send()
	}
	gap := time.Duration(-math.Log(1-l.w.rng.Float64()) / math.Max(rate, 0.1) * float64(time.Second))
	l.w.After(gap, l.sendNext)
}

func (l *Load) send() {
	i := l.w.rng.IntN(len(l.chats))
	for tries := 0; l.chats[i].busy && tries < 20; tries++ {
		i = l.w.rng.IntN(len(l.chats))
	}
	n := l.node()
	if n == nil || l.chats[i].busy {
		return
	}
	c := &l.chats[i]
	c.busy = true
	l.Sent++
	req := core.CallerRequest{
		APIKeyHash:   KeyHash(c.ws),
		Model:        c.model,
		Idempotent:   true,
		Affinity:     c.affinity,
		PromptTokens: 1000,
		MaxTokens:    100,
	}
	if !l.NoHints {
		req.Hint = c.hint
	}
	req.ID = l.w.NextID()
	l.w.Request(n, req, func(f core.Finish) { l.done(c, req.ID, f) })
}

func (l *Load) node() *Node {
	if l.PickNode != nil {
		return l.PickNode(l.w)
	}
	start := l.w.rng.IntN(len(l.w.Nodes))
	for i := range l.w.Nodes {
		n := l.w.Nodes[(start+i)%len(l.w.Nodes)]
		if n.up && n.Ready && !n.paused {
			return n
		}
	}
	return nil
}

func (l *Load) done(c *chat, id fleet.RequestID, f core.Finish) {
	c.busy = false
	switch f.Outcome {
	case core.Answered:
		l.Answered++
		c.hint = l.w.hintOf(id)
	case core.NotRun:
		l.NotRun++
		l.Reasons[f.Reason]++
	default:
		l.Unknown++
		l.Reasons[f.Reason]++
	}
}

// hintOf returns the placement hint that the response to a request carried.
func (w *World) hintOf(id fleet.RequestID) string {
	e := w.servedBy[id]
	delete(w.servedBy, id)
	if e == "" {
		return ""
	}
	return placement.Hint{Endpoint: e, Issued: w.Now().Unix()}.Format()
}
