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

// TestEveryLogMessageIsDocumented: the table of log messages in docs/fleet.md explains every message in the code of a node,
// and lists no other message.
func TestEveryLogMessageIsDocumented(t *testing.T) {
	logged := map[string]string{}
	for _, root := range []string{".", "../control", "../dialect"} {
		collectMessages(t, root, logged)
	}
	documented := documentedMessages(t)
	delete(documented, "engine N: ...; ejected for S") // the decision module's own message
	for message, path := range logged {
		if !documented[message] {
			t.Errorf("docs/fleet.md does not explain %q (%s)", message, path)
		}
		delete(documented, message)
	}
	for message := range documented {
		t.Errorf("docs/fleet.md explains %q, but no code logs it", message)
	}
	if len(logged) < 20 {
		t.Errorf("found only %d messages in the code", len(logged))
	}
}

// collectMessages adds the constant log messages of the code under root to messages, each with its file.
func collectMessages(t *testing.T, root string, messages map[string]string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if message, ok := loggedMessage(call); ok {
					messages[message] = path
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

// loggedMessage returns the message of a call to a logging method; ok is false for other calls and for messages that are
// not constant.
func loggedMessage(call *ast.CallExpr) (message string, ok bool) {
	fun, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	// Index of the message among the arguments. The log methods of reducers have the level first.
	index, ok := map[string]int{"Debug": 0, "Info": 0, "Warn": 0, "Error": 0, "Log": 2, "log": 1}[fun.Sel.Name]
	if !ok || len(call.Args) <= index {
		return "", false
	}
	lit, ok := call.Args[index].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(lit.Value)
	return message, err == nil
}

// documentedMessages returns the messages of the table in docs/fleet.md, and fails the test for a row without a meaning.
func documentedMessages(t *testing.T) map[string]bool {
	t.Helper()
	page, err := os.ReadFile("../../docs/fleet.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(page), "## What log lines say")
	if !ok {
		t.Fatal("docs/fleet.md has no table of log lines")
	}
	table, _, _ = strings.Cut(table, "\n## ")
	quoted := regexp.MustCompile("`([^`]+)`")
	messages := map[string]bool{}
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || strings.HasPrefix(cells[1], " ---") || strings.HasPrefix(cells[1], " line") {
			continue
		}
		for _, m := range quoted.FindAllStringSubmatch(cells[1], -1) {
			messages[m[1]] = true
		}
		if strings.TrimSpace(cells[2]) == "" {
			t.Errorf("%s: docs/fleet.md has no meaning for it", cells[1])
		}
	}
	return messages
}
