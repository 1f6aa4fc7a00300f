package router

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

var metricRow = regexp.MustCompile("(?m)^\\| `dandelionvane_([a-z_]+)` \\| ([a-z]+) \\| *([^ |]*) *\\|")

// TestDocumentHoldsEveryMetric compares the table in the docs with the metrics reported
// for a snapshot in which every counter increased.
func TestDocumentHoldsEveryMetric(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	r := newReporter(scope)
	r.report(Snapshot{At: time.Unix(1, 0)})
	s := Snapshot{}
	setNonZero(reflect.ValueOf(&s).Elem())
	s.At = time.Unix(2, 0)
	r.report(s)

	var got []string
	for _, c := range scope.Snapshot().Counters() {
		got = append(got, row(c.Name(), "counter", c.Tags()))
	}
	for _, g := range scope.Snapshot().Gauges() {
		got = append(got, row(g.Name(), "gauge", g.Tags()))
	}
	doc, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, m := range metricRow.FindAllStringSubmatch(string(doc), -1) {
		want = append(want, m[1]+" "+m[2]+" "+m[3])
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("metrics\n%q\ndocumented\n%q", got, want)
	}
}

func row(name, kind string, tags map[string]string) string {
	label := ""
	for k := range tags {
		label = "`" + k + "`"
	}
	return name + " " + kind + " " + label
}

// setNonZero recursively sets every number in v to 1 and gives every map one entry.
func setNonZero(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range v.NumField() {
			setNonZero(v.Field(i))
		}
	case reflect.Map:
		key, n := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setNonZero(key)
		setNonZero(n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, n)
	case reflect.String:
		v.SetString("x")
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(1)
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	}
}
