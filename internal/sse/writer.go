package sse

import "bytes"

// Append appends the encoding of an event to b. An empty ID or Name is omitted.
func Append(b []byte, e Event) []byte {
	if len(e.Name) > 0 {
		b = append(b, "event: "...)
		b = append(b, e.Name...)
		b = append(b, '\n')
	}
	if len(e.ID) > 0 {
		b = append(b, "id: "...)
		b = append(b, e.ID...)
		b = append(b, '\n')
	}
	for line := range bytes.SplitSeq(e.Data, []byte("\n")) {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}
