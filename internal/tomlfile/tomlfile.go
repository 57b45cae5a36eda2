// Package tomlfile decodes TOML files strictly: an unknown key is an error. Errors give the file, the
// line, the key and a remedy.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// An Error is an error in a TOML file.
type Error struct {
	File    string
	Line    int
	Key     string
	Message string
	Remedy  string
}

// Error returns "file:line: key: message (remedy)".
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		location += ": " + e.Key
	}
	return fmt.Sprintf("%s: %s (%s)", location, e.Message, e.Remedy)
}

// KeyLines holds the line number of each key in a file. A key in an array of tables contains the index
// of its element, counted from 0, as in "target.2.address".
type KeyLines struct {
	file      string
	lineOfKey map[string]int
}

// Decode decodes the data of a file into v and returns the lines of its keys. The error is an *Error.
func Decode(file string, data []byte, v any) (KeyLines, error) {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return KeyLines{}, convertError(file, err)
	}
	return KeyLines{file: file, lineOfKey: indexLines(data)}, nil
}

// Errorf returns an Error at the line of key or, if the file does not contain the key, of the innermost
// table that contains it.
func (l KeyLines) Errorf(key, remedy, format string, args ...any) *Error {
	return &Error{
		File:    l.file,
		Line:    l.lineOf(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
		Remedy:  remedy,
	}
}

// lineOf returns the line of the key or of the innermost table that contains it, or 0.
func (l KeyLines) lineOf(key string) int {
	for key != "" {
		if number, ok := l.lineOfKey[key]; ok {
			return number
		}
		lastDot := strings.LastIndexByte(key, '.')
		if lastDot < 0 {
			return 0
		}
		key = key[:lastDot]
	}
	return 0
}

// convertError returns an *Error for an error of the TOML decoder.
func convertError(file string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := &unknownKeys.Errors[0]
		return newError(file, first, "unknown key", "remove it or correct its spelling")
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		return newError(file, decodeError, decodeError.Error(), "mend the value or the syntax at this line")
	}
	return &Error{File: file, Message: err.Error(), Remedy: "mend the value"}
}

func newError(file string, err *toml.DecodeError, message, remedy string) error {
	line, _ := err.Position()
	return &Error{File: file, Line: line, Key: strings.Join(err.Key(), "."), Message: message, Remedy: remedy}
}

// indexLines returns the line of each key in a file that was decoded without errors.
func indexLines(data []byte) map[string]int {
	lineOfKey := make(map[string]int)
	elementCount := make(map[string]int)
	prefix := ""
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyAndLine(&parser, expression)
		switch expression.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d.", key, elementCount[key])
			elementCount[key]++
			lineOfKey[strings.TrimSuffix(prefix, ".")] = line
		case unstable.Table:
			prefix = key + "."
			lineOfKey[key] = line
		case unstable.KeyValue:
			lineOfKey[prefix+key] = line
		default:
		}
	}
	return lineOfKey
}

// keyAndLine returns the dotted key of an expression and its line.
func keyAndLine(parser *unstable.Parser, expression *unstable.Node) (string, int) {
	var parts []string
	line := 0
	iterator := expression.Key()
	for iterator.Next() {
		node := iterator.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
