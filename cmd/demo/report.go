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

// report prints the results and reports whether all checks passed.
func (s *scenario) report(out io.Writer) bool {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	chats, bookings := s.chats.Counts(), s.bookings.Counts()
	fmt.Fprintln(w)
	printCounts(w, "chat turns", chats)
	printCounts(w, "bookings", bookings)
	fmt.Fprintf(w, "cache reuse\t%.1f%% of %d prompt tokens\n", percent(chats.CachedTokens, chats.PromptTokens), chats.PromptTokens)
	skewWithinLimit := s.printSkew(w)
	s.printTraffic(w)
	fmt.Fprintf(w, "platform\t%d calls, at most %d in one second, including pending watches\n", s.platform.Calls, s.platform.PeakPerSec)
	fmt.Fprintf(w, "cold engines\tat most %d requests above their current capacity\n", s.coldExcess)
	fmt.Fprintf(w, "runs per booking\t%s\n\n", s.runsPerBooking())

	passed := true
	check := func(what string, ok bool) {
		fmt.Fprintf(w, "%s\t%s\n", what, map[bool]string{true: "held", false: "BROKEN"}[ok])
		passed = passed && ok
	}
	check("every chat response complete and correct", chats.Requests > 0 && chats.Answered == chats.Requests)
	check("no booking ran twice", bookings.Answered > 0 && bookings.Wrong == 0 && s.maxRunsPerBooking() == 1)
	check("every answered booking ran, and none that was refused as not run", s.runCountMatches(bookings))
	check(fmt.Sprintf("no new requests in %s later than %s after it was taken out of service", outOfServiceDataCentre, outOfServiceBound), s.lateRequests == 0)
	check(fmt.Sprintf("no engine above %.1f times the mean load, rounded up to whole requests", loadMultiple), skewWithinLimit)
	for _, e := range append(chats.Examples, bookings.Examples...) {
		fmt.Fprintf(w, "\nnot answered\t%s", e)
	}
	fmt.Fprintln(w)
	return passed
}

func printCounts(w io.Writer, what string, c loadtest.Counts) {
	fmt.Fprintf(w, "%s\t%d: %d answered, %d wrong, %d not run, %d unknown, %d failed\n",
		what, c.Requests, c.Answered, c.Wrong, c.NotRun, c.Unknown, c.Failed)
	fmt.Fprintf(w, "  retries\t%d, %d after an incomplete response; %d resumed a stream\n", c.Retries, c.BrokenResponses, c.StreamResumes)
	var refusals []string
	for _, reason := range slices.Sorted(maps.Keys(c.ProblemsByReason)) {
		refusals = append(refusals, fmt.Sprintf("%d %s", c.ProblemsByReason[reason], reason))
	}
	if len(refusals) > 0 {
		fmt.Fprintf(w, "  refused attempts\t%s\n", strings.Join(refusals, ", "))
	}
}

func (s *scenario) printSkew(w io.Writer) (withinLimit bool) {
	withinLimit = true
	for _, p := range s.skew.phases {
		for _, m := range slices.Sorted(maps.Keys(p.pools)) {
			mean, highest, limit := p.pools[m].summary()
			fmt.Fprintf(w, "skew, %s\t%s: most loaded engine %.2f, mean %.2f, ratio %.2f (limit %.2f)\n",
				p.name, m, highest, mean, highest/mean, limit)
			withinLimit = withinLimit && highest <= limit
		}
	}
	return withinLimit && len(s.skew.phases) > 0
}

func (s *scenario) printTraffic(w io.Writer) {
	for _, id := range slices.Sorted(maps.Keys(s.trafficAfter)) {
		if id == killedRouter {
			fmt.Fprintf(w, "control traffic\t%s: %.0f bytes since its restart\n", id, s.trafficAfter[id].Bytes)
			continue
		}
		fmt.Fprintf(w, "control traffic\t%s: %.0f bytes/s, both directions\n", id, s.trafficAfter[id].Rate(s.trafficBefore[id]))
	}
}

func (s *scenario) maxRunsPerBooking() int {
	highest := 0
	for _, n := range s.runs {
		highest = max(highest, n)
	}
	return highest
}

// runCountMatches reports whether the number of bookings that ran is at least that of the answered ones, and at most
// that of the answered ones and those with unknown outcome.
func (s *scenario) runCountMatches(c loadtest.Counts) bool {
	return len(s.runs) >= c.Answered && len(s.runs) <= c.Answered+c.Unknown
}

func (s *scenario) runsPerBooking() string {
	bookingsByRuns := map[int]int{}
	for _, n := range s.runs {
		bookingsByRuns[n]++
	}
	var out []string
	for _, n := range slices.Sorted(maps.Keys(bookingsByRuns)) {
		out = append(out, fmt.Sprintf("%d bookings ran %d times", bookingsByRuns[n], n))
	}
	return strings.Join(out, ", ")
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
