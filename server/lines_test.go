package server

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logged finds each line that the sources log: its message, and the fields that are named in the same chain of calls.
func logged(t *testing.T) map[string][]string {
	found := map[string][]string{}
	for _, place := range []string{".", "../routing", "../stallwatch", "../admin", "../transport", "../siblings", "../snapshot", "../fleet"} {
		files, err := filepath.Glob(filepath.Join(place, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal(place, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(tree, func(n ast.Node) bool {
				call, is := n.(*ast.CallExpr)
				if !is {
					return true
				}
				if at, is := call.Fun.(*ast.SelectorExpr); is && at.Sel.Name == "Msg" && len(call.Args) == 1 {
					if message := text(call.Args[0]); message != "" {
						found[message] = append(found[message], chain(at.X)...)
					}
				}
				return true
			})
		}
	}
	return found
}

func text(e ast.Expr) string {
	if literal, is := e.(*ast.BasicLit); is && literal.Kind == token.STRING {
		word, _ := strconv.Unquote(literal.Value)
		return word
	}
	return ""
}

func chain(e ast.Expr) (names []string) {
	call, is := e.(*ast.CallExpr)
	if !is {
		return nil
	}
	at, is := call.Fun.(*ast.SelectorExpr)
	if !is {
		return nil
	}
	if at.Sel.Name == "Err" {
		names = []string{"error"}
	} else if len(call.Args) == 2 {
		names = []string{text(call.Args[0])}
	}
	return append(chain(at.X), names...)
}

// What can be logged is listed, and on-call staff are told of each line and each of its fields.
func TestLinesAreListedAndTold(t *testing.T) {
	var told string
	for _, page := range []string{"../docs/oncall.md", "../docs/upgrades.md", "../docs/fleet.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		told += string(text)
	}
	found := logged(t)
	for _, l := range lines {
		fields, is := found[l.message]
		if !is {
			t.Errorf("%q is listed, and nothing logs it", l.message)
		}
		for _, field := range fields {
			if !slices.Contains(l.fields, field) {
				t.Errorf("%q is logged with %s, which is not listed", l.message, field)
			}
		}
		for _, field := range l.fields {
			if l.message != "summary" && !slices.Contains(fields, field) {
				t.Errorf("%q is listed with %s, and not logged with it", l.message, field)
			}
			if !strings.Contains(told, "`"+field+"`") {
				t.Errorf("no page tells of %s in %q", field, l.message)
			}
		}
		if !strings.Contains(told, "`"+l.message+"`") {
			t.Errorf("no page tells of %q", l.message)
		}
		delete(found, l.message)
	}
	for message := range found {
		t.Errorf("%q is logged and not listed", message)
	}
}
