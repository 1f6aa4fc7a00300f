package trace

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

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one event in a log.
type Line struct {
	Instance string        // that wrote the line
	Process  string        // process id in the line
	Time     time.Duration // by the process's own clock; only differences are meaningful
	Event    event.Number
	Name     string
	Fields   []Field
	Text     string // the line without the prefix of a log collector
}

// Field is a name=value pair of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, or "" if the line has no such field.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a field as an integer, or 0 if it is missing or not a number.
func (l *Line) Int(name string) int64 {
	n, _ := strconv.ParseInt(l.Get(name), 10, 64) // 0 on error
	return n
}

var linePattern = regexp.MustCompile(`(?:^|(\S+)\s+)([IWE])(\d\d)(\d\d) (\d\d):(\d\d):(\d\d)\.(\d{6})\s+(\d+) \S+\] "(\w+)" event=(\d+)(.*)$`)

// Parse reads the lines that event.LogFields wrote to a log and skips all others, including those of
// event.LogText. If a log collector put a prefix before a line, the last word of the prefix is the
// instance. Otherwise the instance is the one in the preceding process_started line or, before any,
// the name of the log.
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
	return lines, errors.Wrapf(sc.Err(), "trace: read %s", name)
}

func parseLine(text string) (Line, bool) {
	m := linePattern.FindStringSubmatchIndex(text)
	if m == nil {
		return Line{}, false
	}
	group := func(i int) string {
		if m[2*i] < 0 {
			return ""
		}
		return text[m[2*i]:m[2*i+1]]
	}
	number, err := strconv.ParseUint(group(11), 10, 16)
	if err != nil {
		return Line{}, false
	}
	l := Line{
		Instance: group(1),
		Process:  group(9),
		Time:     parseTimestamp(group(3), group(4), group(5), group(6), group(7), group(8)),
		Event:    event.Number(number),
		Name:     group(10),
		Fields:   parseFields(group(12)),
		Text:     text[m[4]:],
	}
	return l, true
}

// parseTimestamp returns the time of a line. Months count as 31 days, as only differences are used.
func parseTimestamp(month, day, hour, minute, second, micro string) time.Duration {
	n := func(s string) time.Duration {
		v, _ := strconv.Atoi(s) // linePattern matches digits only
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
			value, _ := strconv.Unquote(quoted) // cannot fail on the result of QuotedPrefix
			fields = append(fields, Field{Name: name, Value: value})
			s = rest[len(quoted):]
			continue
		}
		value, after, _ := strings.Cut(rest, " ")
		fields = append(fields, Field{Name: name, Value: value})
		s = after
	}
}
