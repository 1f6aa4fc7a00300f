package trace

import (
	"fmt"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// blockLookahead is how long after a request a block may begin whose evidence includes an end under it: as long as an end
// counts.
const blockLookahead = 10 * time.Minute

// addBlockLines adds the beginnings of blocks of requests that ended the process of an endpoint under this one: one for each
// fingerprint, or for what such requests share.
func (t *Trace) addBlockLines(lines []Line) {
	known := map[string]bool{}
	for _, l := range lines {
		began := l.Event == event.RequestBlockBegan || l.Event == event.CrashCauseFound
		if !began || known[l.Get("fingerprint")+l.Get("cause")] {
			continue
		}
		if l.Time < t.firstLine().Time-maxClockSkew || l.Time > t.lastLine().Time+blockLookahead {
			continue
		}
		if t.endedUnderRequest(&l) {
			known[l.Get("fingerprint")+l.Get("cause")] = true
			t.BlockLines = append(t.BlockLines, l)
		}
	}
}

// endedUnderRequest reports whether the evidence of a block includes the end of a process that broke off an attempt.
func (t *Trace) endedUnderRequest(block *Line) bool {
	for i := range t.RequestLines {
		if end := t.processEndLine(&t.RequestLines[i]); end != nil && namesEnd(block, end) {
			return true
		}
	}
	return false
}

// processEndLine returns the line that reports the end of the endpoint's process at the time of an attempt that it broke off, of
// the request's own gateway if there is one, or nil.
func (t *Trace) processEndLine(attempt *Line) *Line {
	if attempt.Event != event.AttemptEnded || attempt.Get("result") != control.ResponseBroken.String() {
		return nil
	}
	for _, ls := range [][]Line{t.ProcessLines, t.PeerLines} {
		for i := range ls {
			l := &ls[i]
			if l.Event == event.EndpointProcessEnded && l.Get("endpoint") == attempt.Get("endpoint") && (l.Time-attempt.Time).Abs() <= maxClockSkew {
				return l
			}
		}
	}
	return nil
}

// namesEnd reports whether the evidence of a block names the end of a process.
func namesEnd(block, end *Line) bool {
	process := fmt.Sprintf("endpoint=%s/%s ", end.Get("endpoint"), end.Get("incarnation"))
	return strings.Contains(block.Get("evidence"), process)
}

// describeProcessEnd describes the end of the endpoint's process that broke off an attempt, with the requests that it is put down to.
func (t *Trace) describeProcessEnd(attempt *Line) string {
	end := t.processEndLine(attempt)
	if end == nil {
		return ""
	}
	text := fmt.Sprintf("; the endpoint's process had ended (%s)", end.Instance)
	for i := range t.BlockLines {
		if b := &t.BlockLines[i]; namesEnd(b, end) {
			text += fmt.Sprintf(", which is put down to requests with %s (blocked since by %s)", blockedWhat(b), b.Instance)
		}
	}
	return text
}

// blockedWhat names the requests whose block begins with a line.
func blockedWhat(block *Line) string {
	if cause := block.Get("cause"); cause != "" {
		return cause
	}
	return "fingerprint " + block.Get("fingerprint")
}

func (t *Trace) blockedCause() string {
	end := t.lastLine()
	if cause := end.Get("cause"); cause != "" {
		return fmt.Sprintf("requests with %s, whatever else they hold, have crashed %s endpoint processes: %s; blocked", cause, end.Get("ends"), end.Get("evidence"))
	}
	return fmt.Sprintf("its content (fingerprint %s) has crashed %s endpoint processes: %s; blocked", end.Get("fingerprint"), end.Get("ends"), end.Get("evidence"))
}

func (t *Trace) onTrialCause() string {
	return fmt.Sprintf("its content (fingerprint %s) is suspected of crashing endpoints, and another attempt of it was on trial to find out", t.lastLine().Get("fingerprint"))
}
