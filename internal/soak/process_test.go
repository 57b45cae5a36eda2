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
	patience = 30 * time.Second
	poll     = 50 * time.Millisecond
	// stopMargin is what a process may need beyond its grace to end, on a busy machine.
	stopMargin = 6 * time.Second
	// twiceAfter is how long after the first SIGTERM the second comes.
	twiceAfter = 300 * time.Millisecond
	// frozenAfter is how long after SIGTERM a process stands still, for frozenTime.
	frozenAfter = 200 * time.Millisecond
	frozenTime  = time.Second
)

// A process is a place where one program runs, ends and runs again.
type process struct {
	program  string
	folder   string // of all processes
	settings standin.ProcessSettings
	listen   string // a keeper's address behind its proxy
	notes    *notes

	// turn is held while a fault of the process lasts: they follow each other.
	turn sync.Mutex
	mu   sync.Mutex
	run  *run // nil while none is there
}

// A run is a process from its start to its end.
type run struct {
	cmd   *exec.Cmd
	told  bool // it may end
	runs  bool // it has said so
	ended chan struct{}
	err   error // once ended
}

func (p *process) file(suffix string) string {
	return filepath.Join(p.folder, p.settings.Name+suffix)
}

// write writes the settings file.
func (p *process) write() error {
	return os.WriteFile(p.file(".toml"), []byte(p.settings.TOML()), 0o600)
}

// start starts the program with a clock that goes wrong or, by "", right. It returns
// when the program says that it runs: until then a signal ends it as it would any, and
// there is nothing that a graceful stop could keep.
func (p *process) start(clock string) error {
	if err := p.write(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	c := exec.Command(os.Args[0], "--platform")
	c.Env = append(os.Environ(), programEnv+"="+p.program, "LABURNUMFALL_CONFIG="+p.file(".toml"),
		clockEnv+"="+clock, listenEnv+"="+p.listen, diskEnv+"="+p.file(".disk"))
	c.Stdout, c.Stderr = log, log
	before := p.logged(`"@message":"start"`)
	if err := c.Start(); err != nil {
		return err
	}
	r := &run{cmd: c, ended: make(chan struct{})}
	p.mu.Lock()
	p.run = r
	p.mu.Unlock()
	go p.await(r)
	for until := time.Now().Add(patience); p.logged(`"@message":"start"`) == before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%s did not start", p.settings.Name)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.runs = true
	return nil
}

// await notes the end of a run, and that it was nobody's order.
func (p *process) await(r *run) {
	err := r.cmd.Wait()
	p.mu.Lock()
	told := r.told
	r.err = err
	if p.run == r {
		p.run = nil
	}
	p.mu.Unlock()
	if !told {
		p.notes.add("%s ended by itself: %v", p.settings.Name, err)
	}
	close(r.ended)
}

// logged returns how often a text stands in the process's log.
func (p *process) logged(text string) int {
	data, err := os.ReadFile(p.file(".log"))
	if err != nil {
		return 0 // it has none yet
	}
	return bytes.Count(data, []byte(text))
}

// signal sends a signal, where there is somebody, and returns who got it.
func (p *process) signal(s syscall.Signal, mayEnd bool) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.run
	if r == nil {
		return nil
	}
	r.told = r.told || mayEnd
	if err := r.cmd.Process.Signal(s); err != nil {
		return nil // it is just ending
	}
	return r
}

// hangup sends SIGHUP, where there is somebody who has started.
func (p *process) hangup() {
	p.mu.Lock()
	runs := p.run != nil && p.run.runs
	p.mu.Unlock()
	if runs {
		p.signal(syscall.SIGHUP, false)
	}
}

// mayEnd says that the process may end by itself, as on a disk that fails.
func (p *process) mayEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		p.run.told = true
	}
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	if r := p.signal(syscall.SIGKILL, true); r != nil {
		<-r.ended
	}
}

// stop tells the process to stop, waits for its end and returns the time between. A
// process that does not end within its grace, or not well, is noted; one that stays
// writes its stacks into its log.
func (p *process) stop(how string) span {
	s := span{from: time.Now()}
	r := p.signal(syscall.SIGTERM, true)
	if r == nil {
		return s
	}
	switch how {
	case howTwice:
		time.Sleep(twiceAfter)
		p.signal(syscall.SIGTERM, true)
	case howFrozen:
		time.Sleep(frozenAfter)
		p.signal(syscall.SIGSTOP, true)
		time.Sleep(frozenTime)
		p.signal(syscall.SIGCONT, true)
	}
	select {
	case <-r.ended:
	case <-time.After(standin.GraceSeconds*time.Second + stopMargin):
		p.notes.add("%s was told to stop at %s and still runs", p.settings.Name, clockTime(s.from))
		p.signal(syscall.SIGQUIT, true)
		<-r.ended
	}
	s.to = time.Now()
	if r.err != nil {
		p.notes.add("%s was told to stop at %s and ended with %v", p.settings.Name, clockTime(s.from), r.err)
	}
	return s
}

// tear leaves the beginning of a batch at the end of a keeper's log, as a crash in the
// middle of a write does.
func (p *process) tear() error {
	logs, err := filepath.Glob(filepath.Join(p.settings.DataDir, "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	last := slices.Max(logs)
	data, err := os.ReadFile(last)
	if err != nil {
		return err
	}
	const most = 13 // bytes, in the middle of a record's head
	return os.WriteFile(last, append(data, data[:min(len(data), most)]...), 0o600)
}

// notes are what goes against the promises. They may be added to at any time.
type notes struct {
	mu   sync.Mutex
	list []string
}

func (n *notes) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = append(n.list, fmt.Sprintf(format, args...))
}

// check adds a note unless what it says is not so.
func (n *notes) check(ok bool, format string, args ...any) {
	if !ok {
		n.add(format, args...)
	}
}

func clockTime(t time.Time) string {
	return t.Format("05.000")
}
