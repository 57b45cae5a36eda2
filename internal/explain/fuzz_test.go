package explain

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// memoryLog is a log in memory.
type memoryLog []byte

// Open implements Source.
func (t memoryLog) Open() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(t)), nil }

// Name implements Source.
func (memoryLog) Name() string { return "r1" }

// Any log gives a report with a cause, or an UnknownRequestError.
func FuzzLogs(f *testing.F) {
	f.Add([]byte(`r1 {"@message":"send","@timestamp":"2026-01-01T00:00:00Z","request":"mine","target":"t","born":-1,"result":"no answer","try":1}` + "\n" +
		`{"@message":"done","@timestamp":"2026-01-01T00:00:00Z","request":"mine","reason":"the target gave no answer"}`))
	f.Add([]byte(`{"@message":"done","@timestamp":"2026-01-01T00:00:00Z","request":"mine","took":9223372036854775807,"reason":"?"}` + "\n\xff\x00{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := Find("mine", []Source{memoryLog(data)})
		if err != nil {
			var unknown *UnknownRequestError
			require.ErrorAs(t, err, &unknown)
			return
		}
		require.NotEmpty(t, report.Cause().Why)
		require.NoError(t, report.Print(io.Discard))
	})
}
