package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/standin"
)

const (
	testKey  = "test-key"
	patience = 30 * time.Second
	poll     = 50 * time.Millisecond
)

// processes is a fleet of real processes on loopback.
type processes struct {
	t       testing.TB
	folder  string
	keepers map[string]string // address by name
	running map[string]*exec.Cmd
	listen  map[string]string // callers' or targets' address by name
	admin   map[string]string
	// moreRouter is appended to the settings of routers.
	moreRouter string
}

func newProcesses(t testing.TB) *processes {
	p := &processes{
		t: t, folder: t.TempDir(), keepers: map[string]string{}, running: map[string]*exec.Cmd{},
		listen: map[string]string{}, admin: map[string]string{},
	}
	p.write("secret", "0123456789abcdef0123456789abcdef")
	for _, name := range []string{"k1", "k2", "k3"} {
		p.keepers[name] = p.free()
	}
	t.Cleanup(p.stopAll)
	return p
}

func (p *processes) free() string {
	address, err := standin.FreeAddress()
	require.NoError(p.t, err)
	return address
}

func (p *processes) write(name, text string) string {
	file := filepath.Join(p.folder, name)
	require.NoError(p.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func (p *processes) start(program, name string, args ...string) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), programEnv+"="+program)
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	c.Stderr, c.Stdout = log, log
	require.NoError(p.t, c.Start())
	p.running[name] = c
}

func (p *processes) peerList() string {
	var list []string
	for _, name := range []string{"k1", "k2", "k3"} {
		list = append(list, fmt.Sprintf("%q", name+"="+p.keepers[name]))
	}
	return strings.Join(list, ", ")
}

func (p *processes) startKeeper(name string, flags ...string) {
	if p.admin[name] == "" {
		p.admin[name] = p.free()
	}
	file := p.write(name+".toml", fmt.Sprintf("name = %q\nzone = \"z-%s\"\nlisten = %q\nadmin = %q\ndata = %q\npeers = [%s]\nsecret = %q\n",
		name, name, p.keepers[name], p.admin[name], filepath.Join(p.folder, name), p.peerList(), filepath.Join(p.folder, "secret")))
	p.start("lf-keeper", name, append([]string{"--config", file}, flags...)...)
}

func (p *processes) startRouter(name string) {
	if p.listen[name] == "" {
		p.listen[name], p.admin[name] = p.free(), p.free()
	}
	var list []string
	for _, address := range p.keepers {
		list = append(list, fmt.Sprintf("%q", address))
	}
	file := p.write(name+".toml", fmt.Sprintf("name = %q\nzone = \"z-k1\"\nlisten = %q\nadmin = %q\nkeepers = [%s]\nsecret = %q\n%s",
		name, p.listen[name], p.admin[name], strings.Join(list, ", "), filepath.Join(p.folder, "secret"), p.moreRouter))
	p.start("lf-router", name, "--config", file)
}

func (p *processes) startStandin(name, kind, more string) {
	if p.listen[name] == "" {
		p.listen[name] = p.free()
	}
	file := p.write(name+".toml", fmt.Sprintf("name = %q\nlisten = %q\nkind = %q\n%s\n", name, p.listen[name], kind, more))
	p.start("lf-standin", name, "--config", file)
}

// kill ends a process at once and waits for it.
func (p *processes) kill(name string) {
	require.NoError(p.t, p.running[name].Process.Kill())
	_ = p.running[name].Wait() // it was killed, so this tells nothing
	delete(p.running, name)
}

// exitCode waits until a process ends by itself.
func (p *processes) exitCode(name string) int {
	c := p.running[name]
	timer := time.AfterFunc(patience, func() { _ = c.Process.Kill() })
	defer timer.Stop()
	_ = c.Wait() // the code tells
	delete(p.running, name)
	return c.ProcessState.ExitCode()
}

func (p *processes) memberID(name string) string {
	for _, k := range p.status().Keepers {
		if k.Name == name {
			return k.ID
		}
	}
	return ""
}

func (p *processes) signal(name string, s syscall.Signal) {
	require.NoError(p.t, p.running[name].Process.Signal(s))
}

func (p *processes) stopAll() {
	for _, c := range p.running {
		_ = c.Process.Signal(syscall.SIGCONT) // a stopped one cannot end
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if !p.t.Failed() {
		return
	}
	place, err := standin.KeepLogs(p.t.Name(), p.folder)
	p.t.Logf("logs are in %q: %v", place, err)
	logs, _ := filepath.Glob(filepath.Join(p.folder, "*.log"))
	for _, file := range logs {
		data, _ := os.ReadFile(file)
		p.t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-4000):])
	}
}

// ctl runs lfctl in this process and returns its exit code and output.
func (p *processes) ctl(args ...string) (int, string) {
	var list []string
	for _, address := range p.keepers {
		list = append(list, address)
	}
	var out, errs bytes.Buffer
	code := Ctl(append([]string{"--keepers", strings.Join(list, ","), "--secret", filepath.Join(p.folder, "secret")}, args...), &out, &errs)
	return code, out.String() + errs.String()
}

func (p *processes) status() message.Status {
	var s message.Status
	code, out := p.ctl("--json", "status")
	if code == exitOK {
		require.NoError(p.t, json.Unmarshal([]byte(out), &s))
	}
	return s
}

func (p *processes) eventually(what string, ok func() bool) {
	p.t.Helper()
	require.Eventually(p.t, ok, patience, poll, what)
}

// config writes a configuration with one account and the given targets.
func (p *processes) config(number int, leaving string, targets ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "number = %d\n[[account]]\nname = \"regina\"\nshare = 1.0\nkeys = [%q]\n", number, fleet.KeyDigest(testKey))
	for _, name := range targets {
		state := "live"
		if name == leaving {
			state = "leaving"
		}
		fmt.Fprintf(&b, "[[target]]\nname = %q\naddress = %q\nzone = \"z-k1\"\nkind = \"engine\"\nslots = 8\nstate = %q\n", name, p.listen[name], state)
	}
	fmt.Fprintf(&b, "[[event]]\nname = \"tender\"\naccounts = [\"regina\"]\ntargets = [\"%s\"]\n", strings.Join(targets, `", "`))
	return p.write(fmt.Sprintf("config-%d.toml", number), b.String())
}
