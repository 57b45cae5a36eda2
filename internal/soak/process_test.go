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
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopMargin is what a process may need beyond its grace to end, on a busy machine.
	stopMargin = 6 * time.Second
	// twiceAfter is how long after the first SIGTERM the second comes.
	secondSIGTERMDelay = 300 * time.Millisecond
	// frozenAfter is how long after SIGTERM a process stands still, for frozenTime.
	stopPauseDelay    = 200 * time.Millisecond
	stopPauseDuration = time.Second
)

// A process is a place where one program runs, ends and runs again.
type process struct {
	program       string
	folder        string // of all processes
	settings      standin.ProcessSettings
	listenAddress string // a keeper's address behind its proxy
	violations    *violations

	// turn is held while a fault of the process lasts: they follow each other.
	faultMu sync.Mutex
	mu      sync.Mutex
	run     *processRun // nil while none is there
}

// A run is a process from its start to its end.
type processRun struct {
	cmd     *exec.Cmd
	mayExit bool // it may end
	started bool // it has said so
	exited  chan struct{}
	exitErr error // once ended
}

func (p *process) path(suffix string) string {
	return filepath.Join(p.folder, p.settings.Name+suffix)
}

// write writes the settings file.
func (p *process) writeSettings() error {
	return os.WriteFile(p.path(".toml"), []byte(p.settings.Text()), 0o600)
}

// start starts the program with a clock that goes wrong or, by "", right. It returns
// when the program says that it runs: until then a signal ends it as it would any, and
// there is nothing that a graceful stop could keep.
func (p *process) start(clockVariant string) error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
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
			return fmt.Errorf("%s did not start", p.settings.Name)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run.started = true
	return nil
}

// await notes the end of a run, and that it was nobody's order.
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
		p.violations.add("%s ended by itself: %v", p.settings.Name, err)
	}
	close(run.exited)
}

// logged returns how often a text stands in the process's log.
func (p *process) countInLog(text string) int {
	data, err := os.ReadFile(p.path(".log"))
	if err != nil {
		return 0 // it has none yet
	}
	return bytes.Count(data, []byte(text))
}

// signal sends a signal, where there is somebody, and returns who got it.
func (p *process) signal(sig syscall.Signal, mayExit bool) *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.run
	if run == nil {
		return nil
	}
	run.mayExit = run.mayExit || mayExit
	if err := run.cmd.Process.Signal(sig); err != nil {
		return nil // it is just ending
	}
	return run
}

// hangup sends SIGHUP, where there is somebody who has started.
func (p *process) sendSIGHUP() {
	p.mu.Lock()
	started := p.run != nil && p.run.started
	p.mu.Unlock()
	if started {
		p.signal(syscall.SIGHUP, false)
	}
}

// mayEnd says that the process may end by itself, as on a disk that fails.
func (p *process) allowExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		p.run.mayExit = true
	}
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	if run := p.signal(syscall.SIGKILL, true); run != nil {
		<-run.exited
	}
}

// stop tells the process to stop, waits for its end and returns the time between. A
// process that does not end within its grace, or not well, is noted; one that stays
// writes its stacks into its log.
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
	case variantThenPause:
		time.Sleep(stopPauseDelay)
		p.signal(syscall.SIGSTOP, true)
		time.Sleep(stopPauseDuration)
		p.signal(syscall.SIGCONT, true)
	}
	select {
	case <-run.exited:
	case <-time.After(standin.Grace*time.Second + stopMargin):
		p.violations.add("%s was told to stop at %s and still runs", p.settings.Name, formatTime(stopSpan.start))
		p.signal(syscall.SIGQUIT, true)
		<-run.exited
	}
	stopSpan.end = time.Now()
	if run.exitErr != nil {
		p.violations.add("%s was told to stop at %s and ended with %v", p.settings.Name, formatTime(stopSpan.start), run.exitErr)
	}
	return stopSpan
}

// tear leaves the beginning of a batch at the end of a keeper's log, as a crash in the
// middle of a write does.
func (p *process) tearLog() error {
	logs, err := filepath.Glob(filepath.Join(p.settings.Folder, "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	last := slices.Max(logs)
	data, err := os.ReadFile(last)
	if err != nil {
		return err
	}
	const maxTornBytes = 13 // bytes, in the middle of a record's head
	return os.WriteFile(last, append(data, data[:min(len(data), maxTornBytes)]...), 0o600)
}

// notes are what goes against the promises. They may be added to at any time.
type violations struct {
	mu   sync.Mutex
	list []string
}

func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, fmt.Sprintf(format, args...))
}

// check adds a note unless what it says is not so.
func (v *violations) check(ok bool, format string, args ...any) {
	if !ok {
		v.add(format, args...)
	}
}

func formatTime(t time.Time) string {
	return t.Format("05.000")
}
