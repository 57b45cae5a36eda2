package explain

import (
	_ "embed"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// An Event is one kind of log line.
type Event struct {
	Message string
	// By are the processes that log it: router, keeper or both.
	By     string
	Means  string
	Fields []Field
}

// A Field is one field of an event.
type Field struct {
	Name  string
	Means string
}

// table is the file of events. A field means the same in all of them, unless an
// event says otherwise.
//
//go:embed events.toml
var table []byte

type tableFile struct {
	Fields map[string]string `toml:"fields"`
	Events []struct {
		Message string            `toml:"message"`
		By      string            `toml:"by"`
		Means   string            `toml:"means"`
		Fields  []string          `toml:"fields"`
		Other   map[string]string `toml:"other"` // fields with a meaning of their own
	} `toml:"event"`
}

// Events returns all kinds of lines that processes write, but those for developers.
// It panics if the embedded table cannot be read, which its test rules out.
func Events() []Event {
	var file tableFile
	if err := toml.Unmarshal(table, &file); err != nil {
		panic(fmt.Errorf("read the table of events: %w", err))
	}
	var events []Event
	for _, e := range file.Events {
		event := Event{Message: e.Message, By: e.By, Means: e.Means}
		for _, name := range e.Fields {
			event.Fields = append(event.Fields, Field{Name: name, Means: file.Fields[name]})
		}
		for _, name := range slices.Sorted(maps.Keys(e.Other)) {
			event.Fields = append(event.Fields, Field{Name: name, Means: e.Other[name]})
		}
		events = append(events, event)
	}
	return events
}

// PrintEvents writes the page of all events.
func PrintEvents(w io.Writer) error {
	p := printer{w: w}
	p.say("# Log lines\n\nMade from the table in `internal/explain`, which a test holds against the code.\n")
	p.say("Each line is JSON on standard output with `@timestamp`, `@level`, `@module` and\n`@message`; times without a unit are in milliseconds. `lfctl explain ID` reads them.\n")
	for _, by := range []string{"both", "router", "keeper"} {
		p.say("\n## %s\n", map[string]string{"both": "Every process", "router": "Routers", "keeper": "Keepers"}[by])
		for _, e := range Events() {
			if e.By != by {
				continue
			}
			p.say("\n`%s`: %s\n", e.Message, e.Means)
			for _, f := range e.Fields {
				p.say("- `%s`: %s\n", f.Name, strings.TrimSpace(f.Means))
			}
		}
	}
	return p.err
}
