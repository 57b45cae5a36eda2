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

// Ten requests of two accounts: four on time, one of them after a refusal; one late because of a refusal,
// one late as predicted, and one late for another reason; one refused twice for exceeding its account's
// share, one of these times by an idle target; one refused for another reason; and one truncated.
func TestLossStatsByCause(t *testing.T) {
	var logText bytes.Buffer
	begin := time.Date(2026, 8, 26, 3, 0, 0, 0, time.UTC)
	line := func(millis int, text string) {
		_, err := fmt.Fprintf(&logText, `edge-1 {"@level":"info","@timestamp":%q,%s}`+"\n", begin.Add(time.Duration(millis)*time.Millisecond).Format(time.RFC3339Nano), text)
		require.NoError(t, err)
	}
	send := func(millis int, request string, predicted int) {
		line(millis, fmt.Sprintf(`"@message":"send","request":%q,"predicted":%d`, request, predicted))
	}
	done := func(millis int, request, account string, own, status, first int, moreFields string) {
		line(millis, fmt.Sprintf(`"@message":"done","aim":300,"request":%q,"route":"chat","account":%q,"own":%d,"shared":5,"status":%d,"first":%d,"took":%d%s`, request, account, own, status, first, first, moreFields))
	}
	const overShare, within = `,"reason":"beyond the account's share"`, `,"within":true`
	for own := range 3 {
		done(1000+own, fmt.Sprint("in", own), "small", own, 200, 50, within)
	}
	done(2000, "a1", "large", 10, 429, 0, overShare+`,"load":0.5`)
	done(2150, "a2", "large", 10, 200, 50, "") // arrived 100 ms after the first attempt: 150 ms in total
	done(3000, "b1", "large", 11, 429, 0, overShare+`,"load":0.9`)
	done(3350, "b2", "large", 11, 200, 50, "") // 350 ms in total
	send(4000, "c", 400)
	done(4500, "c", "large", 12, 200, 450, within)
	send(5000, "d", 20)
	done(5500, "d", "large", 13, 200, 450, within)
	done(6000, "e1", "large", 14, 429, 0, overShare+`,"load":0.2`)
	done(6100, "e2", "large", 14, 429, 0, overShare+`,"load":0.2,"queue":40`)
	done(7000, "f", "large", 15, 503, 0, `,"load":0.9`)
	done(8000, "g", "small", 16, 0, 40, within)

	file := filepath.Join(t.TempDir(), "edge.log")
	require.NoError(t, os.WriteFile(file, logText.Bytes(), 0o600))
	sources := []explain.Source{explain.File(file)}
	var out bytes.Buffer
	for _, grouping := range explain.Groupings {
		list, err := explain.ReadLossStats(sources, grouping)
		require.NoError(t, err)
		require.NoError(t, explain.PrintLossStats(&out, list))
	}
	const golden = "testdata/losses.golden"
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}
