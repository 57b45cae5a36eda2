package pace

import (
	"math"
	"time"
)

// A statement is sent to routers as one ASCII character: the level of its slowdown times ageCount, plus its
// age in steps, rounded up, counted from firstCode. At level 0 work takes as long as usual, and each
// level is levelStep times the one before. In a JSON string, a column of characters is compressed
// better than numbers or binary data.
const (
	noCode    = '0'
	firstCode = '1'
	levelStep = 1.2
	maxLevel  = 8
	ageStep   = 75 * time.Millisecond
	ageCount  = 8
)

// Encode returns a statement as one character, which stands for no statement if it has expired. Its age is
// rounded up to a multiple of the precision: with fewer different ages, a column of many targets is
// shorter when compressed.
func (s Statement) Encode(now time.Time, precision time.Duration) byte {
	precision = max(precision/ageStep, 1) * ageStep
	age := (max(now.Sub(s.At), 0) + precision - 1) / precision * (precision / ageStep)
	if age >= ageCount || s.weight(now) == 0 {
		return noCode
	}
	level := int(math.Round(math.Log(bounded(s.Slowdown)) / math.Log(levelStep)))
	return byte(firstCode + min(level, maxLevel)*ageCount + int(age))
}

// Decode is the inverse of Encode at the time at which the character arrives. It returns false if there is
// no statement.
func Decode(now time.Time, code byte) (Statement, bool) {
	if code < firstCode || code >= firstCode+(maxLevel+1)*ageCount {
		return Statement{}, false
	}
	level, age := (code-firstCode)/ageCount, (code-firstCode)%ageCount
	return Statement{Slowdown: math.Pow(levelStep, float64(level)), At: now.Add(-time.Duration(age) * ageStep)}, true
}
