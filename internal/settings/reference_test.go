package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const (
	referenceBegin = "<!-- settings reference -->\n"
	referenceEnd   = "<!-- end of the settings reference -->\n"
)

// TestReferenceMatchesTheStructs compares the settings reference in docs/OPERATIONS.md with one generated
// from the structs, their comments and the defaults.
func TestReferenceMatchesTheStructs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(doc), referenceBegin)
	got, _, ok := strings.Cut(rest, referenceEnd)
	if want := reference(t); !ok || got != want {
		t.Errorf("the settings reference of docs/OPERATIONS.md must be:\n%s", want)
	}
}

func reference(t *testing.T) string {
	comments := structComments(t)
	needed := requiredKeys()
	var b strings.Builder
	root := reflect.ValueOf(Default()).Elem()
	for i := range root.NumField() {
		section, name := root.Field(i), root.Type().Field(i).Tag.Get("toml")
		typ := section.Type()
		fmt.Fprintf(&b, "\n#### [%s]\n\n%s\n\n| key | default | meaning |\n| --- | --- | --- |\n", name, comments[typ.Name()])
		for j := range section.NumField() {
			f := typ.Field(j)
			key := f.Tag.Get("toml")
			meaning := comments[typ.Name()+"."+f.Name]
			if key == "" || meaning == "" {
				t.Errorf("%s.%s lacks its toml tag or comment", typ.Name(), f.Name)
			}
			def := "required"
			if !needed[name+"."+key] {
				def = "`" + literal(section.Field(j).Interface()) + "`"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", key, def, meaning)
		}
	}
	return b.String()
}

// structComments returns the comments of structs, keyed by "Type", and of fields, keyed by "Type.Field".
func structComments(t *testing.T) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		decl, ok := n.(*ast.GenDecl)
		if !ok || decl.Tok != token.TYPE {
			return true
		}
		spec := decl.Specs[0].(*ast.TypeSpec)
		st, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		text := strings.TrimPrefix(decl.Doc.Text(), spec.Name.Name+" ")
		out[spec.Name.Name] = strings.TrimSpace(strings.ToUpper(text[:1]) + strings.ReplaceAll(text[1:], "\n", " "))
		for _, field := range st.Fields.List {
			out[spec.Name.Name+"."+field.Names[0].Name] = strings.TrimSpace(field.Comment.Text())
		}
		return true
	})
	return out
}

// requiredKeys returns the keys that are reported as missing from an empty file.
func requiredKeys() map[string]bool {
	out := map[string]bool{}
	_, faults := Parse("", nil)
	for _, f := range faults {
		if key, ok := strings.CutSuffix(f.Problem, " is missing"); ok {
			out[key] = true
		}
	}
	return out
}

// literal formats a default as a TOML value.
func literal(v any) string {
	switch x := v.(type) {
	case time.Duration:
		s := x.String()
		if strings.HasSuffix(s, "m0s") {
			s = strings.TrimSuffix(s, "0s")
		}
		return fmt.Sprintf("%q", s)
	case string:
		return fmt.Sprintf("%q", x)
	default:
		return fmt.Sprint(x)
	}
}
