package event

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"
)

// callerDepth makes klog report the source line that called Log or Record.
const callerDepth = 1

var lineLimiter = newLimiter()

// LogText writes one event with its severity. The detail is quoted, so that untrusted text
// cannot forge a log line. Lines of one kind above its rate limit are dropped; the next
// line of the kind reports their number.
func LogText(n Number, detail string) {
	d, suppressed, ok := admit(n)
	if !ok {
		return
	}
	line := format(d, detail, suppressed)
	switch d.Severity {
	case Info:
		klog.InfoDepth(callerDepth, line)
	case Warning:
		klog.WarningDepth(callerDepth, line)
	default:
		klog.ErrorDepth(callerDepth, line)
	}
}

// admit returns an event's definition and how many lines of its kind were suppressed
// before it. It returns false if this line is suppressed as well.
func admit(n Number) (d Definition, suppressed int, ok bool) {
	suppressed, ok = lineLimiter.admit(n, time.Now())
	if !ok {
		return d, 0, false
	}
	d, ok = Lookup(n)
	if !ok {
		d = Definition{Number: n, Name: "undefined", Severity: Error}
	}
	return d, suppressed, true
}

func format(d Definition, detail string, suppressed int) string {
	line := fmt.Sprintf("event=%d name=%s detail=%q", d.Number, d.Name, detail)
	if suppressed > 0 {
		line += fmt.Sprintf(" suppressed=%d", suppressed)
	}
	return line
}
