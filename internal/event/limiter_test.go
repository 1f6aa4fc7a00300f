package event

import (
	"strings"
	"testing"
	"time"
)

func TestFloodsAreBoundedAndCounted(t *testing.T) {
	l := newLimiter()
	now := time.Unix(0, 0)
	const flood = 5 * lineBurst
	written := 0
	for range flood {
		if _, ok := l.allow(PeerSuspected, now); ok {
			written++
		}
	}
	if written != lineBurst {
		t.Errorf("%d lines of a flood, want %d", written, lineBurst)
	}
	if _, ok := l.allow(PeerRecovered, now); !ok {
		t.Error("events of one kind suppress another kind")
	}
	now = now.Add(time.Second / linesPerSecond)
	for _, want := range []int{flood - lineBurst, 0} {
		if suppressed, ok := l.allow(PeerSuspected, now); !ok || suppressed != want {
			t.Errorf("suppressed %d, admitted %t, want %d", suppressed, ok, want)
		}
		now = now.Add(time.Second)
	}
	d, _ := Lookup(PeerSuspected)
	if line := format(d, "x", 7); !strings.HasSuffix(line, `detail="x" suppressed=7`) {
		t.Errorf("line %q", line)
	}
}

func TestRequestsHaveMoreLines(t *testing.T) {
	l := newLimiter()
	written := 0
	for range 5 * requestLineBurst {
		if _, ok := l.allow(RequestRefused, time.Unix(0, 0)); ok {
			written++
		}
	}
	if written != requestLineBurst {
		t.Errorf("%d lines of a flood, want %d", written, requestLineBurst)
	}
}

func TestUndefinedNumbersTakeNoMemory(t *testing.T) {
	l := newLimiter()
	for n := range Number(100) {
		l.allow(n, time.Unix(0, 0))
	}
	if len(l.kinds) != 1 {
		t.Errorf("%d entries for undefined numbers", len(l.kinds))
	}
}
