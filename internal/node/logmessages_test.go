package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// TestEveryLogMessageIsDocumented holds docs/fleet.md against the code of a node: each message of the code stands in the page's
// table, with what it means, and each of the table's in the code.
func TestEveryLogMessageIsDocumented(t *testing.T) {
	code := map[string]string{}
	for _, root := range []string{".", "../control", "../edge"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				fun, ok := call.Fun.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				// A reducer's own log takes the level first.
				at := map[string][]int{"Debug": {0}, "Info": {0}, "Warn": {0}, "Error": {0}, "Log": {2}, "log": {1}}
				for _, i := range at[fun.Sel.Name] {
					if len(call.Args) <= i {
						continue
					}
					if lit, ok := call.Args[i].(*ast.BasicLit); ok && lit.Kind == token.STRING {
						if text, err := strconv.Unquote(lit.Value); err == nil {
							code[text] = path
						}
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile("../../docs/fleet.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(page), "## What log lines say")
	if !ok {
		t.Fatal("the page has no table of log lines")
	}
	table, _, _ = strings.Cut(table, "\n## ")
	quoted := regexp.MustCompile("`([^`]+)`")
	said := map[string]bool{}
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || strings.HasPrefix(cells[1], " ---") || strings.HasPrefix(cells[1], " line") {
			continue
		}
		for _, m := range quoted.FindAllStringSubmatch(cells[1], -1) {
			said[m[1]] = true
		}
		if strings.TrimSpace(cells[2]) == "" {
			t.Errorf("%s: the page does not say what it means", cells[1])
		}
	}
	const module = "replica N: ...; closed for S" // the decision module's own words
	delete(said, module)
	for text, path := range code {
		if !said[text] {
			t.Errorf("%q (%s) is not explained in docs/fleet.md", text, path)
		}
		delete(said, text)
	}
	for text := range said {
		t.Errorf("%q is explained, and nothing logs it", text)
	}
	if len(code) < 20 {
		t.Errorf("only %d messages were found", len(code))
	}
}
