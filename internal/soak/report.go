package soak

import (
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxPrintedPerClass is how many violations of a class are printed; report.txt has all.
const maxPrintedPerClass = 5

// Violation is a broken invariant.
type Violation struct{ Class, Detail string }

func (v Violation) String() string { return v.Class + ": " + v.Detail }

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Mix        int
	Requests   int
	Answered   int                           // complete 200 response
	Resumed    int                           // requests that resume a stream at an undisturbed gateway, while two sound endpoints have its version
	WentOn     int                           // those of them that brought an event
	PeakMemory uint64                        // of the gateway that used most, in bytes
	Outcomes   map[string]*[outcomeCount]int // number of requests by kind of route and outcome
	Faults     []string                      // log of the injected faults, with their times
	Excused    []string                      // requests whose outcome a fault explains; only in the saved report
	Violations []Violation

	Deaths         []DeathSummary    // of the run's queries of death
	BrokenByDeaths [outcomeCount]int // outcomes of idempotent and resumable requests that ran beside a query of death when it ended their endpoint
	BrokenByKills  [outcomeCount]int // the same for endpoints that were killed
	Ends           []string          // log of the ends of endpoint processes; only in the saved report
}

func (r *Report) count(kind string, o Outcome) {
	if r.Outcomes[kind] == nil {
		r.Outcomes[kind] = &[outcomeCount]int{}
	}
	r.Outcomes[kind][o]++
	r.Requests++
	if o == Answered {
		r.Answered++
	}
}

func (r *Report) add(class, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{class, fmt.Sprintf(format, args...)})
}

// Classes returns the number of violations of each class.
func (r Report) Classes() map[string]int {
	out := map[string]int{}
	for _, v := range r.Violations {
		out[v.Class]++
	}
	return out
}

// String formats the report as text, one line per kind of route and per violation, but only the first violations of a class.
func (r Report) String() string { return r.text(maxPrintedPerClass) }

func (r Report) text(maxPerClass int) string {
	out := fmt.Sprintf("seed %d, mix %d: %d requests, %d answered, %d of %d resumed streams went on, %d faults, at most %d MB, %d violations",
		r.Seed, r.Mix, r.Requests, r.Answered, r.WentOn, r.Resumed, len(r.Faults), r.PeakMemory>>20, len(r.Violations))
	for _, kind := range slices.Sorted(maps.Keys(r.Outcomes)) {
		out += "\n  " + kind + ": " + outcomesText(r.Outcomes[kind])
	}
	for _, d := range r.Deaths {
		out += fmt.Sprintf("\n  query of death, %s: ended %v endpoints; %s", d.Name, d.Ends, outcomesText(&d.Outcomes))
	}
	out += brokenText("queries of death", &r.BrokenByDeaths) + brokenText("kills of endpoints", &r.BrokenByKills)
	printed := map[string]int{}
	for _, v := range r.Violations {
		if printed[v.Class]++; printed[v.Class] <= maxPerClass {
			out += "\n  " + v.String()
		}
	}
	for class, n := range r.Classes() {
		if n > maxPerClass {
			out += fmt.Sprintf("\n  %s: %d more in report.txt", class, n-maxPerClass)
		}
	}
	return out
}

// brokenText returns a line with the outcomes of the requests that ends of endpoints broke off, "" for none.
func brokenText(by string, counts *[outcomeCount]int) string {
	text := outcomesText(counts)
	if text == "" {
		return ""
	}
	return fmt.Sprintf("\n  idempotent and resumable requests broken off by %s: %s", by, text)
}

func outcomesText(counts *[outcomeCount]int) string {
	var parts []string
	for o, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %v", n, Outcome(o)))
		}
	}
	return strings.Join(parts, ", ")
}

// save writes the report to a directory.
func (r Report) save(dir string) error {
	text := strings.Join(slices.Concat([]string{r.text(math.MaxInt)}, r.Faults, r.Ends, r.Excused), "\n") + "\n"
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text), 0o644), "soak: report")
}
