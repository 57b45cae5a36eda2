package explain_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/explain"
	"laburnumfall/internal/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The logs are from real runs. The first line of each file contains the request ID.
func TestReportsOfRealLogs(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, logFile := range logs {
		t.Run(filepath.Base(logFile), func(t *testing.T) {
			data, err := os.ReadFile(logFile)
			require.NoError(t, err)
			firstLine, _, _ := strings.Cut(string(data), "\n")
			id := strings.TrimPrefix(firstLine, "# ")
			report, err := explain.Find(id, []explain.Source{explain.File(logFile)})
			require.NoError(t, err)
			var out bytes.Buffer
			require.NoError(t, report.Print(&out))
			golden := strings.TrimSuffix(logFile, ".log") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, out.Bytes(), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

func TestUnknownRequestIsError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r1.log")
	require.NoError(t, os.WriteFile(file, []byte("{\"@message\":\"done\",\"request\":\"other\"}\nno line\n"), 0o600))
	_, err := explain.Find("mine", []explain.Source{explain.File(file)})
	var unknown *explain.UnknownRequestError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "mine", unknown.ID)
}

// A killed process logs nothing about its end, so the cause has to be derived from its next start and
// from the lines that are missing before it.
func TestCauseWithoutEndFromProcessLifecycle(t *testing.T) {
	line := func(second, message string) string {
		return `{"@message":"` + message + `","@timestamp":"2026-01-01T00:00:` + second + `Z"}` + "\n"
	}
	send := `{"@message":"send","@timestamp":"2026-01-01T00:00:10Z","request":"mine","target":"t"}` + "\n"
	for _, tt := range []struct{ name, lines, why string }{
		{"hung", line("01", "start") + line("05", "stopping") + send + line("11", "stopped") + line("14", "start"), "killed during a shutdown, after all requests in progress had ended"},
		{"cut", line("01", "start") + send + line("11", "stopping") + line("19", "start"), "its router was killed during a shutdown"},
		{"overdue", line("01", "start") + send + line("11", "stopping") + line("18", "overdue") + line("18", "stop"), "ended itself"},
		{"killed", line("01", "start") + send + line("19", "start"), "was killed, or crashed"},
		{"dropped", line("01", "start") + send + line("11", "stopping") + line("12", "stopped") + line("13", "stop") + line("19", "start"), "the line was dropped"},
		{"goes on", line("01", "start") + line("02", "stopping") + line("03", "stop") + line("04", "start") + send, "it is in progress"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "r1.log")
			require.NoError(t, os.WriteFile(file, []byte(tt.lines), 0o600))
			report, err := explain.Find("mine", []explain.Source{explain.File(file)})
			require.NoError(t, err)
			require.Contains(t, report.Cause().Why, tt.why)
		})
	}
}

func TestCauseWithoutEnd(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r1.log")
	line := `{"@message":"send","@timestamp":"2026-01-01T00:00:00Z","request":"mine","target":"t","result":"unrun"}`
	require.NoError(t, os.WriteFile(file, []byte(line+"\n"), 0o600))
	report, err := explain.Find("mine", []explain.Source{explain.File(file)})
	require.NoError(t, err)
	require.Contains(t, report.Cause().Why, "there is no line about its end")
	require.Equal(t, "r1", report.Lines[0].Process)
}

// A new reason in package fleet must get an explanation, or operators see "unknown reason".
func TestEveryReasonHasCause(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../fleet/reason.go", nil, 0)
	require.NoError(t, err)
	count := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		require.True(t, ok)
		reason, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		count++
		if fleet.Reason(reason) == fleet.ReasonTruncatedPrefix {
			reason += string(fleet.ReasonStreamTruncated)
		}
		report := explain.RequestReport{ID: "mine", Lines: []explain.Line{{Message: "done", Reason: fleet.Reason(reason)}}}
		require.NotContains(t, report.Cause().Why, "unknown reason", reason)
		require.NotEmpty(t, report.Cause().Look, reason)
		return true
	})
	require.Greater(t, count, 20)
}

// The cause of a late answer follows from the line of its last attempt.
func TestCauseOfLateAnswer(t *testing.T) {
	for want, attempt := range map[string]explain.Line{
		"it was slower than predicted":       {FirstByte: 900, PredictedFirstByte: 100, Attempt: 1},
		"were for requests before it":        {FirstByte: 400, PredictedFirstByte: 500, QueueTime: 400, Attempt: 1},
		"had to prefill 9000 tokens":         {FirstByte: 400, PredictedFirstByte: 400, UncachedTokens: 9000, CachedAtTarget: true, Attempt: 1},
		"cached at another target":           {FirstByte: 400, PredictedFirstByte: 400, UncachedTokens: 9000, Attempt: 1},
		"had 95% of its slots in use":        {FirstByte: 50, PredictedFirstByte: 40, Load: 0.95, Attempt: 1},
		"by attempt number 2":                {FirstByte: 50, PredictedFirstByte: 40, Attempt: 2},
		"answered in 700 ms, with the first": {FirstByte: 50, PredictedFirstByte: 40, Attempt: 1},
		"itself answered 500":                {FirstByte: 50, PredictedFirstByte: 40, Attempt: 1, Status: 500},
		"it does not fail in general":        {FirstByte: 900, PredictedFirstByte: 100, Attempt: 1, Target: "t"},
		"failed 0 of 4 attempts":             {FirstByte: 900, PredictedFirstByte: 100, Attempt: 1, Target: "t"},
	} {
		attempt.Message, attempt.Result = "send", fleet.AttemptAnswered
		end := explain.Line{Message: "done", Reason: fleet.ReasonAnswered, Status: max(attempt.Status, 200), Duration: 700}
		report := explain.RequestReport{Lines: []explain.Line{attempt, end}}
		if attempt.Target != "" {
			report.TargetAttempts = map[explain.Incarnation]explain.AttemptCounts{{ID: "t"}: {fleet.AttemptAnswered: 4}}
			report.PoolAttempts = explain.AttemptCounts{fleet.AttemptAnswered: 9}
		}
		require.Contains(t, report.Cause().Why, want)
	}
}

