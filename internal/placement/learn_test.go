package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against learning the prefill rate from failed answers. When engines failed half of all
// requests within 2 ms, they seemed to prefill thousands of tokens per millisecond, so cached
// parts were worth nothing, and prompts predicted after 26 ms got their first byte after 1 s.
func TestFailuresDoNotChangePrefillRate(t *testing.T) {
	const rate, ownTokens = 60, 6000
	p := newPlacer(9)
	now := start
	answer := func(subject uint64, took time.Duration, r Result) *Choice {
		c := send(t, p, now, prompt(subject, 5000, ownTokens))
		now = now.Add(took)
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, r)
		return c
	}
	for i := range uint64(200) {
		answer(i%10, ownTokens/rate*time.Millisecond, Served)
	}
	before := answer(1, ownTokens/rate*time.Millisecond, Served)
	require.InDelta(t, ownTokens/rate, before.PredictedTTFB.Milliseconds(), 20)
	for i := range uint64(200) {
		answer(i%10, 2*time.Millisecond, Failed)
	}
	now = now.Add(10 * failureHalfLife)
	require.InDelta(t, before.PredictedTTFB.Milliseconds(), answer(1, time.Millisecond, Served).PredictedTTFB.Milliseconds(), 20)
}

// Guards against a much too high prefill rate after a single answer: a caller repeats a prompt
// that its engine has fully cached, and the router counts it as prefilled in no time.
func TestSingleAnswerBarelyChangesPrefillRate(t *testing.T) {
	const rate, ownTokens = 60, 6000
	p := newPlacer(9)
	now := start
	for range 200 {
		c := send(t, p, now, prompt(1, 5000, ownTokens))
		now = now.Add(ownTokens / rate * time.Millisecond)
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Served)
	}
	before := p.prefillRate()
	c := send(t, p, now, prompt(1, 5000, ownTokens))
	now = now.Add(time.Millisecond)
	p.RecordFirstByte(now, c)
	p.EndAttempt(now, c, Served)
	require.Less(t, p.prefillRate(), 1.2*before)
}
