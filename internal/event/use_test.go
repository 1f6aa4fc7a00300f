package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestEveryEventIsLogged checks that the code of some other package passes each event
// constant to a function. A comparison does not count as a use.
func TestEveryEventIsLogged(t *testing.T) {
	unused := parseConstants(t)
	byName := map[string]Number{}
	for n, name := range unused {
		byName[name] = n
	}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, name := range loggedEvents(f) {
			delete(unused, byName[name])
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for n, name := range unused {
		t.Errorf("%s (%d) is never logged", name, n)
	}
}

// loggedEvents returns the names of this package's constants that a file passes to functions.
func loggedEvents(f *ast.File) []string {
	var names []string
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		for _, arg := range call.Args {
			if sel, ok := arg.(*ast.SelectorExpr); ok && isPackage(sel.X, "event") {
				names = append(names, sel.Sel.Name)
			}
		}
		return true
	})
	return names
}

func isPackage(x ast.Expr, name string) bool {
	id, ok := x.(*ast.Ident)
	return ok && id.Name == name
}
