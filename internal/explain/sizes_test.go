package explain_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/explain"
)

// Twenty prompts: the two largest are refused, one of them twice, and the next four are refused once and
// then served.
func TestSizeStats(t *testing.T) {
	var logText bytes.Buffer
	done := func(own, status, took int) {
		_, err := fmt.Fprintf(&logText, `edge-1 {"@level":"info","@message":"done","@timestamp":"2026-08-26T03:27:37Z","route":"r","account":"a","own":%d,"shared":100,"status":%d,"took":%d}`+"\n", own, status, took)
		require.NoError(t, err)
	}
	for i := 1; i <= 20; i++ {
		switch {
		case i > 18:
			done(i, 429, 2*i)
		case i > 14:
			done(i, 503, i)
			done(i, 200, 300)
		default:
			done(i, 200, 300)
		}
	}
	done(20, 429, 50)
	logText.WriteString(`edge-1 {"@level":"info","@message":"done","@timestamp":"2026-08-26T03:27:37Z","route":"plain","status":200}` + "\n")

	file := filepath.Join(t.TempDir(), "r1.log")
	require.NoError(t, os.WriteFile(file, logText.Bytes(), 0o600))
	list, err := explain.ReadSizeStats([]explain.Source{explain.File(file)})
	require.NoError(t, err)
	require.Equal(t, []explain.SizeStats{{Route: "r", Requests: 20, Served: 0.9, ServedNextFifth: 1, ServedLargestTenth: 0, RefusedAttempts: 7, RefusalP50: 18, RefusalP99: 50}}, list)

	var out bytes.Buffer
	require.NoError(t, explain.PrintSizeStats(&out, list))
	require.Equal(t, `route             requests  served   fifth largest  refused   p50 ms   p99 ms
r                       20   0.900   1.000   0.000        7       18       50
`, out.String())
}
