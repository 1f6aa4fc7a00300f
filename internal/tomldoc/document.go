package tomldoc

import (
	"fmt"
	"reflect"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Document knows where the keys of a decoded text stand and collects its faults.
type Document struct {
	file   string
	lines  map[string]int
	faults []Fault
	broken map[string]bool // paths whose value could not be stored
	parsed bool
}

// Decode parses a text and stores its values in the struct to which into points.
// Fields are matched by their toml tags. Keys without a field, values of a wrong type
// and numbers out of a field's range are faults; such fields keep their values.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, lines: map[string]int{}, broken: map[string]bool{}}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		d.syntax(err)
		return d
	}
	d.parsed = true
	d.lines = indexLines(text)
	d.bindStruct("", tree, reflect.ValueOf(into).Elem())
	return d
}

// Faults returns the faults found so far, in the order in which they were found.
func (d *Document) Faults() []Fault { return d.faults }

// Line returns the line of a path such as "workspace[2].keys[0]". A path that does
// not stand in the document has the line of its nearest parent, else line 1.
func (d *Document) Line(path string) int {
	for path != "" {
		if l := d.lines[path]; l > 0 {
			return l
		}
		path = parent(path)
	}
	return 1
}

// Has tells whether the document sets a path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Parsed tells whether the text is TOML. Its meaning can be checked only then.
func (d *Document) Parsed() bool { return d.parsed }

// Errorf adds a fault at a path, unless the path's value could not even be stored.
func (d *Document) Errorf(path, mend, format string, args ...any) {
	if d.broken[path] {
		return
	}
	d.faults = append(d.faults, d.fault(path, mend, format, args...))
}

// Warnf adds a warning at a path.
func (d *Document) Warnf(path, mend, format string, args ...any) {
	f := d.fault(path, mend, format, args...)
	f.Warning = true
	d.faults = append(d.faults, f)
}

func (d *Document) fault(path, mend, format string, args ...any) Fault {
	return Fault{File: d.file, Line: d.Line(path), Problem: fmt.Sprintf(format, args...), Fix: mend}
}

func (d *Document) syntax(err error) {
	f := Fault{File: d.file, Line: 1, Problem: err.Error(), Fix: "correct the TOML syntax; further faults show afterwards"}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
	}
	d.faults = append(d.faults, f)
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
