package explain_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/explain"
)

const eventsPage = "../../docs/EVENTS.md"

// Symptom: an engineer finds a line, or a field, that no page explains; or looks for
// one that is never written.
// Sequence: a log call is added, renamed or dropped.
// Cause: the table of events is kept by hand.
func TestTheTableOfEventsIsWhatTheCodeLogs(t *testing.T) {
	logged := loggedEvents(t)
	listed := map[string]explain.Event{}
	for _, e := range explain.Events() {
		require.NotContains(t, listed, e.Message, "listed twice")
		require.NotEmpty(t, e.Means, e.Message)
		listed[e.Message] = e
	}
	for message, fields := range logged {
		e, ok := listed[message]
		require.True(t, ok, "not in the table: %q with %v", message, fields)
		var names []string
		for _, f := range e.Fields {
			names = append(names, f.Name)
			require.NotEmpty(t, f.Means, "%s: %s", message, f.Name)
		}
		slices.Sort(names)
		require.Equal(t, fields, names, message)
	}
	for message := range listed {
		require.Contains(t, logged, message, "in the table, but never logged")
	}
}

func TestThePageOfEventsIsTheTable(t *testing.T) {
	var page strings.Builder
	require.NoError(t, explain.PrintEvents(&page))
	if *update {
		require.NoError(t, os.WriteFile(eventsPage, []byte(page.String()), 0o600))
	}
	have, err := os.ReadFile(eventsPage)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(have), "run go test ./internal/explain -update")
}

// messageOfRing is of the only line that no logger writes.
const messageOfRing = "log lines dropped"

// loggedEvents reads from the sources which messages are logged, with the names of
// their fields in order. Lines for developers (debug) are left out.
func loggedEvents(t *testing.T) map[string][]string {
	events := map[string][]string{messageOfRing: {"count", "kinds"}}
	for _, root := range []string{"../../internal", "../../platform"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, decl := range file.Decls {
				if f, ok := decl.(*ast.FuncDecl); ok {
					readCalls(f, events)
				}
			}
			return nil
		}))
	}
	for message, fields := range events {
		slices.Sort(fields)
		events[message] = slices.Compact(fields)
	}
	return events
}

// wrappers are functions that write a line with fields that their callers add, and
// from which argument on.
var wrappers = map[string]struct {
	message string
	from    int
}{
	"logEnd":  {"done", 4},
	"logSend": {"send", 5},
}

// messageAt is which argument of a logger's methods is the message.
var messageAt = map[string]int{"Info": 0, "Warn": 0, "Error": 0, "Log": 1}

func readCalls(f *ast.FuncDecl, events map[string][]string) {
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if w, ok := wrappers[method.Sel.Name]; ok {
			events[w.message] = append(events[w.message], names(call.Args[min(w.from, len(call.Args)):])...)
			return true
		}
		at, ok := messageAt[method.Sel.Name]
		if !ok || !isLogger(method.X) {
			return true
		}
		message, ok := text(call.Args[at])
		if !ok {
			return true
		}
		events[message] = append(events[message], names(call.Args[at+1:])...)
		if call.Ellipsis.IsValid() {
			events[message] = append(events[message], built(f)...)
		}
		return true
	})
}

// isLogger goes by the name: all loggers are called log or Log.
func isLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(x.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "log")
	}
	return false
}

// built returns the names in lists of fields that a function puts together.
func built(f *ast.FuncDecl) []string {
	var list []string
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit:
			list = append(list, names(n.Elts)...)
		case *ast.CallExpr:
			if fun, ok := n.Fun.(*ast.Ident); ok && fun.Name == "append" {
				list = append(list, names(n.Args[1:])...)
			}
		}
		return true
	})
	return list
}

// names returns the names among names and values in turn.
func names(args []ast.Expr) []string {
	var list []string
	for i := 0; i < len(args); i += 2 {
		if name, ok := text(args[i]); ok {
			list = append(list, name)
		}
	}
	return list
}

func text(x ast.Expr) (string, bool) {
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(literal.Value)
	return s, err == nil
}
