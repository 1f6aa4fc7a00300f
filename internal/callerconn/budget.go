package callerconn

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits are the published limits on the heads of requests, 0 if unknown.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration
}

// MaxHeadBytes and MaxHeadTimeout are the largest limits that can be published; larger ones are cut. net/http must allow them.
const (
	MaxHeadBytes   = 1 << 20
	MaxHeadTimeout = time.Minute
)

// currentLimits holds the limits that apply now.
type currentLimits struct{ bytes, timeout atomic.Int64 } // 0: default

func (l *currentLimits) set(n Limits) {
	l.bytes.Store(int64(min(max(n.HeadBytes, 0), MaxHeadBytes)))
	l.timeout.Store(int64(min(max(n.HeadTimeout, 0), MaxHeadTimeout)))
}

// headBytes returns how many bytes of a head may arrive.
func (l *currentLimits) headBytes() int {
	if n := l.bytes.Load(); n > 0 {
		return int(n) + headSlack
	}
	return DefaultHeadBytes + headSlack
}

func (l *currentLimits) headTimeout() time.Duration {
	if d := l.timeout.Load(); d > 0 {
		return time.Duration(d)
	}
	return DefaultHeadTimeout
}

// Budget bounds memory. Listeners may share it.
type Budget struct {
	Bytes int64
	used  atomic.Int64
}

// Used returns the number of bytes that are charged.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.Bytes {
		return true
	}
	b.used.Add(-n)
	return false
}

// BeginBody records that the body of a request begins to be read. ctx is the context of the request.
func BeginBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.setBody(true)
	}
}

// LimitBody records that at most maxBytes of the body of a request are kept, which bounds their charge. ctx is the context of the
// request.
func LimitBody(ctx context.Context, maxBytes int64) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.limitBody(maxBytes)
	}
}

func (c *Conn) limitBody(maxBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incoming.maxCharge = maxBytes + bodySlack
}

// EndBody records that the body of a request was read, or will not be read. ctx is the context of the request.
func EndBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.setBody(false)
	}
}

// TrackBody returns a handler that records when the body of each request is read to its end.
func TrackBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			BeginBody(r.Context())
			r.Body = &trackedBody{r.Body, r.Context()}
		}
		h.ServeHTTP(w, r)
		EndBody(r.Context())
	})
}

type trackedBody struct {
	io.ReadCloser
	ctx context.Context // of the request
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		EndBody(b.ctx)
	}
	return n, err
}

func (c *Conn) setBody(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incoming.body = reading
	if reading {
		c.incoming.bodyEnded = false // a reader with one byte of room is no background read
		c.incoming.progress = time.Now()
		return
	}
	if spare := c.incoming.bodyCharge - keptBodyBytes; spare > 0 {
		c.incoming.bodyCharge -= spare
		c.release(spare)
	}
}

// ChargeAnswer charges the n bytes of an answer, or of the part of it that is being written, until AnswerSent or the end of the
// answer. Until then a smaller part than an earlier one adds nothing. ctx is the context of its request.
func ChargeAnswer(ctx context.Context, n int64) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.chargeAnswer(n)
	}
}

// AnswerSent releases the charge of the part of an answer that was sent. ctx is the context of its request.
func AnswerSent(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.releaseAnswer()
	}
}

func (c *Conn) releaseAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(c.incoming.answerCharge)
	c.incoming.answerCharge = 0
}

// chargeAnswer may exceed the budget: the request has run. HasMemory then refuses others before they run.
func (c *Conn) chargeAnswer(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.listener.memory
	if more := n - c.incoming.answerCharge; b != nil && !c.closing && more > 0 {
		c.incoming.answerCharge = n
		b.used.Add(more)
	}
}

// HasMemory reports whether a request may run: whether the budget of its listener is not exceeded. ctx is the context of the request.
func HasMemory(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return !ok || c.listener.memory == nil || c.listener.memory.Used() <= c.listener.memory.Bytes
}

func (c *Conn) releaseCharge() {
	in := &c.incoming
	c.release(in.headCharge + in.bodyCharge + in.answerCharge)
	in.headCharge, in.bodyCharge, in.answerCharge = 0, 0, 0
}

func (c *Conn) release(n int64) {
	if b := c.listener.memory; b != nil && n != 0 {
		b.used.Add(-n)
	}
}
