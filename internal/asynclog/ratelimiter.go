package asynclog

import (
	"bytes"
	"time"
)

const (
	// normalLinesPerSecond and urgentLinesPerSecond bound the lines of one kind per second. At two
	// lines per request, normalLinesPerSecond is ten times the load of one router in the largest
	// planned deployment. A line has about 350 bytes, so a process writes at most about 1 MB per
	// second for each message.
	normalLinesPerSecond = 1000
	urgentLinesPerSecond = 2000
	// maxKinds bounds the kinds of lines that are counted separately. There are about sixty.
	maxKinds = 256
)

// A kindCounter counts the lines with one message and one urgency.
type kindCounter struct {
	message       string
	second        int64
	linesInSecond int
	dropped       int // since the counts were last logged
}

// A rateLimiter bounds the lines of each kind per second. Under load, a process then spends little CPU
// time on its log and does not fill the log storage, and lines of one kind do not displace others.
type rateLimiter struct {
	normal map[string]*kindCounter
	urgent map[string]*kindCounter
	other  kindCounter // shared by all kinds in excess of maxKinds
}

// allow counts a line, returns its counter and reports whether it is within the limit of its kind.
func (l *rateLimiter) allow(now time.Time, line []byte) (*kindCounter, bool) {
	counter := l.counterFor(line)
	if second := now.Unix(); second != counter.second {
		counter.second, counter.linesInSecond = second, 0
	}
	counter.linesInSecond++
	limit := normalLinesPerSecond
	if isUrgent(line) {
		limit = urgentLinesPerSecond
	}
	return counter, counter.linesInSecond <= limit
}

// counterFor returns the counter of a line's kind.
func (l *rateLimiter) counterFor(line []byte) *kindCounter {
	if l.normal == nil {
		l.normal, l.urgent = make(map[string]*kindCounter), make(map[string]*kindCounter)
	}
	counters := l.normal
	if isUrgent(line) {
		counters = l.urgent
	}
	messageText := messageOf(line)
	if counter := counters[string(messageText)]; counter != nil { // this conversion does not allocate
		return counter
	}
	if len(counters) >= maxKinds {
		return &l.other
	}
	counter := &kindCounter{message: string(messageText)}
	counters[counter.message] = counter
	return counter
}

// takeDropped returns how many lines were dropped by message and in total, and resets these counts.
func (l *rateLimiter) takeDropped() (counts map[string]int, total int) {
	collect := func(counter *kindCounter) {
		if counter.dropped == 0 {
			return
		}
		if counts == nil {
			counts = make(map[string]int)
		}
		counts[counter.message] += counter.dropped
		total += counter.dropped
		counter.dropped = 0
	}
	for _, counter := range l.normal {
		collect(counter)
	}
	for _, counter := range l.urgent {
		collect(counter)
	}
	collect(&l.other)
	return counts, total
}

var (
	levelField   = []byte(`{"@level":"`)
	messageField = []byte(`"@message":"`)
	normalLevels = [][]byte{[]byte("info"), []byte("debug"), []byte("trace")}
)

// isUrgent reports whether the level of a line is warn or higher. Such lines have priority.
func isUrgent(line []byte) bool {
	level, ok := bytes.CutPrefix(line, levelField)
	if !ok {
		return false
	}
	for _, normal := range normalLevels {
		if bytes.HasPrefix(level, normal) {
			return false
		}
	}
	return true
}

// messageOf returns the message of a line, which is the second field.
func messageOf(line []byte) []byte {
	const maxOffset = 40
	_, rest, ok := bytes.Cut(line[:min(len(line), maxOffset+len(messageField))], messageField)
	if !ok {
		return nil
	}
	start := len(line[:min(len(line), maxOffset+len(messageField))]) - len(rest)
	text, _, _ := bytes.Cut(line[start:], []byte{'"'})
	return text
}
