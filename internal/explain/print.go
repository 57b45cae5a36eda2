package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Print writes the report as text: the lines of the request, the state of its processes with the age of
// each line, the counts of other requests, and the cause.
func (r *RequestReport) Print(w io.Writer) error {
	out := printer{w: w, start: r.Arrived()}
	out.printf("request %s\n", r.ID)
	if end := r.End(); end != nil {
		out.printf("  route %s, pool %s, account %s: status %d after %d ms, sent to %d\n", orNone(end.Route), orNone(end.Pool), orNone(end.Account), end.Status, end.Duration, end.Sent)
	}
	out.printf("\nits lines\n")
	for _, line := range r.Lines {
		out.line(line)
	}
	if len(r.LastStateLines) > 0 {
		out.printf("\nwhat its processes knew by then (the last line of each kind)\n")
		for _, line := range r.LastStateLines {
			out.line(line)
		}
	}
	if len(r.OtherStateLines) > 0 {
		out.printf("\nwhat other processes came to know around it\n")
		for _, line := range r.OtherStateLines {
			out.line(line)
		}
	}
	out.printf("\naround it (%v before and after)\n", window)
	for _, target := range slices.SortedFunc(maps.Keys(r.TargetAttempts), compareIncarnations) {
		out.printf("  attempts at %s: %s\n", target, formatCounts(r.TargetAttempts[target]))
	}
	out.printf("  attempts in its pool: %s\n", formatCounts(r.PoolAttempts))
	out.printf("  ends at its processes: %s\n", formatCounts(r.SameProcessReasons))
	out.printf("  ends at other processes: %s\n", formatCounts(r.OtherProcessReasons))
	if len(r.AccountReasons) > 0 {
		out.printf("  ends of its account: %s\n", formatCounts(r.AccountReasons))
	}
	if r.Dropped > 0 {
		out.printf("  %d lines there say that others were dropped: the counts are too low\n", r.Dropped)
	}
	cause := r.Cause()
	out.printf("\ncause: %s\nlook at: %s\n", cause.Why, cause.Look)
	return out.err
}

// A printer writes text until the first error, which it keeps.
type printer struct {
	w     io.Writer
	start time.Time
	err   error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) line(line Line) {
	p.printf("  %s %+9.3f s  %s  %s\n", line.Time.UTC().Format(timeFormat), line.Time.Sub(p.start).Seconds(), line.Process, line.fields())
}

// fields returns the message and the fields of a line without its time, level, module and request.
func (l Line) fields() string {
	members := strings.TrimSuffix(strings.TrimPrefix(l.Text, "{"), "}")
	var kept []string
	for _, field := range splitFields(members) {
		name, _, _ := strings.Cut(field, ":")
		if !strings.HasPrefix(name, `"@`) && name != `"request"` {
			kept = append(kept, strings.ReplaceAll(field, `"`, ""))
		}
	}
	return l.Message + "  " + strings.Join(kept, " ")
}

// splitFields splits the text between the braces of a JSON object at the commas between its fields.
func splitFields(text string) []string {
	var fields []string
	depth, inString, start := 0, false, 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == ',' && depth == 0:
			fields = append(fields, text[start:i])
			start = i + 1
		}
	}
	return append(fields, text[start:])
}

// formatCounts returns the counts as text, in the order of their keys.
func formatCounts[K ~string](counts map[K]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", key, counts[key]))
	}
	return strings.Join(parts, ", ")
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

// timeFormat is the format of times, which are in UTC like those of the lines.
const timeFormat = "15:04:05.000"

// compareIncarnations orders incarnations by ID and then by start.
func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartMillis, b.StartMillis))
}

func formatStart(startMillis int64) string {
	return time.UnixMilli(startMillis).UTC().Format(timeFormat)
}
