package tomldoc

import (
	"fmt"
	"reflect"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Document holds the line of each key of a decoded document and collects its faults.
type Document struct {
	file    string
	lines   map[string]int
	faults  []Fault
	invalid map[string]bool // paths whose value could not be stored
	parsed  bool
}

// Decode parses a TOML text and stores its values in the struct to which into points; file is the
// name of the document in faults. Fields are matched by their toml tags. Unknown keys, values of a
// wrong type and numbers out of range are faults; the affected fields keep their previous values.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, lines: map[string]int{}, invalid: map[string]bool{}}
	var root map[string]any
	if err := toml.Unmarshal(text, &root); err != nil {
		d.addSyntaxFault(err)
		return d
	}
	d.parsed = true
	d.lines = indexLines(text)
	d.bindStruct("", root, reflect.ValueOf(into).Elem())
	return d
}

// Faults returns the faults found so far, in the order in which they were found.
func (d *Document) Faults() []Fault { return d.faults }

// Line returns the line of a path such as "workspace[2].keys[0]". For a path that is not in
// the document, it returns the line of the nearest parent, or 1 if there is none.
func (d *Document) Line(path string) int {
	for path != "" {
		if l := d.lines[path]; l > 0 {
			return l
		}
		path = parentPath(path)
	}
	return 1
}

// Has reports whether the document sets a path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Parsed reports whether the text is valid TOML. Only then can the values be validated.
func (d *Document) Parsed() bool { return d.parsed }

// Errorf adds an error at a path; fix describes how to correct it. A path whose value could not be stored has a fault
// already, and further errors at it are dropped.
func (d *Document) Errorf(path, fix, format string, args ...any) {
	if d.invalid[path] {
		return
	}
	d.faults = append(d.faults, d.newFault(path, fix, format, args...))
}

// Warnf adds a warning at a path; fix describes how to correct it.
func (d *Document) Warnf(path, fix, format string, args ...any) {
	f := d.newFault(path, fix, format, args...)
	f.Warning = true
	d.faults = append(d.faults, f)
}

func (d *Document) newFault(path, fix, format string, args ...any) Fault {
	return Fault{File: d.file, Line: d.Line(path), Problem: fmt.Sprintf(format, args...), Fix: fix}
}

func (d *Document) addSyntaxFault(err error) {
	f := Fault{File: d.file, Line: 1, Problem: err.Error(), Fix: "correct the TOML syntax; further faults show afterwards"}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
	}
	d.faults = append(d.faults, f)
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
