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
	testKey      = "test-key"
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// processFleet is a fleet of real processes on loopback.
type processFleet struct {
	t               testing.TB
	folder          string
	keeperAddresses map[string]string // by keeper name
	running         map[string]*exec.Cmd
	listenAddresses map[string]string // addresses for callers of routers and of targets, by name
	adminAddresses  map[string]string
	// extraRouterSettings is appended to the settings of routers.
	extraRouterSettings string
}

func newProcessFleet(t testing.TB) *processFleet {
	processes := &processFleet{
		t: t, folder: t.TempDir(), keeperAddresses: map[string]string{}, running: map[string]*exec.Cmd{},
		listenAddresses: map[string]string{}, adminAddresses: map[string]string{},
	}
	processes.writeFile("secret", "0123456789abcdef0123456789abcdef")
	for _, name := range []string{"k1", "k2", "k3"} {
		processes.keeperAddresses[name] = processes.freeAddress()
	}
	t.Cleanup(processes.stopAll)
	return processes
}

func (p *processFleet) freeAddress() string {
	address, err := standin.ReserveAddress()
	require.NoError(p.t, err)
	return address
}

func (p *processFleet) writeFile(name, text string) string {
	file := filepath.Join(p.folder, name)
	require.NoError(p.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func (p *processFleet) startProcess(program, name string, args ...string) {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), programEnv+"="+program)
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	command.Stderr, command.Stdout = log, log
	require.NoError(p.t, command.Start())
	p.running[name] = command
}

func (p *processFleet) peerList() string {
	var list []string
	for _, name := range []string{"k1", "k2", "k3"} {
		list = append(list, fmt.Sprintf("%q", name+"="+p.keeperAddresses[name]))
	}
	return strings.Join(list, ", ")
}

func (p *processFleet) startKeeper(name string, flags ...string) {
	if p.adminAddresses[name] == "" {
		p.adminAddresses[name] = p.freeAddress()
	}
	file := p.writeFile(name+".toml", fmt.Sprintf("name = %q\nzone = \"z-%s\"\nlisten = %q\nadmin = %q\ndata = %q\npeers = [%s]\nsecret = %q\n",
		name, name, p.keeperAddresses[name], p.adminAddresses[name], filepath.Join(p.folder, name), p.peerList(), filepath.Join(p.folder, "secret")))
	p.startProcess("lf-keeper", name, append([]string{"--config", file}, flags...)...)
}

func (p *processFleet) startRouter(name string) {
	if p.listenAddresses[name] == "" {
		p.listenAddresses[name], p.adminAddresses[name] = p.freeAddress(), p.freeAddress()
	}
	var list []string
	for _, address := range p.keeperAddresses {
		list = append(list, fmt.Sprintf("%q", address))
	}
	file := p.writeFile(name+".toml", fmt.Sprintf("name = %q\nzone = \"z-k1\"\nlisten = %q\nadmin = %q\nkeepers = [%s]\nsecret = %q\n%s",
		name, p.listenAddresses[name], p.adminAddresses[name], strings.Join(list, ", "), filepath.Join(p.folder, "secret"), p.extraRouterSettings))
	p.startProcess("lf-router", name, "--config", file)
}

// startStandin starts a target. The extra settings are lines of TOML.
func (p *processFleet) startStandin(name, kind, extraSettings string) {
	if p.listenAddresses[name] == "" {
		p.listenAddresses[name] = p.freeAddress()
	}
	file := p.writeFile(name+".toml", fmt.Sprintf("name = %q\nlisten = %q\nkind = %q\n%s\n", name, p.listenAddresses[name], kind, extraSettings))
	p.startProcess("lf-standin", name, "--config", file)
}

// kill kills a process and waits for its exit.
func (p *processFleet) kill(name string) {
	require.NoError(p.t, p.running[name].Process.Kill())
	_ = p.running[name].Wait() // It was killed, so the exit status is not needed.
	delete(p.running, name)
}

// waitForExit waits until a process exits by itself and returns its exit code.
func (p *processFleet) waitForExit(name string) int {
	command := p.running[name]
	timer := time.AfterFunc(waitTimeout, func() { _ = command.Process.Kill() })
	defer timer.Stop()
	_ = command.Wait() // The exit code is read below.
	delete(p.running, name)
	return command.ProcessState.ExitCode()
}

// memberID returns the ID of a keeper as a member of the group, or "" if it is not a member.
func (p *processFleet) memberID(name string) string {
	for _, keeper := range p.status().Keepers {
		if keeper.Name == name {
			return keeper.ID
		}
	}
	return ""
}

func (p *processFleet) signal(name string, sig syscall.Signal) {
	require.NoError(p.t, p.running[name].Process.Signal(sig))
}

func (p *processFleet) stopAll() {
	for _, command := range p.running {
		_ = command.Process.Signal(syscall.SIGCONT) // A suspended process cannot exit.
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	if !p.t.Failed() {
		return
	}
	savedDir, err := standin.SaveLogs(p.t.Name(), p.folder)
	p.t.Logf("logs are in %q: %v", savedDir, err)
	logs, _ := filepath.Glob(filepath.Join(p.folder, "*.log"))
	for _, file := range logs {
		data, _ := os.ReadFile(file)
		p.t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-4000):])
	}
}

// runCtl runs lfctl in this process and returns its exit code and output.
func (p *processFleet) runCtl(args ...string) (int, string) {
	var addresses []string
	for _, address := range p.keeperAddresses {
		addresses = append(addresses, address)
	}
	var stdout, stderr bytes.Buffer
	code := Ctl(append([]string{"--keepers", strings.Join(addresses, ","), "--secret", filepath.Join(p.folder, "secret")}, args...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func (p *processFleet) status() message.Status {
	var status message.Status
	code, out := p.runCtl("--json", "status")
	if code == exitOK {
		require.NoError(p.t, json.Unmarshal([]byte(out), &status))
	}
	return status
}

func (p *processFleet) eventually(condition string, check func() bool) {
	p.t.Helper()
	require.Eventually(p.t, check, waitTimeout, pollInterval, condition)
}

// writeConfig writes a configuration with one account and the given targets to a file and returns
// its path.
func (p *processFleet) writeConfig(number int, leavingTarget string, targets ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "number = %d\n[[account]]\nname = \"regina\"\nshare = 1.0\nkeys = [%q]\n", number, fleet.KeyDigest(testKey))
	for _, name := range targets {
		state := "live"
		if name == leavingTarget {
			state = "leaving"
		}
		fmt.Fprintf(&text, "[[target]]\nname = %q\naddress = %q\nzone = \"z-k1\"\nkind = \"engine\"\nslots = 8\nstate = %q\n", name, p.listenAddresses[name], state)
	}
	fmt.Fprintf(&text, "[[event]]\nname = \"tender\"\naccounts = [\"regina\"]\ntargets = [\"%s\"]\n", strings.Join(targets, `", "`))
	return p.writeFile(fmt.Sprintf("config-%d.toml", number), text.String())
}
