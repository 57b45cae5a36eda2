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

var update = flag.Bool("update", false, "write the golden files anew")

// The logs are lines of real runs; each file's first line names the request.
func TestStories(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, log := range logs {
		t.Run(filepath.Base(log), func(t *testing.T) {
			data, err := os.ReadFile(log)
			require.NoError(t, err)
			first, _, _ := strings.Cut(string(data), "\n")
			id := strings.TrimPrefix(first, "# ")
			story, err := explain.Find(id, []explain.Source{explain.File(log)})
			require.NoError(t, err)
			var out bytes.Buffer
			require.NoError(t, story.Print(&out))
			golden := strings.TrimSuffix(log, ".log") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, out.Bytes(), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

func TestARequestThatNobodyLoggedIsAnError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r1.log")
	require.NoError(t, os.WriteFile(file, []byte("{\"@message\":\"done\",\"request\":\"other\"}\nno line\n"), 0o600))
	_, err := explain.Find("mine", []explain.Source{explain.File(file)})
	var unknown *explain.UnknownRequestError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "mine", unknown.ID)
}

// A process that is killed cannot say so: its next start, and what it did not write
// before, tell.
func TestARequestWithoutAnEndNamesTheFateOfItsProcess(t *testing.T) {
	line := func(at, message string) string {
		return `{"@message":"` + message + `","@timestamp":"2026-01-01T00:00:` + at + `Z"}` + "\n"
	}
	send := `{"@message":"send","@timestamp":"2026-01-01T00:00:10Z","request":"mine","target":"t"}` + "\n"
	for _, c := range []struct{ name, lines, why string }{
		{"hung", line("01", "start") + line("05", "stopping") + send + line("11", "stopped") + line("14", "start"), "nothing left in progress, and was killed"},
		{"cut", line("01", "start") + send + line("11", "stopping") + line("19", "start"), "was told to stop and was killed before it ended"},
		{"overdue", line("01", "start") + send + line("11", "stopping") + line("18", "overdue") + line("18", "stop"), "ended itself"},
		{"killed", line("01", "start") + send + line("19", "start"), "was killed, or crashed"},
		{"dropped", line("01", "start") + send + line("11", "stopping") + line("12", "stopped") + line("13", "stop") + line("19", "start"), "the line was dropped"},
		{"goes on", line("01", "start") + line("02", "stopping") + line("03", "stop") + line("04", "start") + send, "it is in progress"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "r1.log")
			require.NoError(t, os.WriteFile(file, []byte(c.lines), 0o600))
			story, err := explain.Find("mine", []explain.Source{explain.File(file)})
			require.NoError(t, err)
			require.Contains(t, story.Cause().Why, c.why)
		})
	}
}

func TestARequestWithoutAnEnd(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r1.log")
	line := `{"@message":"send","@timestamp":"2026-01-01T00:00:00Z","request":"mine","target":"t","result":"unrun"}`
	require.NoError(t, os.WriteFile(file, []byte(line+"\n"), 0o600))
	story, err := explain.Find("mine", []explain.Source{explain.File(file)})
	require.NoError(t, err)
	require.Contains(t, story.Cause().Why, "no line tells of its end")
	require.Equal(t, "r1", story.Lines[0].Process)
}

// Symptom: an engineer finds "unknown reason" where a cause should be.
// Sequence: a new reason is logged by routers.
// Cause: nobody put it into words here.
func TestEveryReasonHasACause(t *testing.T) {
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
		story := explain.RequestReport{ID: "mine", Lines: []explain.Line{{Message: "done", Reason: fleet.Reason(reason)}}}
		require.NotContains(t, story.Cause().Why, "unknown reason", reason)
		require.NotEmpty(t, story.Cause().Look, reason)
		return true
	})
	require.Greater(t, count, 20)
}

// Causes of answers that came late, by what their last attempt says.
func TestWhereTheTimeOfAnAnswerWent(t *testing.T) {
	for want, last := range map[string]explain.Line{
		"it was slower than it looked":  {First: 900, Predicted: 100, Try: 1},
		"were the work of others":       {First: 400, Predicted: 500, Queue: 400, Try: 1},
		"had to read 9000 tokens":       {First: 400, Predicted: 400, Unread: 9000, Home: true, Try: 1},
		"belong elsewhere":              {First: 400, Predicted: 400, Unread: 9000, Try: 1},
		"had 95% of its slots taken":    {First: 50, Predicted: 40, Load: 0.95, Try: 1},
		"by the attempt number 2":       {First: 50, Predicted: 40, Try: 2},
		"answered in 700 ms, the first": {First: 50, Predicted: 40, Try: 1},
		"itself answered 500":           {First: 50, Predicted: 40, Try: 1, Status: 500},
		"it is not failing in general":  {First: 900, Predicted: 100, Try: 1, Target: "t"},
		"failed 0 of 4 attempts":        {First: 900, Predicted: 100, Try: 1, Target: "t"},
	} {
		last.Message, last.Result = "send", fleet.AttemptAnswered
		end := explain.Line{Message: "done", Reason: fleet.ReasonAnswered, Status: max(last.Status, 200), Took: 700}
		story := explain.RequestReport{Lines: []explain.Line{last, end}}
		if last.Target != "" {
			story.Targets = map[explain.Incarnation]explain.AttemptCounts{{ID: "t"}: {fleet.AttemptAnswered: 4}}
			story.Pool = explain.AttemptCounts{fleet.AttemptAnswered: 9}
		}
		require.Contains(t, story.Cause().Why, want)
	}
}

