package asynclog

import (
	"bytes"
	"time"
)

const (
	// usualLines and urgentLines are how many lines of one kind are written in a
	// second. At two lines a request, usualLines covers ten times what one router of
	// the largest deployment in sight serves; a line is about 350 bytes, so both
	// together bound a process to a megabyte a second and kind.
	usualLines  = 1000
	urgentLines = 2000
	// kinds bounds the kinds of lines that are counted apart. There are some sixty.
	kinds = 256
)

// A kind is what is counted of lines with one message, of one urgency.
type kind struct {
	message string
	second  int64
	lines   int // written in that second
	dropped int // since the last count in the log
}

// A budget bounds the lines of each kind in a second, so that a process under load
// neither spends its processor on its log nor fills what keeps it, and one kind
// never crowds another out.
type budget struct {
	usual  map[string]*kind
	urgent map[string]*kind
	rest   kind // of kinds beyond the bound
}

// take counts a line and reports whether it is within its kind's budget.
func (b *budget) take(now time.Time, line []byte) (*kind, bool) {
	k := b.kind(line)
	if s := now.Unix(); s != k.second {
		k.second, k.lines = s, 0
	}
	k.lines++
	most := usualLines
	if urgent(line) {
		most = urgentLines
	}
	return k, k.lines <= most
}

func (b *budget) kind(line []byte) *kind {
	if b.usual == nil {
		b.usual, b.urgent = make(map[string]*kind), make(map[string]*kind)
	}
	list := b.usual
	if urgent(line) {
		list = b.urgent
	}
	name := message(line)
	if k := list[string(name)]; k != nil { // converts without an allocation
		return k
	}
	if len(list) >= kinds {
		return &b.rest
	}
	k := &kind{message: string(name)}
	list[k.message] = k
	return k
}

// droppedLines returns how many lines of each message were dropped, and forgets it.
func (b *budget) droppedLines() (counts map[string]int, all int) {
	add := func(k *kind) {
		if k.dropped == 0 {
			return
		}
		if counts == nil {
			counts = make(map[string]int)
		}
		counts[k.message] += k.dropped
		all += k.dropped
		k.dropped = 0
	}
	for _, k := range b.usual {
		add(k)
	}
	for _, k := range b.urgent {
		add(k)
	}
	add(&b.rest)
	return counts, all
}

var (
	levelField   = []byte(`{"@level":"`)
	messageField = []byte(`"@message":"`)
	usualLevels  = [][]byte{[]byte("info"), []byte("debug"), []byte("trace")}
)

// urgent reports whether a line is a warning or worse: then it goes before others.
func urgent(line []byte) bool {
	level, ok := bytes.CutPrefix(line, levelField)
	if !ok {
		return false
	}
	for _, l := range usualLevels {
		if bytes.HasPrefix(level, l) {
			return false
		}
	}
	return true
}

// message returns what kind of line it is. The encoder puts it second.
func message(line []byte) []byte {
	const near = 40
	_, rest, ok := bytes.Cut(line[:min(len(line), near+len(messageField))], messageField)
	if !ok {
		return nil
	}
	at := len(line[:min(len(line), near+len(messageField))]) - len(rest)
	text, _, _ := bytes.Cut(line[at:], []byte{'"'})
	return text
}
