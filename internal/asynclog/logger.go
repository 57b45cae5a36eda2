package asynclog

import (
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// timeFormat is that of hclog's lines.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// A Logger writes the JSON lines of hclog field by field. hclog makes a map of each line and
// encodes it by reflection, which takes a router more processor time than its decisions. What
// Logger does not override, hclog does. Make it by NewLogger.
type Logger struct {
	hclog.Logger

	out     io.Writer
	now     func() time.Time
	buffers sync.Pool
}

var _ hclog.Logger = &Logger{}

// NewLogger returns a logger of JSON lines with the name and level of the options. Fields
// come in the order of the arguments; of two with one key, readers take the last.
func NewLogger(o hclog.LoggerOptions) *Logger {
	return &Logger{
		Logger: hclog.New(&o), out: o.Output, now: time.Now,
		buffers: sync.Pool{New: func() any { return new([]byte) }},
	}
}

// Log implements hclog.Logger.
func (l *Logger) Log(level hclog.Level, msg string, args ...any) {
	if level < l.GetLevel() {
		return
	}
	buf, ok := l.buffers.Get().(*[]byte)
	if !ok {
		return // the pool holds nothing else
	}
	defer l.buffers.Put(buf)
	*buf = l.line((*buf)[:0], level, msg, args)
	_, _ = l.out.Write(*buf) // a log that takes nothing is no reason to stop
}

// Debug implements hclog.Logger.
func (l *Logger) Debug(msg string, args ...any) { l.Log(hclog.Debug, msg, args...) }

// Info implements hclog.Logger.
func (l *Logger) Info(msg string, args ...any) { l.Log(hclog.Info, msg, args...) }

// Warn implements hclog.Logger.
func (l *Logger) Warn(msg string, args ...any) { l.Log(hclog.Warn, msg, args...) }

// Error implements hclog.Logger.
func (l *Logger) Error(msg string, args ...any) { l.Log(hclog.Error, msg, args...) }

// line appends a line. Its level and message come first, where Writer looks for them.
func (l *Logger) line(b []byte, level hclog.Level, msg string, args []any) []byte {
	b = append(b, `{"@level":"`...)
	b = append(b, level.String()...)
	b = append(b, `","@message":`...)
	b = appendText(b, msg)
	if name := l.Name(); name != "" {
		b = append(b, `,"@module":`...)
		b = appendText(b, name)
	}
	b = append(b, `,"@timestamp":"`...)
	b = l.now().AppendFormat(b, timeFormat)
	b = append(b, '"')
	if len(args)%2 != 0 {
		last := args[len(args)-1]
		args = append(append([]any(nil), args[:len(args)-1]...), hclog.MissingKey, last)
	}
	for i := 0; i+1 < len(args); i += 2 {
		b = append(b, ',')
		b = appendText(b, keyOf(args[i]))
		b = append(b, ':')
		b = appendValue(b, args[i+1])
	}
	return append(b, "}\n"...)
}

func keyOf(key any) string {
	if s, ok := key.(string); ok {
		return s
	}
	return fmt.Sprint(key)
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(b, "null"...)
	case string:
		return appendText(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case bool:
		return strconv.AppendBool(b, v)
	case float64:
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			return strconv.AppendFloat(b, v, 'g', -1, 64)
		}
		return appendText(b, strconv.FormatFloat(v, 'g', -1, 64))
	case json.Marshaler, encoding.TextMarshaler:
		return appendJSON(b, v)
	case error:
		return appendText(b, v.Error())
	}
	if r := reflect.ValueOf(v); r.Kind() == reflect.String {
		return appendText(b, r.String())
	}
	return appendJSON(b, v)
}

// appendJSON appends what the library makes of a value, or says why it makes nothing.
func appendJSON(b []byte, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return appendText(b, fmt.Sprintf("%v (not encoded: %v)", v, err))
	}
	return append(b, data...)
}

// appendText appends a text in quotes. One of plain characters needs no look at each rune.
func appendText(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendJSON(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
