package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: for twenty seconds prompts are predicted to start within 26 ms and start after
// a second; shared parts are read again at every engine.
// Sequence: for some seconds engines answer a half of all requests with a failure, within
// two milliseconds; then all is well again.
// Cause: the time of a failure was taken for that of reading the prompt, so engines seemed
// to read thousands of tokens in a millisecond, and the place of a kept part was worth
// nothing.
func TestFailuresTellNothingOfHowFastEnginesRead(t *testing.T) {
	const rate, own = 60, 6000
	p := placer(9)
	now := start
	answer := func(subject uint64, took time.Duration, r Result) *Choice {
		c := send(t, p, now, prompt(subject, 5000, own))
		now = now.Add(took)
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, r)
		return c
	}
	for i := range uint64(200) {
		answer(i%10, own/rate*time.Millisecond, Served)
	}
	before := answer(1, own/rate*time.Millisecond, Served)
	require.InDelta(t, own/rate, before.PredictedTTFB.Milliseconds(), 20)
	for i := range uint64(200) {
		answer(i%10, 2*time.Millisecond, Failed)
	}
	now = now.Add(10 * failMemory)
	require.InDelta(t, before.PredictedTTFB.Milliseconds(), answer(1, time.Millisecond, Served).PredictedTTFB.Milliseconds(), 20)
}

// Symptom: as above, after one answer.
// Sequence: a caller sends a prompt again that its engine still keeps whole.
// Cause: the router counted it as read, which took no time.
func TestOneAnswerDoesNotDecideHowFastEnginesRead(t *testing.T) {
	const rate, own = 60, 6000
	p := placer(9)
	now := start
	for range 200 {
		c := send(t, p, now, prompt(1, 5000, own))
		now = now.Add(own / rate * time.Millisecond)
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Served)
	}
	before := p.readRate()
	c := send(t, p, now, prompt(1, 5000, own))
	now = now.Add(time.Millisecond)
	p.RecordFirstByte(now, c)
	p.EndAttempt(now, c, Served)
	require.Less(t, p.readRate(), 1.2*before)
}
