package lists

import (
	"fmt"
	"regexp"

	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// idChecker checks that the ids of the entries of one kind are valid and unique.
type idChecker struct {
	doc  *tomldoc.Document
	kind string
	seen map[string]int // line of each id seen so far
}

func newIDChecker(d *tomldoc.Document, kind string) *idChecker {
	return &idChecker{doc: d, kind: kind, seen: map[string]int{}}
}

// check validates the id of the i-th entry and returns the path of the entry.
func (s *idChecker) check(i int, id string) string {
	path := elementPath(s.kind, i)
	idPath := path + ".id"
	if !checkID(s.doc, idPath, id) {
		return path
	}
	if line, ok := s.seen[id]; ok {
		s.doc.Errorf(idPath, "rename or remove one of the two", "%s %q stands at line %d already", s.kind, id, line)
		return path
	}
	s.seen[id] = s.doc.Line(idPath)
	return path
}

func checkID(d *tomldoc.Document, path, id string) bool {
	if idPattern.MatchString(id) {
		return true
	}
	const fix = "use 1 to 128 letters, digits and . _ : / -, the first a letter or digit"
	if id == "" && !d.Has(path) {
		d.Errorf(path, fix, "%s is missing", path)
	} else {
		d.Errorf(path, fix, "%s: %q is not an id", path, id)
	}
	return false
}

func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
