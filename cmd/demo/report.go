package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/dandelionvane/dandelionvane/internal/loadtest"
)

// report prints the table and returns whether the promises held.
func (s *scenario) report(out io.Writer) bool {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	chats, bookings := s.chats.Counts(), s.bookings.Counts()
	fmt.Fprintln(w)
	printCounts(w, "chat turns", chats)
	printCounts(w, "bookings", bookings)
	fmt.Fprintf(w, "cache reuse\t%.1f%% of %d prompt tokens\n", percent(chats.CachedTokens, chats.PromptTokens), chats.PromptTokens)
	skewHeld := s.printSkew(w)
	s.printTraffic(w)
	fmt.Fprintf(w, "platform\t%d calls, at most %d in one second, waiting watches included\n", s.platform.Calls, s.platform.PeakPerSec)
	fmt.Fprintf(w, "cold engines\tat most %d requests beyond what they can bear\n", s.coldExcess)
	fmt.Fprintf(w, "runs per booking\t%s\n\n", s.runsPerBooking())

	held := true
	promise := func(what string, ok bool) {
		fmt.Fprintf(w, "%s\t%s\n", what, map[bool]string{true: "held", false: "BROKEN"}[ok])
		held = held && ok
	}
	promise("every chat answer whole and verified", chats.Requests > 0 && chats.Answered == chats.Requests)
	promise("no booking ran twice", bookings.Answered > 0 && bookings.Wrong == 0 && s.mostRuns() == 1)
	promise("every answered booking ran, none that was refused as not run", s.runsMatch(bookings))
	promise(fmt.Sprintf("no new work in %s %s after it was taken out", outDataCentre, outBound), s.newWork == 0)
	promise(fmt.Sprintf("no engine above %.1f times the mean load, whole requests rounded up", setMultiple), skewHeld)
	for _, e := range append(chats.Examples, bookings.Examples...) {
		fmt.Fprintf(w, "\nnot answered\t%s", e)
	}
	fmt.Fprintln(w)
	return held
}

func printCounts(w io.Writer, what string, c loadtest.Counts) {
	fmt.Fprintf(w, "%s\t%d: %d answered, %d wrong, %d not run, %d unknown, %d lost\n",
		what, c.Requests, c.Answered, c.Wrong, c.NotRun, c.Unknown, c.Failed)
	fmt.Fprintf(w, "  repeated by callers\t%d, %d after a broken connection; %d resumed a stream\n", c.Retries, c.BrokenResponses, c.ResumedStreams)
	var refusals []string
	for _, reason := range slices.Sorted(maps.Keys(c.Refusals)) {
		refusals = append(refusals, fmt.Sprintf("%d %s", c.Refusals[reason], reason))
	}
	if len(refusals) > 0 {
		fmt.Fprintf(w, "  refusals on the way\t%s\n", strings.Join(refusals, ", "))
	}
}

func (s *scenario) printSkew(w io.Writer) (held bool) {
	held = true
	for _, p := range s.skew.phases {
		for _, m := range slices.Sorted(maps.Keys(p.pools)) {
			mean, most, bound := p.pools[m].summary()
			fmt.Fprintf(w, "skew, %s\t%s: most loaded engine %.2f, mean %.2f, ratio %.2f (limit %.2f)\n",
				p.name, m, most, mean, most/mean, bound)
			held = held && most <= bound
		}
	}
	return held && len(s.skew.phases) > 0
}

func (s *scenario) printTraffic(w io.Writer) {
	for _, id := range slices.Sorted(maps.Keys(s.after)) {
		if id == killedRouter {
			fmt.Fprintf(w, "control traffic\t%s: %.0f bytes since it was started anew\n", id, s.after[id].Bytes)
			continue
		}
		fmt.Fprintf(w, "control traffic\t%s: %.0f bytes/s, both directions\n", id, s.after[id].Rate(s.before[id]))
	}
}

func (s *scenario) mostRuns() int {
	most := 0
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most
}

// runsMatch tells whether as many bookings ran as were answered, or more only by those whose outcome is unknown.
func (s *scenario) runsMatch(c loadtest.Counts) bool {
	return len(s.runs) >= c.Answered && len(s.runs) <= c.Answered+c.Unknown
}

func (s *scenario) runsPerBooking() string {
	by := map[int]int{}
	for _, n := range s.runs {
		by[n]++
	}
	var out []string
	for _, n := range slices.Sorted(maps.Keys(by)) {
		out = append(out, fmt.Sprintf("%d bookings ran %d times", by[n], n))
	}
	return strings.Join(out, ", ")
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
