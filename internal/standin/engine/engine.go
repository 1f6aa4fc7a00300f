package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/standin"
)

// Engine is a stand-in for a model engine.
type Engine struct {
	*standin.Server
	cfg  Config
	stop context.CancelFunc
	wake chan struct{} // capacity 1: the batch has work

	mu        sync.Mutex
	cache     *prefixCache
	streams   map[string]*stream
	batch     []*stream // running
	queue     []*stream // by priority, then arrival
	coldSince time.Time
	load      []loadSample
	faults    Faults
	stats     Stats
}

// Start runs an engine on addr.
func Start(addr string, cfg Config) (*Engine, error) {
	e := newEngine(cfg)
	srv, err := standin.Listen(addr, e.handler())
	if err != nil {
		return nil, err
	}
	e.Server = srv
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.run(ctx)
	return e, nil
}

func newEngine(cfg Config) *Engine {
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1)}
	e.restart()
	return e
}

// Close stops the engine and breaks all connections.
func (e *Engine) Close() error {
	e.stop()
	return e.Server.Close()
}

// restart forgets all streams and the cache and begins a cold incarnation.
func (e *Engine) restart() {
	for _, s := range e.streams {
		s.end(false)
	}
	e.streams = map[string]*stream{}
	e.batch, e.queue = nil, nil
	e.cache = newPrefixCache(e.cfg.CacheBlocks, e.cfg.DropEveryNthEvent)
	e.coldSince = time.Now()
	e.stats.Incarnation = standin.NextIncarnation(e.stats.Incarnation)
}

// admit takes a request into the batch or the queue, if there is room.
func (e *Engine) admit(s *stream, now time.Time) bool {
	capacity := e.capacity(now)
	if len(e.batch)+len(e.queue) >= capacity+e.cfg.QueueLimit {
		return false
	}
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority < s.priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, s)
	e.streams[s.id] = s
	e.stats.Requests++
	e.countConcurrent(capacity)
	e.fill(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// fill moves queued streams into the batch while there is room.
func (e *Engine) fill(now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < e.capacity(now) {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.cached = e.cache.lookup(s.prompt)
		e.stats.PromptTokens += s.promptTokens()
		e.stats.CachedTokens += s.cached
		e.batch = append(e.batch, s)
	}
	e.sampleLoad(now)
}

// run steps the batch while it has work.
func (e *Engine) run(ctx context.Context) {
	for {
		interval, busy := e.step(time.Now())
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// step generates one token for each stream of the batch.
func (e *Engine) step(now time.Time) (interval time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	for _, s := range e.batch {
		if !e.faults.Frozen {
			e.generate(s, now)
		}
	}
	e.dropEnded(now)
	slower := 1 + e.cfg.Slowdown*float64(max(len(e.batch)-1, 0))
	return time.Duration(float64(e.cfg.TokenInterval) * slower), len(e.batch) > 0
}

func (e *Engine) generate(s *stream, now time.Time) {
	s.produced++
	e.stats.Generated++
	if s.produced < s.total {
		s.notify()
		return
	}
	answer := Message{Role: "assistant", Content: text(s.seed, s.total)}
	e.cache.store(s.prompt+flatten([]Message{answer}), now)
	s.end(true)
}

// dropEnded gives the room of ended streams to queued ones.
func (e *Engine) dropEnded(now time.Time) {
	ended := func(s *stream) bool { return s.ended }
	e.batch = slices.DeleteFunc(e.batch, ended)
	e.queue = slices.DeleteFunc(e.queue, ended)
	e.fill(now)
}

// expire cancels and forgets streams that nobody has followed for the grace time.
func (e *Engine) expire(now time.Time) {
	for id, s := range e.streams {
		if s.readers == 0 && now.Sub(s.idle) >= e.cfg.ReaderGracePeriod {
			e.cancel(s)
			delete(e.streams, id)
		}
	}
	e.dropEnded(now)
}

func (e *Engine) cancel(s *stream) {
	if !s.ended {
		e.stats.Cancelled++
		s.end(false)
	}
}
