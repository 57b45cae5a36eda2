package explain_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/explain"
)

// Ten requests of two accounts: four in time, one of which came back; one late since it
// came back, one since its target was late already, one for no known reason; one refused
// twice beyond its share, once by an idle target; one refused for another reason; one that
// broke off.
func TestLossesTellWhyCallersWereNotServed(t *testing.T) {
	var log bytes.Buffer
	begin := time.Date(2026, 8, 26, 3, 0, 0, 0, time.UTC)
	line := func(at int, text string) {
		_, err := fmt.Fprintf(&log, `edge-1 {"@level":"info","@timestamp":%q,%s}`+"\n", begin.Add(time.Duration(at)*time.Millisecond).Format(time.RFC3339Nano), text)
		require.NoError(t, err)
	}
	send := func(at int, request string, predicted int) {
		line(at, fmt.Sprintf(`"@message":"send","request":%q,"predicted":%d`, request, predicted))
	}
	done := func(at int, request, account string, own, status, first int, more string) {
		line(at, fmt.Sprintf(`"@message":"done","aim":300,"request":%q,"route":"chat","account":%q,"own":%d,"shared":5,"status":%d,"first":%d,"took":%d%s`, request, account, own, status, first, first, more))
	}
	const share, within = `,"reason":"beyond the account's share"`, `,"within":true`
	for own := range 3 {
		done(1000+own, fmt.Sprint("in", own), "small", own, 200, 50, within)
	}
	done(2000, "a1", "large", 10, 429, 0, share+`,"load":0.5`)
	done(2150, "a2", "large", 10, 200, 50, "") // came after 100 ms: 150 in all
	done(3000, "b1", "large", 11, 429, 0, share+`,"load":0.9`)
	done(3350, "b2", "large", 11, 200, 50, "") // 350 in all
	send(4000, "c", 400)
	done(4500, "c", "large", 12, 200, 450, within)
	send(5000, "d", 20)
	done(5500, "d", "large", 13, 200, 450, within)
	done(6000, "e1", "large", 14, 429, 0, share+`,"load":0.2`)
	done(6100, "e2", "large", 14, 429, 0, share+`,"load":0.2,"queue":40`)
	done(7000, "f", "large", 15, 503, 0, `,"load":0.9`)
	done(8000, "g", "small", 16, 0, 40, within)

	file := filepath.Join(t.TempDir(), "edge.log")
	require.NoError(t, os.WriteFile(file, log.Bytes(), 0o600))
	sources := []explain.Source{explain.File(file)}
	var out bytes.Buffer
	for _, by := range explain.Groupings {
		list, err := explain.ReadLossStats(sources, by)
		require.NoError(t, err)
		require.NoError(t, explain.PrintLossStats(&out, list))
	}
	const golden = "testdata/losses.golden"
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}
