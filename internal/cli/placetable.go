package cli

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/dandelionvane/dandelionvane/internal/control"
)

// placeColumn is a column of the table of endpoints. It is left out if no endpoint has a value.
type placeColumn struct {
	title string
	cell  func(e *control.EndpointExplanation) string // "" for no value
}

var placeColumns = []placeColumn{
	{"#", func(e *control.EndpointExplanation) string { return strconv.Itoa(e.Position) }},
	{"endpoint", func(e *control.EndpointExplanation) string { return string(e.Endpoint) }},
	{"data_centre", func(e *control.EndpointExplanation) string { return string(e.DataCentre) }},
	{"version", func(e *control.EndpointExplanation) string { return string(e.Version) }},
	{"rank", func(e *control.EndpointExplanation) string {
		if e.Rank == nil {
			return ""
		}
		return strconv.Itoa(*e.Rank)
	}},
	{"share", func(e *control.EndpointExplanation) string {
		if e.Share == nil {
			return ""
		}
		return fmt.Sprintf("%.1f%%", *e.Share*100)
	}},
	{"first_event_ms", timesCell(func(t *control.EstimatedTimes) string { return fmt.Sprintf("%.0f", t.TotalMS) })},
	{"wait+read+distance", timesCell(func(t *control.EstimatedTimes) string {
		return fmt.Sprintf("%.0f+%.0f+%.0f", t.WaitMS, t.ReadMS, t.DistanceMS)
	})},
	{"compared", timesCell(func(t *control.EstimatedTimes) string {
		if !t.Compared {
			return ""
		}
		return "yes"
	})},
	{"speed", timesCell(func(t *control.EstimatedTimes) string {
		if t.SpeedAgeMS == nil {
			return ""
		}
		return fmt.Sprintf("%d%% (%d ms old)", t.SpeedPercent, *t.SpeedAgeMS)
	})},
	{"pending_prefill_ms", timesCell(func(t *control.EstimatedTimes) string { return fmt.Sprintf("%.0f", t.PendingReadMS) })},
	{"load", func(e *control.EndpointExplanation) string { return strconv.Itoa(e.Load) }},
	{"unreported", func(e *control.EndpointExplanation) string {
		if e.Unreported == 0 {
			return ""
		}
		return "+" + strconv.Itoa(e.Unreported)
	}},
	{"own", func(e *control.EndpointExplanation) string { return strconv.Itoa(e.InFlight) }},
	{"peers", func(e *control.EndpointExplanation) string { return strconv.Itoa(e.PeersInFlight) }},
	{"reported", reportedCell},
	{"excluded", excludedCell},
}

func timesCell(f func(*control.EstimatedTimes) string) func(*control.EndpointExplanation) string {
	return func(e *control.EndpointExplanation) string {
		if e.Times == nil {
			return ""
		}
		return f(e.Times)
	}
}

func reportedCell(e *control.EndpointExplanation) string {
	r := e.Reported
	if r == nil {
		return ""
	}
	used := ""
	if !r.Used {
		used = ", not used"
	}
	return fmt.Sprintf("%d+%d (%d ms old%s)", r.Running, r.Waiting, r.AgeMS, used)
}

func excludedCell(e *control.EndpointExplanation) string {
	if e.ExcludedForMS > 0 {
		return fmt.Sprintf("%s (%d ms)", e.Excluded, e.ExcludedForMS)
	}
	return e.Excluded
}

