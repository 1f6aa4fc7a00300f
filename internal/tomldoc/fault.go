package tomldoc

import "fmt"

// Fault is one thing that is wrong in a document.
type Fault struct {
	File    string
	Line    int    // counted from 1
	Problem string // what is wrong
	Fix     string // what to do about it
	Warning bool   // the document is usable nevertheless
}

// String formats the fault for people, in the form that editors follow.
func (f Fault) String() string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, level, f.Problem, f.Fix)
}

// HasErrors tells whether any of the faults is more than a warning.
func HasErrors(faults []Fault) bool {
	for _, f := range faults {
		if !f.Warning {
			return true
		}
	}
	return false
}
