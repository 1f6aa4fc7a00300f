package event

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"k8s.io/klog/v2"
)

// parseConstants returns the constants of type Number in number.go, names by number.
func parseConstants(t *testing.T) map[Number]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "number.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[Number]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := v.Type.(*ast.Ident); !ok || id.Name != "Number" {
			return true
		}
		i, err := strconv.ParseUint(v.Values[0].(*ast.BasicLit).Value, 10, 16)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := out[Number(i)]; ok {
			t.Errorf("%s and %s have number %d", other, v.Names[0].Name, i)
		}
		out[Number(i)] = v.Names[0].Name
		return true
	})
	return out
}

func TestCatalogueHoldsEveryConstant(t *testing.T) {
	consts := parseConstants(t)
	names := map[string]bool{}
	last := Number(0)
	for _, d := range Catalogue() {
		if want := snake(consts[d.Number]); d.Name != want {
			t.Errorf("event %d has name %q, its constant %q", d.Number, d.Name, want)
		}
		if d.Number <= last || names[d.Name] || d.Severity.String() == "invalid" || !strings.HasSuffix(d.Summary, ".") {
			t.Errorf("bad definition %+v", d)
		}
		last, names[d.Name] = d.Number, true
		delete(consts, d.Number)
	}
	for n, name := range consts {
		t.Errorf("%s (%d) is not in the catalogue", name, n)
	}
}

func snake(s string) string {
	return strings.ToLower(regexp.MustCompile(`([a-z])([A-Z])`).ReplaceAllString(s, "${1}_${2}"))
}

var sectionPattern = regexp.MustCompile(`(?ms)^### (\d+) ([a-z_]+) \((\w+)\)\n\n(.+?)\n\n- Cause: (.+?)\n- Way out: (.+?)\n(?:\n|\z)`)

func TestDocumentHoldsTheCatalogue(t *testing.T) {
	doc, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := sectionPattern.FindAllStringSubmatch(string(doc), -1)
	if headings := strings.Count(string(doc), "\n### "); headings != len(found) || len(found) != len(definitions) {
		t.Errorf("EVENTS.md has %d headings and %d complete sections for %d events", headings, len(found), len(definitions))
	}
	for i, m := range found {
		if i >= len(definitions) {
			break
		}
		d := definitions[i]
		if m[1] != strconv.Itoa(int(d.Number)) || m[2] != d.Name || m[3] != d.Severity.String() {
			t.Errorf("section %d of EVENTS.md is %s %s (%s), want %+v", i, m[1], m[2], m[3], d)
		}
		if !strings.HasPrefix(m[4], d.Summary) {
			t.Errorf("section %s of EVENTS.md begins %q, want %q", m[2], m[4], d.Summary)
		}
	}
}

func TestLogQuotesDetail(t *testing.T) {
	var buf bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&buf)
	defer klog.LogToStderr(true)
	LogText(ConfigRefused, "revision 4\nE1203 forged")
	LogText(Number(9), "x")
	klog.Flush()
	out := buf.String()
	if !strings.Contains(out, `event=202 name=config_refused detail="revision 4\nE1203 forged"`) {
		t.Errorf("log: %q", out)
	}
	if !strings.Contains(out, "event=9 name=undefined") || !strings.Contains(out, "event_test.go") {
		t.Errorf("log: %q", out)
	}
}