// A request that is held back is explained by the ends under it, and by whose it is.
func TestWhyARequestIsHeldBack(t *testing.T) {
	story := explain.RequestReport{Lines: []explain.Line{{
		Message: "done", Reason: fleet.ReasonQuarantined, Status: 503, Ends: 3, Print: "e5Ym0IaA-ksrL0NoekFNyg",
	}}}
	cause := story.Cause()
	require.Contains(t, cause.Why, "3 targets have ended under requests like it")
	require.Contains(t, cause.Why, "e5Ym0IaA-ksrL0NoekFNyg")
	require.Contains(t, cause.Look, "lfctl held")
}

func TestWhoIsToBlame(t *testing.T) {
	tests := []struct {
		want       string
		here, pool explain.AttemptCounts
	}{
		{"it is the target", explain.AttemptCounts{fleet.AttemptNoAnswer: 5, fleet.AttemptAnswered: 5}, explain.AttemptCounts{fleet.AttemptNoAnswer: 6, fleet.AttemptAnswered: 100}},
		{"it is the whole pool", explain.AttemptCounts{fleet.AttemptNoAnswer: 5, fleet.AttemptAnswered: 5}, explain.AttemptCounts{fleet.AttemptNoAnswer: 50, fleet.AttemptAnswered: 50}},
		{"it is not failing in general", explain.AttemptCounts{fleet.AttemptNoAnswer: 1, fleet.AttemptAnswered: 50}, explain.AttemptCounts{fleet.AttemptNoAnswer: 6, fleet.AttemptAnswered: 100}},
	}
	for _, tt := range tests {
		story := explain.RequestReport{
			Lines: []explain.Line{
				{Message: "send", Result: fleet.AttemptNoAnswer, Target: "t", Left: 900},
				{Message: "done", Reason: fleet.ReasonNoAnswer, Status: 502, Sent: 1},
			},
			Targets: map[explain.Incarnation]explain.AttemptCounts{{ID: "t"}: tt.here}, Pool: tt.pool,
		}
		require.Contains(t, story.Cause().Why, tt.want)
	}
}

// Symptom: a request that was lost in a target's crash is put down to a target that
// answers all others.
// Sequence: the target starts again under its ID right after, and serves.
// Cause: attempts were told apart by the ID alone.
func TestATargetThatStartedAgainIsNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r1.log")
	lines := `{"@message":"send","@timestamp":"2026-01-01T00:00:00Z","request":"mine","target":"t","born":1000,"pool":"p","result":"no answer","left":900,"try":1}
{"@message":"done","@timestamp":"2026-01-01T00:00:00.1Z","request":"mine","pool":"p","reason":"the target gave no answer","status":502,"sent":1}
{"@message":"send","@timestamp":"2026-01-01T00:00:01Z","request":"other","target":"t","born":61500,"pool":"p","result":"answered","status":200,"try":1}
`
	require.NoError(t, os.WriteFile(file, []byte(lines), 0o600))
	story, err := explain.Find("mine", []explain.Source{explain.File(file)})
	require.NoError(t, err)
	require.Equal(t, 1, story.Targets[explain.Incarnation{ID: "t", StartMillis: 1000}].Total(), "the next run's attempts are not its own")
	text, err := json.Marshal(story)
	require.NoError(t, err)
	require.Contains(t, string(text), `"t (started 00:00:01.000)":{"no answer":1}`)
	require.Contains(t, story.Cause().Why, "the target started again under its ID at 00:01:01.500: the run that had the request is gone")
}

func TestWhoLacksTheKeepers(t *testing.T) {
	tests := []struct {
		want   string
		others explain.ReasonCounts
	}{
		{"this router was cut off", explain.ReasonCounts{fleet.ReasonAnswered: 100, fleet.ReasonKeysUnverifiable: 2}},
		{"nobody led the keepers", explain.ReasonCounts{fleet.ReasonAnswered: 10, fleet.ReasonKeysUnverifiable: 50}},
	}
	for _, tt := range tests {
		story := explain.RequestReport{Lines: []explain.Line{{Message: "done", Reason: fleet.ReasonKeysUnverifiable, Status: 503}}, Others: tt.others}
		require.Contains(t, story.Cause().Why, tt.want)
	}
}

func TestRequestsOfTheProductsOwnInterface(t *testing.T) {
	for want, end := range map[string]explain.Line{
		"refused: the queue is full":                      {Message: "refuse", Why: "the queue is full"},
		"the answer of target t, status 200, ended early": {Message: "end", Target: "t", Status: 200},
		"target t answered 500":                           {Message: "end", Target: "t", Status: 500, Whole: true},
	} {
		story := explain.RequestReport{Lines: []explain.Line{{Message: "route", Target: "t"}, end}}
		require.Equal(t, want, story.Cause().Why)
	}
}
