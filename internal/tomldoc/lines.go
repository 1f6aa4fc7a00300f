package tomldoc

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndexer records the line of each key and array element by its path,
// such as "workspace[2].keys[0]".
type lineIndexer struct {
	parser      unstable.Parser
	lines       map[string]int
	tableCounts map[string]int // number of elements of each array of tables so far
	table       string         // path of the current table
}

// indexLines returns the line of each path of a document, which must be valid TOML.
func indexLines(text []byte) map[string]int {
	x := &lineIndexer{lines: map[string]int{}, tableCounts: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.indexExpression(x.parser.Expression())
	}
	return x.lines
}

func (x *lineIndexer) indexExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.table = x.keyPath("", n.Key())
	case unstable.ArrayTable:
		x.indexArrayTable(n)
	case unstable.KeyValue:
		x.indexKeyValue(x.table, n)
	}
}

func (x *lineIndexer) indexArrayTable(n *unstable.Node) {
	path := x.keyPath("", n.Key())
	path = strings.TrimSuffix(path, x.lastIndex(path))
	i := x.tableCounts[path]
	x.tableCounts[path]++
	x.table = elementPath(path, i)
	x.lines[x.table] = x.lines[path]
}

// lastIndex returns the index, such as "[2]", that keyPath appended for the latest element of an
// array of tables, or "" if path does not end in one.
func (x *lineIndexer) lastIndex(path string) string {
	i := strings.LastIndexByte(path, '[')
	if i < 0 || !strings.HasSuffix(path, "]") || x.tableCounts[path[:i]] == 0 {
		return ""
	}
	return path[i:]
}

// keyPath returns the path of a dotted key below a table and records the lines of its parts. A part
// that names an array of tables refers to the latest element of the array.
func (x *lineIndexer) keyPath(table string, key unstable.Iterator) string {
	path := table
	for key.Next() {
		part := key.Node()
		path = joinKey(path, string(part.Data))
		line := x.line(part)
		if n := x.tableCounts[path]; n > 0 {
			x.lines[path] = line
			path = elementPath(path, n-1)
			continue
		}
		if _, seen := x.lines[path]; !seen || key.IsLast() {
			x.lines[path] = line
		}
	}
	return path
}

func (x *lineIndexer) indexKeyValue(table string, n *unstable.Node) {
	path := x.keyPath(table, n.Key())
	x.indexValue(path, n.Value())
}

func (x *lineIndexer) indexValue(path string, n *unstable.Node) {
	children := n.Children()
	switch n.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.indexKeyValue(path, children.Node())
		}
	case unstable.Array:
		x.indexArray(path, children)
	}
}

func (x *lineIndexer) indexArray(path string, children unstable.Iterator) {
	line := x.lines[path]
	for i := 0; children.Next(); {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		if l := x.line(child); l > 0 {
			line = l
		}
		x.lines[elementPath(path, i)] = line
		x.indexValue(elementPath(path, i), child)
		i++
	}
}

// line returns the line of a node, or 0 if the parser records no position for nodes of its kind.
func (x *lineIndexer) line(n *unstable.Node) int {
	if n.Raw.Length == 0 {
		return 0
	}
	return x.parser.Shape(n.Raw).Start.Line
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
