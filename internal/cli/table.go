package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	columnGap = 2
	maxRows   = 32 // per table
)

// writeTables writes a JSON value in readable form: the scalars and lists of scalars of an object as a list of keys
// and values, then each nested object and each array of objects under its own heading.
func writeTables(w io.Writer, v value) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	writeSection(tw, "", v)
	return tw.Flush()
}

func writeSection(w io.Writer, title string, v value) {
	switch {
	case v.kind == object:
		writeObject(w, title, v)
	case v.isTable():
		writeHeading(w, title, len(v.items))
		writeRows(w, v)
	default:
		writeHeading(w, title, len(v.items))
		fmt.Fprintf(w, "%s\n", v.inline())
	}
}

func writeObject(w io.Writer, title string, v value) {
	if title != "" {
		writeHeading(w, title, len(v.items))
	}
	for i, item := range v.items {
		if item.fitsOneLine() {
			fmt.Fprintf(w, "%s\t%s\n", replaceControlChars(v.keys[i]), item.inline())
		}
	}
	for i, item := range v.items {
		if !item.fitsOneLine() {
			writeSection(w, strings.TrimPrefix(title+"."+v.keys[i], "."), item)
		}
	}
}

func writeHeading(w io.Writer, title string, n int) {
	fmt.Fprintf(w, "\n%s (%d)\n", strings.ToUpper(replaceControlChars(title)), n)
}

// fitsOneLine reports whether the value can be written on the line of its key: a scalar or a list of scalars.
func (v value) fitsOneLine() bool {
	if v.kind == object {
		return false
	}
	for _, item := range v.items {
		if item.kind != scalar {
			return false
		}
	}
	return true
}

// isTable reports whether the value is a non-empty array of objects.
func (v value) isTable() bool {
	if v.kind != array || len(v.items) == 0 {
		return false
	}
	for _, item := range v.items {
		if item.kind != object {
			return false
		}
	}
	return true
}

func writeRows(w io.Writer, v value) {
	columns := v.columns()
	titles := make([]string, len(columns))
	for i, c := range columns {
		titles[i] = replaceControlChars(c)
	}
	fmt.Fprintf(w, "%s\n", strings.Join(titles, "\t"))
	rows := v.items[:min(len(v.items), maxRows)]
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = "-"
			if cell, ok := row.member(c); ok {
				cells[i] = cell.inline()
			}
		}
		fmt.Fprintf(w, "%s\n", strings.Join(cells, "\t"))
	}
	if omitted := len(v.items) - len(rows); omitted > 0 {
		fmt.Fprintf(w, "and %d more rows, see --json\n", omitted)
	}
}

// columns returns the distinct keys of all rows, in the order of their first occurrence.
func (v value) columns() []string {
	var out []string
	seen := map[string]bool{}
	for _, row := range v.items {
		for _, k := range row.keys {
			if !seen[k] {
				seen[k] = true
				out = append(out, k)
			}
		}
	}
	return out
}
