// Package fault contains panics. A panic is a fault of this program that some input brought about: a request, a message, an
// item of the store. A process that ended of it would leave the input to the next one, which would end as well. The input is
// therefore dropped, and the process goes on.
//
// Errors of the runtime that cannot be recovered still end the process: memory, the depth of a stack, concurrent writes to a
// map.
package fault

import (
	"fmt"
	"runtime/debug"
	"strings"
	"sync/atomic"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// stackLines is the number of lines of a panic's stack that are kept.
const stackLines = 24

// Panic is a panic that was recovered.
type Panic struct {
	Value any
	Stack string // its first lines
}

// Error implements error.
func (p *Panic) Error() string { return "panic: " + fmt.Sprint(p.Value) }

var contained atomic.Uint64

// Contained returns the number of panics that this process has recovered. One that is passed on with panic(p), where p is
// a *Panic, counts once.
func Contained() uint64 { return contained.Load() }

// Catch runs f. It returns the panic that ended f, or nil. The caller logs it.
func Catch(f func()) (p *Panic) {
	defer func() {
		if v := recover(); v != nil {
			p = caught(v)
		}
	}()
	f()
	return nil
}

func caught(value any) *Panic {
	if p, ok := value.(*Panic); ok {
		return p
	}
	contained.Add(1)
	return &Panic{Value: value, Stack: firstLines(string(debug.Stack()))}
}

// Contain is Catch with a log line, which has the place and the given fields, alternating names and values.
func Contain(place string, f func(), fields ...any) *Panic {
	p := Catch(f)
	if p != nil {
		event.LogFields(event.PanicContained, append(p.Fields(place), fields...)...)
	}
	return p
}

// Fields returns the fields of a log line, alternating names and values.
func (p *Panic) Fields(place string) []any {
	return []any{"place", place, "panic", fmt.Sprint(p.Value), "stack", p.Stack}
}

func firstLines(text string) string {
	lines := strings.SplitN(text, "\n", stackLines+1)
	return strings.Join(lines[:min(stackLines, len(lines))], "\n")
}
