package tomldoc

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

type inner struct {
	Wait time.Duration `toml:"wait"`
	Few  uint8         `toml:"few"`
}

type item struct {
	ID     string   `toml:"id"`
	Keys   []string `toml:"keys"`
	Limits inner    `toml:"limits"`
	On     *bool    `toml:"on"`
}

type sample struct {
	Inner inner   `toml:"inner"`
	Items []item  `toml:"item"`
	Ratio float64 `toml:"ratio"`
}

const faulty = `ratio = "x"
[inner]
wait = 5
few = 300
typo = 1

[[item]]
id = "a"
keys = ["k",
  7,
]
[item.limits]
wait = "soon"

[[item]]
id = 4
on = 1
limits = { few = -1, other = 2 }
nested.x = 1
`

func TestEveryFaultHasItsLine(t *testing.T) {
	var s sample
	d := Decode("f.toml", []byte(faulty), &s)
	var got []string
	for _, f := range d.Faults() {
		got = append(got, fmt.Sprintf("%d %s", f.Line, f.Problem))
		if f.Fix == "" || f.File != "f.toml" {
			t.Errorf("fault %+v lacks its mend or file", f)
		}
	}
	want := []string{
		"1 ratio is a string",
		"3 inner.wait is a whole number",
		"4 inner.few: 300 is out of range",
		"5 unknown key inner.typo",
		"10 item[0].keys[1] is a whole number",
		`13 item[0].limits.wait: "soon" is not a duration`,
		"16 item[1].id is a whole number",
		"17 item[1].on is a whole number",
		"18 item[1].limits.few: -1 is out of range",
		"18 unknown key item[1].limits.other",
		"19 unknown key item[1].nested",
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("faults:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestValuesAreStored(t *testing.T) {
	s := sample{Ratio: 2}
	text := "inner = {wait = '3s', few = 9}\n[[item]]\nid='a'\non=false\n[[item]]\nkeys=['x','y']\n"
	if f := Decode("f", []byte(text), &s).Faults(); len(f) > 0 {
		t.Fatal(f)
	}
	if s.Inner != (inner{3 * time.Second, 9}) || s.Ratio != 2 || len(s.Items) != 2 {
		t.Fatalf("%+v", s)
	}
	if s.Items[0].On == nil || *s.Items[0].On || s.Items[1].On != nil || len(s.Items[1].Keys) != 2 {
		t.Errorf("%+v", s.Items)
	}
}

func TestSyntaxFaultHasItsLine(t *testing.T) {
	for text, line := range map[string]int{"ratio = 1\nratio = 2\n": 2, "\n\n[x\n": 3, "a = \"b": 1} {
		f := Decode("f", []byte(text), &sample{}).Faults()
		if len(f) != 1 || f[0].Line != line {
			t.Errorf("%q: %v, want one fault at line %d", text, f, line)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(faulty))
	f.Add([]byte("[[item]]\n[item.limits]\n[[item.limits.x]]\n[a.b.c]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d := Decode("f", text, &sample{})
		for _, fault := range d.Faults() {
			if fault.Line < 1 {
				t.Errorf("fault without line: %v", fault)
			}
		}
	})
}
