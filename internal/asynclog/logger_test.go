package asynclog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type word string

type pair struct {
	A int    `json:"a"`
	B string `json:"b"`
}

// fields returns what a line holds, but for its time.
func fields(t require.TestingT, line []byte) map[string]any {
	var got map[string]any
	require.NoError(t, json.Unmarshal(line, &got), string(line))
	delete(got, "@timestamp")
	return got
}

// Whatever is logged, the line holds what hclog's holds.
func TestLinesHoldWhatThoseOfHclogHold(t *testing.T) {
	values := []any{
		"plain", "with \"quotes\"", "Addis \u2028 አዲስ", "\xff\x00", 7, int64(-9), uint64(1) << 63, 0.25, 1e21, true, nil, word("typed"),
		errors.New("an error: <&>"), 3 * time.Second, time.Unix(1e9, 0).UTC(),
		[]string{"a", "b"},
		map[string]int{"x": 1},
		pair{1, "x"},
		&pair{2, "y"},
	}
	rapid.Check(t, func(t *rapid.T) {
		var args []any
		keys := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z]{1,8}`), rapid.ID[string]).Draw(t, "keys")
		for _, key := range keys {
			args = append(args, key, values[rapid.IntRange(0, len(values)-1).Draw(t, "value")])
		}
		if rapid.IntRange(0, 5).Draw(t, "odd") == 0 {
			args = append(args, "without a value")
		}
		msg := rapid.SampledFrom([]string{"done", "odd \"text\"\n"}).Draw(t, "message")
		level := rapid.SampledFrom([]hclog.Level{hclog.Debug, hclog.Info, hclog.Warn, hclog.Error}).Draw(t, "level")
		var want, got bytes.Buffer
		hclog.New(&hclog.LoggerOptions{Name: "lf-router", Level: hclog.Info, JSONFormat: true, Output: &want}).Log(level, msg, args...)
		NewLogger(hclog.LoggerOptions{Name: "lf-router", Level: hclog.Info, JSONFormat: true, Output: &got}).Log(level, msg, args...)
		if want.Len() == 0 {
			require.Zero(t, got.Len())
			return
		}
		require.Equal(t, fields(t, want.Bytes()), fields(t, got.Bytes()))
	})
}

// Guards against a line that no reader can take.
func TestWhatCannotBeEncodedIsText(t *testing.T) {
	for _, v := range []any{math.NaN(), math.Inf(1), make(chan int), func() {}} {
		var b bytes.Buffer
		NewLogger(hclog.LoggerOptions{Level: hclog.Info, JSONFormat: true, Output: &b}).Info("m", "value", v)
		require.IsType(t, "", fields(t, b.Bytes())["value"])
	}
}

// The ring finds level and message of the lines.
func TestTheRingKnowsTheLines(t *testing.T) {
	var b bytes.Buffer
	l := NewLogger(hclog.LoggerOptions{Name: "lf-router", Level: hclog.Info, JSONFormat: true, Output: &b})
	l.Warn("done", "status", 429)
	require.True(t, urgent(b.Bytes()))
	require.Equal(t, "done", string(message(b.Bytes())))
	b.Reset()
	l.Info("done")
	require.False(t, urgent(b.Bytes()))
}

// BenchmarkLine measures the line of a request's end: 17 us and 49 allocations by hclog,
// 1.5 us and one by Logger, on a shared machine (one run).
func BenchmarkLine(b *testing.B) {
	o := hclog.LoggerOptions{Name: "lf-router", Level: hclog.Info, JSONFormat: true, Output: io.Discard}
	for name, l := range map[string]hclog.Logger{"hclog": hclog.New(&o), "own": NewLogger(o)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.Info("done", "request", "9c41d07be2a35f68", "status", 200, "reason", word("answered"), "route", "r-j6q5rmm", "pool", "huvo11a",
					"account", "hule930", "sent", 1, "took", int64(812), "aim", int64(600), "within", true, "first", int64(79), "own", 2890, "shared", 6300)
			}
		})
	}
}
