package eventstream

import "bytes"

// A scanner finds the ends of events. Lines end in LF, CR LF or CR, and a blank line ends an event.
// Comments outside an event are complete with their line.
type scanner struct {
	started   bool // a line has been read
	afterCR   bool // the last line ended in CR, so that an LF next belongs to it
	inEvent   bool // a field has been read since the last blank line
	hasData   bool // the event has data
	hasID     bool // the event has an ID
	id        string
	lastID    string // of the last whole event that has one
	noID      bool   // events with data have followed the last one with an ID
	lineStart int    // in the text
}

var byteOrderMark = []byte("\xef\xbb\xbf")

// scan reads a text from a position on and returns the end of the last whole event in it, or 0. The text
// before the position is what the last call has left over after the end that it returned.
func (s *scanner) scan(text []byte, from int) (end int) {
	for i := from; i < len(text); {
		if s.afterCR && text[i] == '\n' {
			s.afterCR = false
			i++
			s.lineStart = i
			if !s.inEvent {
				end = i
			}
			continue
		}
		s.afterCR = false
		length := bytes.IndexAny(text[i:], "\r\n")
		if length < 0 {
			break
		}
		lineEnd := i + length
		s.addLine(text[s.lineStart:lineEnd])
		s.afterCR = text[lineEnd] == '\r'
		i = lineEnd + 1
		s.lineStart = i
		if !s.inEvent {
			end = i
		}
	}
	s.lineStart -= end
	return end
}

func (s *scanner) addLine(line []byte) {
	if !s.started {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	s.started = true
	switch {
	case len(line) == 0:
		s.endEvent()
	case line[0] == ':': // a comment
	default:
		s.inEvent = true
		s.addField(line)
	}
}

func (s *scanner) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case string(name) == "data":
		s.hasData = true
	case string(name) == "id" && bytes.IndexByte(value, 0) < 0:
		s.hasID, s.id = true, string(bytes.TrimSpace(value))
	}
}

func (s *scanner) endEvent() {
	switch {
	case s.hasID:
		s.lastID, s.noID = s.id, s.id == "" && s.hasData
	case s.hasData:
		s.noID = true
	}
	s.inEvent, s.hasData, s.hasID = false, false, false
}
