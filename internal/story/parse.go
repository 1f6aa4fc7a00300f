package story

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	Instance string        // that wrote it
	Process  string        // id of the process, as the log names it
	Time     time.Duration // by the process's own clock, since the log's first day began
	Event    event.Number
	Name     string
	Fields   []Field
	Text     string // the line without what a collector of logs put before it
}

// Field is a named value of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, "" without one.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a field as a number, 0 without one.
func (l *Line) Int(name string) int64 {
	n, _ := strconv.ParseInt(l.Get(name), 10, 64) // a field that is no number says nothing
	return n
}

var linePattern = regexp.MustCompile(`(?:^|(\S+)\s+)([IWE])(\d\d)(\d\d) (\d\d):(\d\d):(\d\d)\.(\d{6})\s+(\d+) \S+\] "(\w+)" event=(\d+)(.*)$`)

// Parse reads a log. Lines that are no events are left out. A collector may have put
// words before each line, the last of which names the instance; otherwise the log's own
// name does, until the line of a start tells better.
func Parse(r io.Reader, name string) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	instance := name
	for sc.Scan() {
		l, ok := parseLine(sc.Text())
		if !ok {
			continue
		}
		if l.Event == event.ProcessStarted {
			instance = l.Get("instance")
		}
		if l.Instance == "" {
			l.Instance = instance
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(sc.Err(), "story: read %s", name)
}

func parseLine(text string) (Line, bool) {
	m := linePattern.FindStringSubmatchIndex(text)
	if m == nil {
		return Line{}, false
	}
	part := func(i int) string {
		if m[2*i] < 0 {
			return ""
		}
		return text[m[2*i]:m[2*i+1]]
	}
	number, err := strconv.ParseUint(part(11), 10, 16)
	if err != nil {
		return Line{}, false
	}
	l := Line{
		Instance: part(1),
		Process:  part(9),
		Time:     clock(part(3), part(4), part(5), part(6), part(7), part(8)),
		Event:    event.Number(number),
		Name:     part(10),
		Fields:   parseFields(part(12)),
		Text:     text[m[4]:],
	}
	return l, true
}

// clock returns the time of a line. Months count as 31 days: only differences matter.
func clock(month, day, hour, minute, second, micro string) time.Duration {
	n := func(s string) time.Duration {
		v, _ := strconv.Atoi(s) // the pattern has digits only
		return time.Duration(v)
	}
	days := n(month)*31 + n(day)
	return days*24*time.Hour + n(hour)*time.Hour + n(minute)*time.Minute + n(second)*time.Second + n(micro)*time.Microsecond
}

// parseFields reads name=value pairs; values may be quoted.
func parseFields(s string) []Field {
	var fields []Field
	for {
		s = strings.TrimLeft(s, " ")
		name, rest, ok := strings.Cut(s, "=")
		if !ok {
			return fields
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, _ := strconv.Unquote(quoted) // what QuotedPrefix returns can be unquoted
			fields = append(fields, Field{Name: name, Value: value})
			s = rest[len(quoted):]
			continue
		}
		value, after, _ := strings.Cut(rest, " ")
		fields = append(fields, Field{Name: name, Value: value})
		s = after
	}
}