// writePlace writes an explanation: what the request is, the table of endpoints, and the decision as the last line.
func writePlace(out io.Writer, x *control.Explanation) error {
	w := &lineWriter{w: out}
	w.line("gateway %s in %s, store %d ms old, waited %d ms", x.Gateway, x.DataCentre, x.StoreAgeMS, x.WaitedMS)
	if len(x.Conditions) > 0 {
		w.line("this gateway is %s", joinConditions(x.Conditions))
	}
	if x.Route != "" {
		w.line("route %s (%s), workspace %s, priority %d, time limit %s", x.Route, x.Kind, cmp.Or(string(x.Workspace), "not given"), x.Priority, limitText(x.TimeLimitMS))
	}
	if c := x.Contention; c != nil {
		w.line("the service has been contended for %d ms: utilization %.2f, target %.2f, admitted share %.2f, rank %d of 1000", c.SinceMS, c.Utilization, c.Target, c.AdmittedShare, c.Rank)
	}
	if share := x.WorkspaceShare; share != nil {
		w.line("%.0f%% of the workspace's requests are within its share; %s", share.Share*100, runningText(share))
	}
	for _, s := range x.Services {
		w.line("service %s gets %.1f%% of the requests", s.Service, s.Share*100)
	}
	if x.Service != "" {
		w.line("service %s, rule %s%s, mean load %.1f, counts of peers %d ms old on average", x.Service, x.Rule, boundText(x.LoadBound), x.MeanLoad, x.PeerCountsAgeMS)
	}
	if len(x.Endpoints) > 0 {
		w.line("")
		w.endpoints(x.Endpoints)
		w.line("")
	}
	prefix := "decision: "
	if x.Decision.Reason != "" {
		prefix = ""
	}
	w.line("%s%s%s", prefix, decisionText(x), admissionText(x))
	return w.err
}

// lineWriter writes lines without control characters and keeps the first error.
type lineWriter struct {
	w   io.Writer
	err error
}

func (w *lineWriter) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintln(w.w, replaceControlChars(fmt.Sprintf(format, args...)))
	}
}

func (w *lineWriter) endpoints(endpoints []control.EndpointExplanation) {
	var titles []string
	rows := make([][]string, len(endpoints))
	for _, c := range placeColumns {
		cells, used := make([]string, len(endpoints)), false
		for i := range endpoints {
			cell := c.cell(&endpoints[i])
			used = used || cell != ""
			cells[i] = cmp.Or(replaceControlChars(cell), "-")
		}
		if !used {
			continue
		}
		titles = append(titles, c.title)
		for i := range rows {
			rows[i] = append(rows[i], cells[i])
		}
	}
	w.table(titles, rows)
}

// table writes rows whose cells have no control characters.
func (w *lineWriter) table(titles []string, rows [][]string) {
	if w.err != nil {
		return
	}
	tw := tabwriter.NewWriter(w.w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(tw, strings.Join(titles, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	w.err = tw.Flush()
}

func joinConditions(conditions []control.Condition) string {
	out := make([]string, len(conditions))
	for i, c := range conditions {
		out[i] = string(c)
	}
	return strings.Join(out, ", ")
}

func limitText(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return fmt.Sprintf("%d ms", ms)
}

func runningText(share *control.WorkspaceShare) string {
	if share.Running == nil {
		return "it is not one of the workspaces with the most running requests"
	}
	return fmt.Sprintf("it runs %d requests (%d ms old)", *share.Running, share.AgeMS)
}

func boundText(bound *float64) string {
	if bound == nil {
		return ""
	}
	return fmt.Sprintf(", load bound %.1f", *bound)
}

// admissionText returns how likely the request is admitted, if that is not certain and the decision is not a rejection.
func admissionText(x *control.Explanation) string {
	c := x.Contention
	if c == nil || c.Probability >= 1 || x.Decision.Reason != "" {
		return ""
	}
	return fmt.Sprintf(", if admitted: %.0f%%, otherwise rejected: contention (%s), Retry-After about %.2f s", c.Probability*100, c.Reason, float64(c.RetryAfterMS)/1000)
}

// decisionText returns the decision on one line.
func decisionText(x *control.Explanation) string {
	d := &x.Decision
	switch {
	case d.Endpoint != "":
		return string(d.Endpoint)
	case d.Random:
		return fmt.Sprintf("one of %d endpoints at random, by share", len(x.Drawn()))
	case d.RetryAfterMS > 0:
		return fmt.Sprintf("rejected: %s, Retry-After about %.2f s", d.Reason, float64(d.RetryAfterMS)/1000)
	default:
		return fmt.Sprintf("rejected: %s, no Retry-After", d.Reason)
	}
}
