package cmd

import (
	"bytes"
	"context"
	"errors"
	"runtime/pprof"
	"time"
)

const (
	// shutdownMargin is reserved at the end of the grace period, to log and to exit, if the tasks
	// of a process have not stopped by then. A router stops them 300 ms before the end at the
	// latest.
	shutdownMargin = 250 * time.Millisecond
	// logFlushTimeout limits how long the process waits for the last log lines to be written.
	// logFlushMargin is reserved for the exit after that, at the end of the grace period.
	logFlushTimeout = time.Second
	logFlushMargin  = 100 * time.Millisecond
	// maxStackBytes limits the length of the goroutine stacks in a log line. Equal stacks are
	// grouped, the most frequent first.
	maxStackBytes = 16 << 10
)

// errShutdownOverdue means that a process exits although its tasks have not stopped.
var errShutdownOverdue = errors.New("tasks of the process did not stop within the grace period (see stacks in the log line overdue, and report this)")

// startLogWriter starts to write the log. The function that it returns stops the writer and waits
// until the last lines are written, at most logFlushTimeout and not beyond the grace period. A
// zero graceEnd means that no grace period runs.
func (p *platformProgram) startLogWriter() func(graceEnd time.Time) {
	ctx, stop := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		p.logWriter.Run(ctx)
	}()
	return func(graceEnd time.Time) {
		stop()
		timeout := logFlushTimeout
		if !graceEnd.IsZero() {
			timeout = min(timeout, time.Until(graceEnd)-logFlushMargin)
		}
		select {
		case <-flushed:
		case <-time.After(timeout):
		}
	}
}

// runWithinGrace runs a program. It abandons a program that hangs after the process was asked to
// stop, shortly before the grace period ends: otherwise the platform would kill the process
// without a log line, while callers wait. It returns the end of the grace period, or the zero
// time if the program returned before the process was asked to stop.
func (p *platformProgram) runWithinGrace(ctx context.Context, run func(ctx context.Context, p *platformProgram) error) (graceEnd time.Time, err error) {
	result := make(chan error, 1)
	go func() { result <- run(ctx, p) }()
	select {
	case err := <-result:
		return time.Time{}, err
	case <-ctx.Done():
	}
	graceEnd = time.Now().Add(p.settings.Grace)
	select {
	case err := <-result:
		return graceEnd, err
	case <-time.After(time.Until(graceEnd) - shutdownMargin):
		p.log.Error("overdue", "stacks", goroutineStacks())
		return graceEnd, errShutdownOverdue
	}
}

// goroutineStacks returns the stacks of the goroutines of this process.
func goroutineStacks() string {
	var text bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&text, 1); err != nil {
		return err.Error()
	}
	return string(text.Bytes()[:min(text.Len(), maxStackBytes)])
}
