// Package tomlfile reads TOML strictly: an unknown key is an error, and every
// error names the file, the line, the key and the remedy.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// An Error is a fault in a TOML file.
type Error struct {
	File    string
	Line    int
	Key     string
	Message string
	Remedy  string
}

// Error returns "file:line: key: message (remedy)".
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		where += ": " + e.Key
	}
	return fmt.Sprintf("%s: %s (%s)", where, e.Message, e.Remedy)
}

// A Lines tells on which line a key stands. An element of an array of tables
// has its place, counted from 0, in its key: "target.2.address".
type KeyLines struct {
	file  string
	lines map[string]int
}

// Decode reads data into v and returns the lines of its keys.
func Decode(file string, data []byte, v any) (KeyLines, error) {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return KeyLines{}, explain(file, err)
	}
	return KeyLines{file: file, lines: index(data)}, nil
}

// Errorf returns an Error at the line of key, or of the nearest table around
// it where the key itself is missing.
func (l KeyLines) Errorf(key, remedy, format string, args ...any) *Error {
	return &Error{
		File:    l.file,
		Line:    l.line(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
		Remedy:  remedy,
	}
}

func (l KeyLines) line(key string) int {
	for key != "" {
		if n, ok := l.lines[key]; ok {
			return n
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

func explain(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		return decodeError(file, first, "unknown key", "remove it or mend its spelling")
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return decodeError(file, syntax, syntax.Error(), "mend the value or the syntax at this line")
	}
	return &Error{File: file, Message: err.Error(), Remedy: "mend the value"}
}

func decodeError(file string, err *toml.DecodeError, message, remedy string) error {
	line, _ := err.Position()
	return &Error{File: file, Line: line, Key: strings.Join(err.Key(), "."), Message: message, Remedy: remedy}
}

// index maps each key of a document that has already been decoded to its line.
func index(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	prefix := ""
	p := unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		key, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d.", key, counts[key])
			counts[key]++
			lines[strings.TrimSuffix(prefix, ".")] = line
		case unstable.Table:
			prefix = key + "."
			lines[key] = line
		case unstable.KeyValue:
			lines[prefix+key] = line
		default:
		}
	}
	return lines
}

func keyOf(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	it := e.Key()
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