// The cause of a quarantined request names the number of ended targets and the fingerprint.
func TestCauseOfQuarantine(t *testing.T) {
	report := explain.RequestReport{Lines: []explain.Line{{
		Message: "done", Reason: fleet.ReasonQuarantined, Status: 503, TargetEnds: 3, Fingerprint: "e5Ym0IaA-ksrL0NoekFNyg",
	}}}
	cause := report.Cause()
	require.Contains(t, cause.Why, "3 targets have ended while they ran requests like it")
	require.Contains(t, cause.Why, "e5Ym0IaA-ksrL0NoekFNyg")
	require.Contains(t, cause.Look, "lfctl held")
}

func TestBlamesTargetOrPool(t *testing.T) {
	tests := []struct {
		want         string
		target, pool explain.AttemptCounts
	}{
		{"it is the target", explain.AttemptCounts{fleet.AttemptNoAnswer: 5, fleet.AttemptAnswered: 5}, explain.AttemptCounts{fleet.AttemptNoAnswer: 6, fleet.AttemptAnswered: 100}},
		{"it is the whole pool", explain.AttemptCounts{fleet.AttemptNoAnswer: 5, fleet.AttemptAnswered: 5}, explain.AttemptCounts{fleet.AttemptNoAnswer: 50, fleet.AttemptAnswered: 50}},
		{"it does not fail in general", explain.AttemptCounts{fleet.AttemptNoAnswer: 1, fleet.AttemptAnswered: 50}, explain.AttemptCounts{fleet.AttemptNoAnswer: 6, fleet.AttemptAnswered: 100}},
	}
	for _, tt := range tests {
		report := explain.RequestReport{
			Lines: []explain.Line{
				{Message: "send", Result: fleet.AttemptNoAnswer, Target: "t", TimeLeft: 900},
				{Message: "done", Reason: fleet.ReasonNoAnswer, Status: 502, Sent: 1},
			},
			TargetAttempts: map[explain.Incarnation]explain.AttemptCounts{{ID: "t"}: tt.target}, PoolAttempts: tt.pool,
		}
		require.Contains(t, report.Cause().Why, tt.want)
	}
}

// If a target crashes and restarts with the same ID, attempts at the new incarnation must not count for
// the old one. Otherwise the cause is a target that seems to answer all other requests.
func TestDistinguishesRestartedTargets(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r1.log")
	lines := `{"@message":"send","@timestamp":"2026-01-01T00:00:00Z","request":"mine","target":"t","born":1000,"pool":"p","result":"no answer","left":900,"try":1}
{"@message":"done","@timestamp":"2026-01-01T00:00:00.1Z","request":"mine","pool":"p","reason":"the target gave no answer","status":502,"sent":1}
{"@message":"send","@timestamp":"2026-01-01T00:00:01Z","request":"other","target":"t","born":61500,"pool":"p","result":"answered","status":200,"try":1}
`
	require.NoError(t, os.WriteFile(file, []byte(lines), 0o600))
	report, err := explain.Find("mine", []explain.Source{explain.File(file)})
	require.NoError(t, err)
	require.Equal(t, 1, report.TargetAttempts[explain.Incarnation{ID: "t", StartMillis: 1000}].Total(), "attempts at the next incarnation do not count")
	text, err := json.Marshal(report)
	require.NoError(t, err)
	require.Contains(t, string(text), `"t (started 00:00:01.000)":{"no answer":1}`)
	require.Contains(t, report.Cause().Why, "the target restarted with the same ID at 00:01:01.500, which ended the request")
}

func TestBlamesRouterOrKeepers(t *testing.T) {
	tests := []struct {
		want   string
		others explain.ReasonCounts
	}{
		{"this router was cut off", explain.ReasonCounts{fleet.ReasonAnswered: 100, fleet.ReasonKeysUnverifiable: 2}},
		{"the keepers had no leader", explain.ReasonCounts{fleet.ReasonAnswered: 10, fleet.ReasonKeysUnverifiable: 50}},
	}
	for _, tt := range tests {
		report := explain.RequestReport{Lines: []explain.Line{{Message: "done", Reason: fleet.ReasonKeysUnverifiable, Status: 503}}, OtherProcessReasons: tt.others}
		require.Contains(t, report.Cause().Why, tt.want)
	}
}

func TestCauseOfEventRequests(t *testing.T) {
	for want, end := range map[string]explain.Line{
		"refused: the queue is full":                      {Message: "refuse", Why: "the queue is full"},
		"the answer of target t, status 200, ended early": {Message: "end", Target: "t", Status: 200},
		"target t answered 500":                           {Message: "end", Target: "t", Status: 500, Complete: true},
	} {
		report := explain.RequestReport{Lines: []explain.Line{{Message: "route", Target: "t"}, end}}
		require.Equal(t, want, report.Cause().Why)
	}
}
