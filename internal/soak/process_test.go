package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"laburnumfall/internal/standin"
)

const (
	// waitTimeout is how long a test waits until the fleet reaches a state, and pollInterval the pause
	// between two checks of it.
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopMargin is how much longer than its grace period a process may take to exit on a busy machine.
	stopMargin = 6 * time.Second
	// secondSIGTERMDelay is the time between the first and the second SIGTERM.
	secondSIGTERMDelay = 300 * time.Millisecond
	// stopPauseDelay is the time from SIGTERM until the process is paused, for stopPauseDuration.
	stopPauseDelay    = 200 * time.Millisecond
	stopPauseDuration = time.Second
)

// A process is a member of the fleet that runs a program, one run after the other.
type process struct {
	program       string
	folder        string // of all processes
	settings      standin.ProcessSettings
	listenAddress string // of a keeper, behind its proxy
	violations    *violations

	// faultMu is held during a fault of the process, so that faults follow one another.
	faultMu sync.Mutex
	mu      sync.Mutex
	run     *processRun // nil while the process is down
}

// A processRun is one run of a process, from its start to its exit.
type processRun struct {
	cmd     *exec.Cmd
	mayExit bool // the test has ended it or expects it to exit
	started bool // its log shows that it has started
	exited  chan struct{}
	exitErr error // valid once exited is closed
}

// path returns the path of the process's file with a suffix, such as .log.
func (p *process) path(suffix string) string {
	return filepath.Join(p.folder, p.settings.Name+suffix)
}

// writeSettings writes the settings file.
func (p *process) writeSettings() error {
	return os.WriteFile(p.path(".toml"), []byte(p.settings.TOML()), 0o600)
}

// start starts the program with a variant of clock skew, or "" for none. It returns when the log shows
// that the program has started: before that, any signal ends it at once, and a graceful shutdown would
// have nothing to finish.
func (p *process) start(clockVariant string) error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	cmd := exec.Command(os.Args[0], "--platform")
	cmd.Env = append(os.Environ(), programEnv+"="+p.program, "LABURNUMFALL_CONFIG="+p.path(".toml"),
		clockEnv+"="+clockVariant, listenEnv+"="+p.listenAddress, diskFaultEnv+"="+p.path(".disk"))
	cmd.Stdout, cmd.Stderr = log, log
	startCount := p.countInLog(`"@message":"start"`)
	if err := cmd.Start(); err != nil {
		return err
	}
	run := &processRun{cmd: cmd, exited: make(chan struct{})}
	p.mu.Lock()
	p.run = run
	p.mu.Unlock()
	go p.waitForExit(run)
	for deadline := time.Now().Add(waitTimeout); p.countInLog(`"@message":"start"`) == startCount; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s logged no start within its time limit: read its log", p.settings.Name)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run.started = true
	return nil
}

// waitForExit waits for the exit of a run, and reports a violation if the run was not allowed to exit.
func (p *process) waitForExit(run *processRun) {
	err := run.cmd.Wait()
	p.mu.Lock()
	mayExit := run.mayExit
	run.exitErr = err
	if p.run == run {
		p.run = nil
	}
	p.mu.Unlock()
	if !mayExit {
		p.violations.add("%s exited unexpectedly: %v", p.settings.Name, err)
	}
	close(run.exited)
}

// countInLog returns the number of occurrences of a text in the process's log.
func (p *process) countInLog(text string) int {
	data, err := os.ReadFile(p.path(".log"))
	if err != nil {
		return 0 // there is no log yet
	}
	return bytes.Count(data, []byte(text))
}

// signal sends a signal to the current run and returns that run, or nil if there is none. With mayExit
// the run may exit from now on.
func (p *process) signal(sig syscall.Signal, mayExit bool) *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.run
	if run == nil {
		return nil
	}
	run.mayExit = run.mayExit || mayExit
	if err := run.cmd.Process.Signal(sig); err != nil {
		return nil // it is exiting
	}
	return run
}

// sendSIGHUP sends SIGHUP if the process has started: before that, the signal would end it.
func (p *process) sendSIGHUP() {
	p.mu.Lock()
	started := p.run != nil && p.run.started
	p.mu.Unlock()
	if started {
		p.signal(syscall.SIGHUP, false)
	}
}

// allowExit allows the current run to exit by itself, for example after a disk failure.
func (p *process) allowExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		p.run.mayExit = true
	}
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	if run := p.signal(syscall.SIGKILL, true); run != nil {
		<-run.exited
	}
}

// stop sends SIGTERM to the process, waits for its exit and returns the span between. It reports a
// violation if the process does not exit within its grace period or exits with an error. A process
// that keeps running gets SIGQUIT and writes its goroutine stacks to its log.
func (p *process) stop(variant string) span {
	stopSpan := span{start: time.Now()}
	run := p.signal(syscall.SIGTERM, true)
	if run == nil {
		return stopSpan
	}
	switch variant {
	case variantTwice:
		time.Sleep(secondSIGTERMDelay)
		p.signal(syscall.SIGTERM, true)
	case variantPauseAfterStop:
		time.Sleep(stopPauseDelay)
		p.signal(syscall.SIGSTOP, true)
		time.Sleep(stopPauseDuration)
		p.signal(syscall.SIGCONT, true)
	}
	select {
	case <-run.exited:
	case <-time.After(standin.GraceSeconds*time.Second + stopMargin):
		p.violations.add("%s got SIGTERM at %s and still runs after its grace period", p.settings.Name, formatTime(stopSpan.start))
		p.signal(syscall.SIGQUIT, true)
		<-run.exited
	}
	stopSpan.end = time.Now()
	if run.exitErr != nil {
		p.violations.add("%s got SIGTERM at %s and exited with an error: %v", p.settings.Name, formatTime(stopSpan.start), run.exitErr)
	}
	return stopSpan
}

// tearLog appends the beginning of a batch to a keeper's write-ahead log, as a crash in the middle of a
// write does.
func (p *process) tearLog() error {
	logs, err := filepath.Glob(filepath.Join(p.settings.DataDir, "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	last := slices.Max(logs)
	data, err := os.ReadFile(last)
	if err != nil {
		return err
	}
	const maxTornBytes = 13 // ends in the middle of a record's header
	return os.WriteFile(last, append(data, data[:min(len(data), maxTornBytes)]...), 0o600)
}

// violations collects descriptions of broken promises. It is safe for concurrent use.
type violations struct {
	mu   sync.Mutex
	list []string
}

// add adds a violation, formatted as by fmt.Sprintf.
func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, fmt.Sprintf(format, args...))
}

// check adds a violation unless ok.
func (v *violations) check(ok bool, format string, args ...any) {
	if !ok {
		v.add(format, args...)
	}
}

// formatTime returns the seconds and milliseconds of a time.
func formatTime(t time.Time) string {
	return t.Format("05.000")
}
