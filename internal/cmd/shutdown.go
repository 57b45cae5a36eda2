package cmd

import (
	"bytes"
	"context"
	"errors"
	"runtime/pprof"
	"time"
)

const (
	// overdueMargin is kept from the end of the grace when the duties of a process
	// have not ended by then. A router ends them 300 ms before the end at the latest.
	overdueMargin = 250 * time.Millisecond
	// logPatience bounds how long the reader of the log may take for the last lines,
	// logMargin is kept from the end of the grace behind that.
	logPatience = time.Second
	logMargin   = 100 * time.Millisecond
	// mostStacks bounds what a log line tells of goroutines, in bytes: their kinds, the
	// most frequent first.
	mostStacks = 16 << 10
)

// errOverdue says that a process ended without the end of its duties.
var errOverdue = errors.New("its duties did not end within the grace (see stacks in the log line overdue, and report it)")

// startLog writes the log until the function that it returns is called, and that
// returns after the last lines are written, or their reader has had its time: until
// the end of the grace, if there is one.
func (p *platformProgram) startLog() func(graceEnd time.Time) {
	ctx, stop := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		p.ring.Run(ctx)
	}()
	return func(graceEnd time.Time) {
		stop()
		patience := logPatience
		if !graceEnd.IsZero() {
			patience = min(patience, time.Until(graceEnd)-logMargin)
		}
		select {
		case <-logged:
		case <-time.After(patience):
		}
	}
}

// runBounded runs a program. One that was told to stop and hangs is left behind in
// time: the platform would kill the process without a word, and callers would wait for
// that. It returns when the grace ends, or the zero time if it was not told to stop.
func (p *platformProgram) runBounded(ctx context.Context, run func(ctx context.Context, p *platformProgram) error) (graceEnd time.Time, err error) {
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, p) }()
	select {
	case err := <-ended:
		return time.Time{}, err
	case <-ctx.Done():
	}
	graceEnd = time.Now().Add(p.settings.Grace)
	select {
	case err := <-ended:
		return graceEnd, err
	case <-time.After(time.Until(graceEnd) - overdueMargin):
		p.log.Error("overdue", "stacks", stacks())
		return graceEnd, errOverdue
	}
}

// stacks returns where the goroutines of this process stand.
func stacks() string {
	var text bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&text, 1); err != nil {
		return err.Error()
	}
	return string(text.Bytes()[:min(text.Len(), mostStacks)])
}
