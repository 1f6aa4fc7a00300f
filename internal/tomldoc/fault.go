package tomldoc

import "fmt"

// Fault is an error or warning about a document.
type Fault struct {
	File    string
	Line    int    // counted from 1
	Problem string // what is wrong
	Fix     string // how to correct it
	Warning bool   // the document is still accepted
}

// String formats the fault as FILE:LINE: LEVEL: PROBLEM; FIX, which editors recognise as a position.
func (f Fault) String() string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, level, f.Problem, f.Fix)
}

// HasErrors reports whether any of the faults is an error rather than a warning.
func HasErrors(faults []Fault) bool {
	for _, f := range faults {
		if !f.Warning {
			return true
		}
	}
	return false
}
