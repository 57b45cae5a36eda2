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

// The table of events is maintained by hand. Whenever a log call is added, renamed or removed, the table
// must change too, so that it contains every line and field, and none that is never logged.
func TestEventsMatchLogCalls(t *testing.T) {
	logged := loggedEvents(t)
	listed := map[string]explain.Event{}
	for _, event := range explain.Events() {
		require.NotContains(t, listed, event.Message, "listed twice")
		require.NotEmpty(t, event.Means, event.Message)
		listed[event.Message] = event
	}
	for message, fields := range logged {
		event, ok := listed[message]
		require.True(t, ok, "not in the table: %q with %v", message, fields)
		var names []string
		for _, field := range event.Fields {
			names = append(names, field.Name)
			require.NotEmpty(t, field.Means, "%s: %s", message, field.Name)
		}
		slices.Sort(names)
		require.Equal(t, fields, names, message)
	}
	for message := range listed {
		require.Contains(t, logged, message, "in the table, but never logged")
	}
}

func TestEventsPageIsCurrent(t *testing.T) {
	var page strings.Builder
	require.NoError(t, explain.PrintEvents(&page))
	if *update {
		require.NoError(t, os.WriteFile(eventsPage, []byte(page.String()), 0o600))
	}
	current, err := os.ReadFile(eventsPage)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(current), "run go test ./internal/explain -update")
}

// droppedLinesMessage is the message of the only line that is not written by a logger.
const droppedLinesMessage = "log lines dropped"

// loggedEvents returns the messages that the source code logs, with the sorted names of their fields.
// Lines at debug level are left out.
func loggedEvents(t *testing.T) map[string][]string {
	events := map[string][]string{droppedLinesMessage: {"count", "kinds"}}
	for _, root := range []string{"../../internal", "../../platform"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, decl := range file.Decls {
				if function, ok := decl.(*ast.FuncDecl); ok {
					addLoggedFields(function, events)
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

// logWrappers are functions that log a line with additional fields from their callers. firstField is the
// index of the first such argument.
var logWrappers = map[string]struct {
	message    string
	firstField int
}{
	"logEnd":  {"done", 4},
	"logSend": {"send", 5},
}

// messageArgument is the index of the message in the arguments of a logger's methods.
var messageArgument = map[string]int{"Info": 0, "Warn": 0, "Error": 0, "Log": 1}

// addLoggedFields adds the messages and field names of all log calls in a function.
func addLoggedFields(function *ast.FuncDecl, events map[string][]string) {
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if wrapper, ok := logWrappers[method.Sel.Name]; ok {
			events[wrapper.message] = append(events[wrapper.message], fieldNames(call.Args[min(wrapper.firstField, len(call.Args)):])...)
			return true
		}
		argument, ok := messageArgument[method.Sel.Name]
		if !ok || !isLogger(method.X) {
			return true
		}
		message, ok := stringLiteral(call.Args[argument])
		if !ok {
			return true
		}
		events[message] = append(events[message], fieldNames(call.Args[argument+1:])...)
		if call.Ellipsis.IsValid() {
			events[message] = append(events[message], builtFieldNames(function)...)
		}
		return true
	})
}

// isLogger reports whether an expression is a logger by its name: all loggers are named log or Log.
func isLogger(expression ast.Expr) bool {
	switch expression := expression.(type) {
	case *ast.Ident:
		return strings.EqualFold(expression.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(expression.Sel.Name, "log")
	}
	return false
}

// builtFieldNames returns the field names in the lists of fields that a function builds.
func builtFieldNames(function *ast.FuncDecl) []string {
	var list []string
	ast.Inspect(function, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit:
			list = append(list, fieldNames(n.Elts)...)
		case *ast.CallExpr:
			if called, ok := n.Fun.(*ast.Ident); ok && called.Name == "append" {
				list = append(list, fieldNames(n.Args[1:])...)
			}
		}
		return true
	})
	return list
}

// fieldNames returns the names from alternating names and values.
func fieldNames(args []ast.Expr) []string {
	var list []string
	for i := 0; i < len(args); i += 2 {
		if name, ok := stringLiteral(args[i]); ok {
			list = append(list, name)
		}
	}
	return list
}

// stringLiteral returns the value of an expression that is a string literal.
func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(literal.Value)
	return s, err == nil
}
