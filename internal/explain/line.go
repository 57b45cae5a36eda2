// Package explain reconstructs from log lines how a request was processed: which decisions were made,
// on the basis of which state and how old it was, and why the request ended as it did. It also
// computes statistics about all requests in the logs.
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

// maxLineBytes bounds the length of a line; longer ones are skipped. Lines of this project are shorter
// than 2 KB.
const maxLineBytes = 64 << 10

// The messages of lines that are evaluated.
const (
	messageDone     = "done"
	messageSend     = "send"
	messageRefuse   = "refuse" // refuse and end are for requests of the product's own API
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
	Time    time.Time `json:"@timestamp"`
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Module  string    `json:"@module"`

	Account            string              `json:"account"`
	Age                int64               `json:"age"`  // of the list of targets, in ms
	LatencyObjective   int64               `json:"aim"`  // of the route, in ms
	RetryAfter         int64               `json:"back"` // when the caller may retry, in ms; 0 is never
	TargetStart        int64               `json:"born"` // in Unix milliseconds
	CopySource         string              `json:"copy"` // engine from which KV cache is copied
	TargetEnds         int                 `json:"ends"` // how many targets ended while they ran this request or identical ones
	Error              string              `json:"error"`
	ExcessFactor       float64             `json:"excess"` // service of the account, as a multiple of that of an underserved account
	FirstByte          int64               `json:"first"`  // time to first byte, in ms
	CachedAtTarget     bool                `json:"home"`   // the target is where the prompt's parts are expected to be cached
	TimeLeft           int64               `json:"left"`   // until the caller's deadline, in ms
	Load               float64             `json:"load"`   // fraction of the target's slots that is in use
	OwnTokens          int                 `json:"own"`    // tokens of the prompt's unshared part
	Pool               string              `json:"pool"`
	PredictedFirstByte int64               `json:"predicted"` // predicted time to first byte, in ms
	Fingerprint        string              `json:"print"`     // of the account, method, path and body
	QueueTime          int64               `json:"queue"`     // part of the predicted time that is for requests before it, in ms
	Reason             fleet.Reason        `json:"reason"`
	Request            string              `json:"request"`
	Result             fleet.AttemptResult `json:"result"`
	Route              string              `json:"route"`
	Sent               int                 `json:"sent"`
	SharedTokens       int                 `json:"shared"` // tokens of the prompt's shared parts
	Status             int                 `json:"status"`
	Target             string              `json:"target"`
	Duration           int64               `json:"took"` // in ms
	Attempt            int                 `json:"try"`
	UncachedTokens     int                 `json:"unread"` // tokens of the prompt that the target has to prefill
	PredictedWait      int64               `json:"wait"`   // predicted time to first byte of a refused request, in ms
	Complete           bool                `json:"whole"`
	WithinShare        bool                `json:"within"` // the account was within its share when the request arrived
	Why                string              `json:"why"`    // reason for a refusal or for the choice of a target
	Zone               string              `json:"zone"`

	// Process is the last word before the line, where log collectors put the name of the process, or
	// else the name of the source.
	Process string `json:"-"`
	// Text is the JSON text of the line.
	Text string `json:"-"`
}

// targetIncarnation returns the incarnation of the target in the line.
func (l *Line) targetIncarnation() Incarnation {
	return Incarnation{ID: l.Target, StartMillis: l.TargetStart}
}

// parseLine parses one line. It reports false for lines that are not of this project.
func parseLine(text, sourceName string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Text: strings.TrimSpace(text[start:]), Process: sourceName}
	if err := json.Unmarshal([]byte(line.Text), &line); err != nil || line.Message == "" || line.Time.IsZero() {
		return Line{}, false
	}
	if fields := strings.Fields(text[:start]); len(fields) > 0 {
		line.Process = fields[len(fields)-1]
	}
	return line, true
}

// A Source is a log that can be read several times.
type Source interface {
	// Open opens the log at its beginning.
	Open() (io.ReadCloser, error)
	// Name returns the name of the process for lines without a prefix that names it.
	Name() string
}

// A File is the path of a log file.
type File string

// Open implements Source.
func (f File) Open() (io.ReadCloser, error) { return os.Open(string(f)) }

// Name implements Source. It returns the base name of the file without its extension.
func (f File) Name() string {
	return strings.TrimSuffix(filepath.Base(string(f)), filepath.Ext(string(f)))
}

// eachLine calls visit with each line of a source that is of this project.
func eachLine(source Source, visit func(*Line)) (err error) {
	r, err := source.Open()
	if err != nil {
		return fmt.Errorf("open a log (name a readable file): %w", err)
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, tooLong, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the log %s: %w", source.Name(), err)
		}
		if tooLong {
			continue // lines of this project are shorter
		}
		if line, ok := parseLine(string(text), source.Name()); ok {
			visit(&line)
		}
	}
}
