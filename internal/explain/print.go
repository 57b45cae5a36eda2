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

// Print writes the story as text: the request's own lines in order, what its
// processes knew and how old that was, and the cause.
func (s *RequestReport) Print(w io.Writer) error {
	p := printer{w: w, start: s.Arrived()}
	p.say("request %s\n", s.ID)
	if end := s.End(); end != nil {
		p.say("  route %s, pool %s, account %s: status %d after %d ms, sent to %d\n", none(end.Route), none(end.Pool), none(end.Account), end.Status, end.Took, end.Sent)
	}
	p.say("\nits lines\n")
	for _, l := range s.Lines {
		p.line(l)
	}
	if len(s.Known) > 0 {
		p.say("\nwhat its processes knew by then (the last line of each kind)\n")
		for _, l := range s.Known {
			p.line(l)
		}
	}
	if len(s.Elsewhere) > 0 {
		p.say("\nwhat other processes came to know around it\n")
		for _, l := range s.Elsewhere {
			p.line(l)
		}
	}
	p.say("\naround it (%v before and after)\n", around)
	for _, target := range slices.SortedFunc(maps.Keys(s.Targets), byStart) {
		p.say("  attempts at %s: %s\n", target, tally(s.Targets[target]))
	}
	p.say("  attempts in its pool: %s\n", tally(s.Pool))
	p.say("  ends at its processes: %s\n", tally(s.Around))
	p.say("  ends at other processes: %s\n", tally(s.Others))
	if len(s.Account) > 0 {
		p.say("  ends of its account: %s\n", tally(s.Account))
	}
	if s.Dropped > 0 {
		p.say("  %d lines there say that others were dropped: the counts are too low\n", s.Dropped)
	}
	c := s.Cause()
	p.say("\ncause: %s\nlook at: %s\n", c.Why, c.Look)
	return p.err
}

// A printer keeps the first error.
type printer struct {
	w     io.Writer
	start time.Time
	err   error
}

func (p *printer) say(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) line(l Line) {
	p.say("  %s %+9.3f s  %s  %s\n", l.At.UTC().Format(clockTime), l.At.Sub(p.start).Seconds(), l.Process, l.body())
}

// body returns what a line says, without its time and module.
func (l Line) body() string {
	text := strings.TrimSuffix(strings.TrimPrefix(l.Text, "{"), "}")
	var kept []string
	for _, field := range split(text) {
		name, _, _ := strings.Cut(field, ":")
		if !strings.HasPrefix(name, `"@`) && name != `"request"` {
			kept = append(kept, strings.ReplaceAll(field, `"`, ""))
		}
	}
	return l.Message + "  " + strings.Join(kept, " ")
}

// split cuts the inside of a JSON object at the commas between its fields.
func split(text string) []string {
	var fields []string
	depth, quoted, from := 0, false, 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == ',' && depth == 0:
			fields = append(fields, text[from:i])
			from = i + 1
		}
	}
	return append(fields, text[from:])
}

func tally[K ~string](counts map[K]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}

func none(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

// clockTime is how moments are written, in UTC as the lines themselves.
const clockTime = "15:04:05.000"

// byStart orders targets by their IDs, and the runs of one by their starts.
func byStart(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartMillis, b.StartMillis))
}

func startOf(born int64) string {
	return time.UnixMilli(born).UTC().Format(clockTime)
}
