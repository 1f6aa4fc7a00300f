package metrics

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// seriesID is a metric's name and its labels as written in the text format.
type seriesID struct {
	name   string
	labels string // name="value" pairs, sorted and separated by commas
}

func newSeriesID(name string, tags map[string]string) seriesID {
	pairs := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		pairs = append(pairs, sanitizeName(k)+`="`+escapeLabel(tags[k])+`"`)
	}
	return seriesID{name: sanitizeName(name), labels: strings.Join(pairs, ",")}
}

// key returns a map key that sorts series by name, then by labels.
func (s seriesID) key() string { return s.name + "\x00" + s.labels }

func parseKey(key string) seriesID {
	name, labels, _ := strings.Cut(key, "\x00")
	return seriesID{name: name, labels: labels}
}

// sanitizeName replaces characters that the text format does not allow in names with an underscore.
func sanitizeName(name string) string {
	return strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
			return c
		default:
			return '_'
		}
	}, name)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

func escapeLabel(value string) string { return labelEscaper.Replace(strings.ToValidUTF8(value, "?")) }

// text returns all series in the Prometheus text format, sorted by name and labels.
func (r *reporter) text() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &textWriter{}
	lastName := ""
	for _, key := range slices.Sorted(maps.Keys(r.series)) {
		id, s := parseKey(key), r.series[key]
		if id.name != lastName {
			fmt.Fprintf(&w.buf, "# TYPE %s %s\n", id.name, s.kind())
			lastName = id.name
		}
		s.write(w, id)
	}
	fmt.Fprintf(&w.buf, "# TYPE %[1]s_dropped_series gauge\n%[1]s_dropped_series %[2]d\n", metricPrefix, r.droppedAllocations)
	return w.buf.Bytes()
}

type textWriter struct{ buf bytes.Buffer }

// writeSample writes one line. extraLabel is appended to labels unless it is empty.
func (w *textWriter) writeSample(name, labels, extraLabel string, value float64) {
	w.buf.WriteString(name)
	if labels != "" && extraLabel != "" {
		labels += ","
	}
	if labels += extraLabel; labels != "" {
		w.buf.WriteString("{" + labels + "}")
	}
	w.buf.WriteString(" " + formatFloat(value) + "\n")
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (*counter) kind() string   { return "counter" }
func (*gauge) kind() string     { return "gauge" }
func (*timer) kind() string     { return "summary" }
func (*histogram) kind() string { return "histogram" }

func (c *counter) write(w *textWriter, id seriesID) {
	w.writeSample(id.name, id.labels, "", float64(c.value))
}

func (g *gauge) write(w *textWriter, id seriesID) {
	w.writeSample(id.name, id.labels, "", g.value)
}

func (t *timer) write(w *textWriter, id seriesID) {
	for _, q := range quantiles {
		w.writeSample(id.name, id.labels, fmt.Sprintf(`quantile="%s"`, formatFloat(q)), t.quantile(q).Seconds())
	}
	w.writeSample(id.name+"_sum", id.labels, "", t.sum.Seconds())
	w.writeSample(id.name+"_count", id.labels, "", float64(t.count))
}

func (h *histogram) write(w *textWriter, id seriesID) {
	total := int64(0)
	for _, b := range h.buckets {
		total += b.count
		w.writeSample(id.name+"_bucket", id.labels, fmt.Sprintf(`le="%s"`, formatFloat(b.upperBound)), float64(total))
	}
	w.writeSample(id.name+"_count", id.labels, "", float64(total))
}
