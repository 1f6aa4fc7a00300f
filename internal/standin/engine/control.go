package engine

// Stats counts the requests and tokens of an engine since its start, cold restarts included.
type Stats struct {
	Incarnation  uint64  `json:"incarnation"`
	Requests     int     `json:"requests"` // accepted: admitted to the batch or the queue
	Refused      int     `json:"refused"`
	Resumed      int     `json:"resumed"`
	Cancelled    int     `json:"cancelled"`
	Generated    int     `json:"generated"` // tokens
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	Peak         int     `json:"peak"`        // most concurrent requests, queued ones included
	ColdExcess   int     `json:"cold_excess"` // most requests above the current capacity while that was below the full capacity
	Orders       []Order `json:"orders"`      // accepted ones, oldest first
}

// Order is the desired state of an engine, with the fencing token of its sender.
type Order struct {
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
	Role  string `json:"role"`
}

// Faults are the injected faults.
type Faults struct {
	Refuse     int  `json:"refuse"`      // number of requests to refuse
	Breaks     int  `json:"breaks"`      // number of responses whose connection is closed early
	BreakAfter int  `json:"break_after"` // number of events sent before such a connection is closed
	Frozen     bool `json:"frozen"`      // generate no tokens and keep connections open
	Cold       bool `json:"cold"`        // perform a cold restart now
}

// Stats returns the counts since the start.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Inject replaces the injected faults.
func (e *Engine) Inject(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Cold {
		e.restart()
	}
}
