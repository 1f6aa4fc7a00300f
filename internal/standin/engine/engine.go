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
	wake chan struct{} // signals that the batch has work; capacity 1

	mu            sync.Mutex
	cache         *prefixCache
	streams       map[string]*stream
	batch         []*stream // running
	queue         []*stream // by priority, then by arrival
	coldStartedAt time.Time
	loadSamples   []loadSample
	faults        Faults
	stats         Stats
}

// Start starts an engine on addr.
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

// Close stops the engine and closes all connections.
func (e *Engine) Close() error {
	e.stop()
	return e.Server.Close()
}

// restart discards all streams and the cache, and starts a new, cold incarnation. The caller holds e.mu, or is the
// constructor.
func (e *Engine) restart() {
	for _, s := range e.streams {
		s.finish(false)
	}
	e.streams = map[string]*stream{}
	e.batch, e.queue = nil, nil
	e.cache = newPrefixCache(e.cfg.CacheBlocks, e.cfg.DropEveryNthEvent)
	e.coldStartedAt = time.Now()
	e.stats.Incarnation = standin.NextIncarnation(e.stats.Incarnation)
}

// admit adds a request to the batch or the queue. It returns false if both are full. The caller holds e.mu.
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
	e.recordConcurrency(capacity)
	e.fillBatch(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// fillBatch moves queued streams into the batch while there is room. The caller holds e.mu.
func (e *Engine) fillBatch(now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < e.capacity(now) {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.cachedTokens = e.cache.lookup(s.prompt)
		e.stats.PromptTokens += s.promptTokens()
		e.stats.CachedTokens += s.cachedTokens
		e.batch = append(e.batch, s)
	}
	e.recordLoad(now)
}

// run generates tokens while the batch has streams, and otherwise waits for a new request, until ctx is done.
func (e *Engine) run(ctx context.Context) {
	for {
		interval, busy := e.generateStep(time.Now())
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

// generateStep generates one token for each stream of the batch, unless the engine is frozen. It returns the time until
// the next step, and whether the batch has streams left.
func (e *Engine) generateStep(now time.Time) (interval time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned(now)
	for _, s := range e.batch {
		if !e.faults.Frozen {
			e.generateToken(s, now)
		}
	}
	e.removeEnded(now)
	slower := 1 + e.cfg.Slowdown*float64(max(len(e.batch)-1, 0))
	return time.Duration(float64(e.cfg.TokenInterval) * slower), len(e.batch) > 0
}

func (e *Engine) generateToken(s *stream, now time.Time) {
	s.producedTokens++
	e.stats.Generated++
	if s.producedTokens < s.totalTokens {
		s.notify()
		return
	}
	response := Message{Role: "assistant", Content: text(s.seed, s.totalTokens)}
	e.cache.store(s.prompt+flatten([]Message{response}), now)
	s.finish(true)
}

// removeEnded removes ended streams from the batch and the queue, and refills the batch. The caller holds e.mu.
func (e *Engine) removeEnded(now time.Time) {
	ended := func(s *stream) bool { return s.ended }
	e.batch = slices.DeleteFunc(e.batch, ended)
	e.queue = slices.DeleteFunc(e.queue, ended)
	e.fillBatch(now)
}

// cancelAbandoned cancels and discards streams that have had no reader for the grace period. The caller holds e.mu.
func (e *Engine) cancelAbandoned(now time.Time) {
	for id, s := range e.streams {
		if s.readers == 0 && now.Sub(s.idleSince) >= e.cfg.ReaderGracePeriod {
			e.cancel(s)
			delete(e.streams, id)
		}
	}
	e.removeEnded(now)
}

// cancel ends a stream without completing it. The caller holds e.mu.
func (e *Engine) cancel(s *stream) {
	if !s.ended {
		e.stats.Cancelled++
		s.finish(false)
	}
}
