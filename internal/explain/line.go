// Package explain tells the life of a request from the log lines of the processes
// that touched it: what was decided, on what knowledge and how old that was, and why
// the request ended as it did.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"laburnumfall/internal/fleet"
)

// longestLine bounds what is read of one line. Lines of this project are below two
// kilobytes; a longer one is skipped.
const longestLine = 64 << 10

// The messages of lines that are told of in particular.
const (
	messageDone     = "done"
	messageSend     = "send"
	messageRefuse   = "refuse" // of the product's own interface, as the next
	messageEnd      = "end"
	messageDropped  = "log lines dropped"
	messageStart    = "start"
	messageStopping = "stopping"
	messageStopped  = "stopped"
	messageOverdue  = "overdue"
	messageStop     = "stop"
	messageTargets  = "targets changed"
	messageNoLeader = "keepers: no leader found; going on with what is known"
)

// A Line is one log line.
type Line struct {
	At      time.Time `json:"@timestamp"`
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Module  string    `json:"@module"`

	Account   string              `json:"account"`
	Age       int64               `json:"age"`  // of a list, in ms
	Aim       int64               `json:"aim"`  // of the route, in ms
	Back      int64               `json:"back"` // when the caller may come back, in ms
	Born      int64               `json:"born"` // start of the target, as a Unix millisecond
	Copy      string              `json:"copy"` // from where parts of the prompt are copied
	Ends      int                 `json:"ends"` // of targets under the request
	Error     string              `json:"error"`
	Excess    float64             `json:"excess"` // how many times as much as others the account has
	First     int64               `json:"first"`  // until the first byte, in ms
	Home      bool                `json:"home"`   // the prompt's parts belong there
	Left      int64               `json:"left"`   // until the caller gives up, in ms
	Load      float64             `json:"load"`   // part of the target's slots
	Own       int                 `json:"own"`    // tokens of the prompt's own part
	Pool      string              `json:"pool"`
	Predicted int64               `json:"predicted"` // until the first byte, in ms
	Print     string              `json:"print"`     // fingerprint of the request
	Queue     int64               `json:"queue"`     // of that, for others, in ms
	Reason    fleet.Reason        `json:"reason"`
	Request   string              `json:"request"`
	Result    fleet.AttemptResult `json:"result"`
	Route     string              `json:"route"`
	Sent      int                 `json:"sent"`
	Shared    int                 `json:"shared"` // tokens of the prompt's shared parts
	Status    int                 `json:"status"`
	Target    string              `json:"target"`
	Took      int64               `json:"took"` // in ms
	Try       int                 `json:"try"`
	Unread    int                 `json:"unread"` // tokens
	Wait      int64               `json:"wait"`   // predicted, in ms
	Whole     bool                `json:"whole"`
	Within    bool                `json:"within"` // its account's share
	Why       string              `json:"why"`    // of a refusal or a choice
	Zone      string              `json:"zone"`

	// Process is what stands before the line, as collectors of logs put it there,
	// or else the name of the file.
	Process string `json:"-"`
	// Text is the line itself, from its first brace on.
	Text string `json:"-"`
}

// target returns which run of a target the line tells of.
func (l *Line) target() Incarnation {
	return Incarnation{ID: l.Target, StartMillis: l.Born}
}

// parse reads one line; ok is false for what is no line of this project.
func parse(text, file string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{Text: strings.TrimSpace(text[at:]), Process: file}
	if err := json.Unmarshal([]byte(l.Text), &l); err != nil || l.Message == "" || l.At.IsZero() {
		return Line{}, false
	}
	if fields := strings.Fields(text[:at]); len(fields) > 0 {
		l.Process = fields[len(fields)-1]
	}
	return l, true
}

// A Source is one log to read, as often as need be.
type Source interface {
	// Open returns the log from its beginning.
	Open() (io.ReadCloser, error)
	// Name is what its lines are known by if nothing stands before them.
	Name() string
}

// A File is a Source by its path.
type File string

// Open implements Source.
func (f File) Open() (io.ReadCloser, error) { return os.Open(string(f)) }

// Name implements Source.
func (f File) Name() string {
	return strings.TrimSuffix(filepath.Base(string(f)), filepath.Ext(string(f)))
}

// each calls f with each line of a source.
func each(s Source, f func(*Line)) (err error) {
	r, err := s.Open()
	if err != nil {
		return fmt.Errorf("open a log (name a readable file): %w", err)
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	b := bufio.NewReaderSize(r, longestLine)
	for {
		text, long, err := b.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the log %s: %w", s.Name(), err)
		}
		if long {
			continue // a part of no line of ours
		}
		if l, ok := parse(string(text), s.Name()); ok {
			f(&l)
		}
	}
}
