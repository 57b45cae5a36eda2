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

// timeFormat is the time format of hclog.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// A Logger writes the same JSON lines as hclog, but field by field. hclog makes a map of each line and
// encodes it by reflection, which costs a router more CPU time than its placement decisions. Methods
// that Logger does not override are those of hclog. Create it with NewLogger.
type Logger struct {
	hclog.Logger

	out     io.Writer
	now     func() time.Time
	buffers sync.Pool
}

var _ hclog.Logger = &Logger{}

// NewLogger returns a logger of JSON lines with the name, level and output of the options. Fields are in
// the order of the arguments. If two have the same key, readers of JSON use the last one.
func NewLogger(options hclog.LoggerOptions) *Logger {
	return &Logger{
		Logger: hclog.New(&options), out: options.Output, now: time.Now,
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
		return // cannot happen: the pool holds only buffers
	}
	defer l.buffers.Put(buf)
	*buf = l.appendLine((*buf)[:0], level, msg, args)
	_, _ = l.out.Write(*buf) // a broken log must not stop the process
}

// Debug implements hclog.Logger.
func (l *Logger) Debug(msg string, args ...any) { l.Log(hclog.Debug, msg, args...) }

// Info implements hclog.Logger.
func (l *Logger) Info(msg string, args ...any) { l.Log(hclog.Info, msg, args...) }

// Warn implements hclog.Logger.
func (l *Logger) Warn(msg string, args ...any) { l.Log(hclog.Warn, msg, args...) }

// Error implements hclog.Logger.
func (l *Logger) Error(msg string, args ...any) { l.Log(hclog.Error, msg, args...) }

// appendLine appends a line. The level and message are the first fields, where Writer expects them.
func (l *Logger) appendLine(buf []byte, level hclog.Level, msg string, args []any) []byte {
	buf = append(buf, `{"@level":"`...)
	buf = append(buf, level.String()...)
	buf = append(buf, `","@message":`...)
	buf = appendString(buf, msg)
	if name := l.Name(); name != "" {
		buf = append(buf, `,"@module":`...)
		buf = appendString(buf, name)
	}
	buf = append(buf, `,"@timestamp":"`...)
	buf = l.now().AppendFormat(buf, timeFormat)
	buf = append(buf, '"')
	if len(args)%2 != 0 {
		last := args[len(args)-1]
		args = append(append([]any(nil), args[:len(args)-1]...), hclog.MissingKey, last)
	}
	for i := 0; i+1 < len(args); i += 2 {
		buf = append(buf, ',')
		buf = appendString(buf, keyText(args[i]))
		buf = append(buf, ':')
		buf = appendValue(buf, args[i+1])
	}
	return append(buf, "}\n"...)
}

func keyText(key any) string {
	if s, ok := key.(string); ok {
		return s
	}
	return fmt.Sprint(key)
}

// appendValue appends a value as JSON.
func appendValue(buf []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(buf, "null"...)
	case string:
		return appendString(buf, v)
	case int:
		return strconv.AppendInt(buf, int64(v), 10)
	case int64:
		return strconv.AppendInt(buf, v, 10)
	case uint64:
		return strconv.AppendUint(buf, v, 10)
	case bool:
		return strconv.AppendBool(buf, v)
	case float64:
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			return strconv.AppendFloat(buf, v, 'g', -1, 64)
		}
		return appendString(buf, strconv.FormatFloat(v, 'g', -1, 64))
	case json.Marshaler, encoding.TextMarshaler:
		return appendJSON(buf, v)
	case error:
		return appendString(buf, v.Error())
	}
	if value := reflect.ValueOf(v); value.Kind() == reflect.String {
		return appendString(buf, value.String())
	}
	return appendJSON(buf, v)
}

// appendJSON appends a value as encoding/json encodes it. If that fails, it appends a string with the
// value and the error.
func appendJSON(buf []byte, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return appendString(buf, fmt.Sprintf("%v (not encoded: %v)", v, err))
	}
	return append(buf, data...)
}

// appendString appends a JSON string. Strings of printable ASCII characters without quotes and
// backslashes, which need no escaping, are copied.
func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendJSON(buf, s)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}
