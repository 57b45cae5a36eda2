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

// An Event describes one kind of log line.
type Event struct {
	Message string
	// By is the program that logs it: "router", "keeper" or "both".
	By     string
	Means  string
	Fields []Field
}

// A Field describes one field of an event.
type Field struct {
	Name  string
	Means string
}

// eventsTOML is the table of events. A field has the same meaning in all events, unless an event
// gives its own.
//
//go:embed events.toml
var eventsTOML []byte

type eventsFile struct {
	Fields map[string]string `toml:"fields"`
	Events []struct {
		Message   string            `toml:"message"`
		By        string            `toml:"by"`
		Means     string            `toml:"means"`
		Fields    []string          `toml:"fields"`
		OwnFields map[string]string `toml:"other"` // meanings of fields that apply only to this event
	} `toml:"event"`
}

// Events returns all kinds of log lines, except those at debug level. It panics if the embedded table
// is invalid, which a test rules out.
func Events() []Event {
	var file eventsFile
	if err := toml.Unmarshal(eventsTOML, &file); err != nil {
		panic(fmt.Errorf("read the table of events: %w", err))
	}
	var events []Event
	for _, listed := range file.Events {
		event := Event{Message: listed.Message, By: listed.By, Means: listed.Means}
		for _, name := range listed.Fields {
			event.Fields = append(event.Fields, Field{Name: name, Means: file.Fields[name]})
		}
		for _, name := range slices.Sorted(maps.Keys(listed.OwnFields)) {
			event.Fields = append(event.Fields, Field{Name: name, Means: listed.OwnFields[name]})
		}
		events = append(events, event)
	}
	return events
}

// PrintEvents writes the Markdown page that lists all events.
func PrintEvents(w io.Writer) error {
	out := printer{w: w}
	out.printf("# Log lines\n\nGenerated from the table in `internal/explain`, which a test compares with the code.\n")
	out.printf("Each line is JSON on standard output with `@timestamp`, `@level`, `@module` and\n`@message`; times without a unit are in milliseconds. `lfctl explain ID` reads them.\n")
	for _, process := range []string{"both", "router", "keeper"} {
		out.printf("\n## %s\n", map[string]string{"both": "Every process", "router": "Routers", "keeper": "Keepers"}[process])
		for _, event := range Events() {
			if event.By != process {
				continue
			}
			out.printf("\n`%s`: %s\n", event.Message, event.Means)
			for _, field := range event.Fields {
				out.printf("- `%s`: %s\n", field.Name, strings.TrimSpace(field.Means))
			}
		}
	}
	return out.err
}
