package cmd

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// ground is a small fleet of real processes under the platform's settings, each
// on a loopback address of its own, before a stand-in of the platform.
type ground struct {
	t       *testing.T
	folder  string
	port    int
	site    *standin.Platform
	running map[string]*exec.Cmd
	seeds   []int // keepers that settings name
	ids     int
}

const (
	groundKeepers = 4 // the first three are the seeds
	groundPorts   = standin.PortsPerProcess
)

func newGround(t *testing.T) *ground {
	site, err := standin.StartPlatform("127.0.3.1:0")
	require.NoError(t, err)
	g := &ground{t: t, folder: t.TempDir(), site: site, running: map[string]*exec.Cmd{}, seeds: []int{0, 1, 2}}
	g.port, err = standin.ReservePorts(groundPorts)
	require.NoError(t, err)
	for i := range 2 {
		_, err := site.Add(fmt.Sprintf("i-%d", i), "plain", "z1", "127.0.3.1:0", 8)
		require.NoError(t, err)
	}
	t.Cleanup(func() {
		for name := range g.running {
			_ = g.end(name, syscall.SIGKILL) // it was killed
		}
		site.Close()
		if t.Failed() {
			place, err := standin.SaveLogs(t.Name(), g.folder)
			t.Logf("logs are in %q: %v", place, err)
		}
	})
	return g
}

// ip is a loopback address of this ground alone: metrics are served at one port on all
// VMs, and other grounds may be played beside it. The port is claimed for this process.
func (g *ground) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+g.port>>8, g.port&0xff, host)
}

func (g *ground) keeperIP(i int) string { return g.ip(1 + i) }
func (g *ground) routerIP(i int) string { return g.ip(101 + i) }

// ports of a process: operators', callers', readiness, and between processes.
func (g *ground) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, g.port+offset)
}

func (g *ground) settings(name, ip, zone string, first bool) string {
	return g.settingsAt(name, ip, zone, first, g.site.Address())
}

// settingsAt are settings that name where the platform's list is.
func (g *ground) settingsAt(name, ip, zone string, first bool, list string) string {
	var seeds []string
	for _, i := range g.seeds {
		seeds = append(seeds, g.address(g.keeperIP(i), standin.OperatorPort))
	}
	return standin.ProcessSettings{
		Name: name, IP: ip, Zone: zone, Port: g.port, Seeds: seeds, FirstStart: first, DataDir: filepath.Join(g.folder, name),
		ListAddress: list,
	}.TOML()
}

// write writes the settings file of a process and returns its path.
func (g *ground) write(name, ip string, first bool) string {
	path := filepath.Join(g.folder, name+".toml")
	require.NoError(g.t, os.WriteFile(path, []byte(g.settings(name, ip, "z1", first)), 0o600))
	return path
}

func (g *ground) start(program, name, ip string, first bool) {
	path := g.write(name, ip, first)
	cmd := exec.Command(os.Args[0], "--platform")
	cmd.Env = append(os.Environ(), programEnv+"="+program, "LABURNUMFALL_CONFIG="+path)
	log, err := os.OpenFile(filepath.Join(g.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(g.t, err)
	defer func() { _ = log.Close() }() // the process has its own
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(g.t, cmd.Start())
	g.running[name] = cmd
}

func (g *ground) keeper(i int, first bool) {
	g.start("lf-keeper", fmt.Sprintf("k%d", i), g.keeperIP(i), first)
}

func (g *ground) router(i int) {
	g.start("lf-router", fmt.Sprintf("r%d", i), g.routerIP(i), true)
}

func (g *ground) end(name string, signal syscall.Signal) error {
	cmd := g.running[name]
	delete(g.running, name)
	require.NoError(g.t, cmd.Process.Signal(signal))
	return cmd.Wait()
}

const groundConfig = `{"version":%d,"routes":[
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"open","hostname":"h.example","path_prefix":"/open%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

func (g *ground) config(version int) string {
	return fmt.Sprintf(groundConfig, version, version)
}

var groundClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// operator is one that may ask all keepers.
func (g *ground) operator() *standin.Operator {
	o := &standin.Operator{}
	for i := range groundKeepers {
		o.Keepers = append(o.Keepers, g.address(g.keeperIP(i), 1))
	}
	return o
}

// put sends a configuration to one keeper after the other until it is accepted.
func (g *ground) put(version int) {
	next := 0
	require.Eventually(g.t, func() bool {
		next = (next + 1) % groundKeepers
		status, _ := g.operator().PutConfig(next, g.config(version))
		return status == http.StatusOK
	}, patience, poll, "configuration %d was not accepted", version)
}

// requireRead checks that every running keeper that answers gives the newest
// configuration back byte by byte, and that one does.
func (g *ground) requireRead(version int) {
	require.Eventually(g.t, func() bool {
		answers := 0
		for i := range groundKeepers {
			status, text := g.operator().GetConfig(i)
			if status == http.StatusOK {
				require.Equal(g.t, g.config(version), text)
				answers++
			}
		}
		return answers >= groundKeepers-1
	}, patience, poll)
}

func (g *ground) request(router int, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+g.address(g.routerIP(router), 2)+path, nil)
	require.NoError(g.t, err)
	req.Host = "h.example"
	g.ids++
	req.Header.Set("X-Attempt-Id", fmt.Sprint("id-", g.ids))
	req.Header.Set("Authorization", "Bearer good-key")
	resp, err := groundClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}

func (g *ground) requireServed(version int) {
	for i := range 2 {
		require.Eventually(g.t, func() bool {
			return g.request(i, fmt.Sprintf("/open%d/x", version)) == http.StatusOK && g.request(i, "/keyed/x") == http.StatusOK
		}, patience, poll, "router %d does not serve configuration %d", i, version)
	}
}

// TestPlatformFleet plays a fleet's life: founding in any order, the loss of the
// keepers one after the other, a lost disk, and the loss of all at once. What
// was accepted stays, byte by byte.
func TestPlatformFleet(t *testing.T) {
	g := newGround(t)
	g.router(0)
	for _, i := range []int{3, 1, 0, 2} {
		g.keeper(i, true)
	}
	g.router(1)
	g.put(1)
	g.requireServed(1)
	status, _ := g.operator().PutConfig(0, strings.Replace(g.config(5), `"timeout_ms":2000`, `"timeout_ms":0`, 1))
	require.Equal(t, http.StatusBadRequest, status)
	version := 1
	for i := range groundKeepers {
		require.Error(t, g.end(fmt.Sprintf("k%d", i), syscall.SIGKILL))
		version++
		g.put(version)
		g.requireServed(version)
		g.keeper(i, false)
	}
	g.requireRead(version)

	promoted := strings.Count(g.logs(), `"keeper promoted"`)
	require.Error(t, g.end("k1", syscall.SIGKILL))
	require.NoError(t, os.RemoveAll(filepath.Join(g.folder, "k1")))
	g.keeper(1, false)
	require.Eventually(t, func() bool { return strings.Count(g.logs(), `"keeper promoted"`) > promoted }, patience, poll)
	g.requireRead(version)

	for i := range groundKeepers {
		require.Error(t, g.end(fmt.Sprintf("k%d", i), syscall.SIGKILL))
	}
	require.Equal(t, http.StatusOK, g.request(0, "/keyed/x"), "routers go on while the keepers are away")
	require.Eventually(t, func() bool { return g.request(0, "/keyed/x") == http.StatusServiceUnavailable }, patience, poll,
		"keys stop counting")
	require.Equal(t, http.StatusOK, g.request(0, fmt.Sprintf("/open%d/x", version)), "keyless routes go on")
	for i := range groundKeepers {
		g.keeper(i, false)
	}
	g.requireRead(version)
	version++
	g.put(version)
	g.requireServed(version)

	g.seeds = []int{3, 2}
	g.write("r0", g.routerIP(0), false)
	require.NoError(t, g.running["r0"].Process.Signal(syscall.SIGHUP))
	require.Equal(t, http.StatusOK, g.request(0, "/keyed/x"), "a reload ends nothing")
	require.Eventually(t, func() bool { return strings.Contains(g.logs(), `"@message":"reload"`) }, patience, poll)
	g.write("r1", g.routerIP(1), false)
	require.Eventually(t, func() bool { return strings.Contains(g.logs(), `"source":"file"`) }, patience, poll,
		"settings may change without a signal")
	require.NoError(t, g.end("r0", syscall.SIGTERM))
	require.NoError(t, g.end("k0", syscall.SIGTERM))
}

// Symptom: a fleet never starts.
// Sequence: it starts for the first time, and one of the three seeds is dead.
// Cause: the founders wait for all of them.
func TestPlatformFleetStartsWithoutASeed(t *testing.T) {
	g := newGround(t)
	for _, i := range []int{3, 2, 0} {
		g.keeper(i, true)
	}
	g.router(0)
	g.router(1)
	g.put(1)
	g.requireServed(1)
	g.keeper(1, true)
	g.requireRead(1)
	require.Eventually(t, func() bool { return strings.Count(g.logs(), `"keeper promoted"`) >= 2 }, patience, poll,
		"the late seed joins, as the keeper that is no seed did")
	require.Error(t, g.end("k0", syscall.SIGKILL))
	g.put(2)
	g.requireServed(2)
}

// logs returns what the processes have logged so far.
func (g *ground) logs() string {
	files, err := filepath.Glob(filepath.Join(g.folder, "*.log"))
	require.NoError(g.t, err)
	all := ""
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(g.t, err)
		all += string(text)
	}
	return all
}

// evacuation sends an order to one keeper after the other until it has a clear answer.
func (g *ground) evacuation(method, zone, body string) int {
	last := 0
	require.Eventually(g.t, func() bool {
		for i := range groundKeepers {
			req, err := http.NewRequest(method, "http://"+g.address(g.keeperIP(i), 1)+"/laburnumfall/evacuation/"+zone, strings.NewReader(body))
			require.NoError(g.t, err)
			resp, err := groundClient.Do(req)
			if err != nil {
				continue
			}
			_ = resp.Body.Close() // only the status counts
			last = resp.StatusCode
			if last < http.StatusInternalServerError {
				return true
			}
		}
		return false
	}, patience, poll)
	return last
}

// Guards against an evacuation that is not in force at every router, is forgotten when all
// keepers end, or cannot be taken back.
func TestAnEvacuationOutlastsAllKeepers(t *testing.T) {
	g := newGround(t)
	for i := range groundKeepers {
		g.keeper(i, true)
	}
	g.router(0)
	g.router(1)
	g.put(1)
	g.requireServed(1)
	require.Equal(t, http.StatusBadRequest, g.evacuation(http.MethodPost, "nowhere", ""))
	require.Equal(t, http.StatusBadRequest, g.evacuation(http.MethodPost, "z1", "body"))
	require.Equal(t, http.StatusOK, g.request(0, "/open1/x"))

	requireRefused := func() {
		for i := range 2 {
			require.Eventually(t, func() bool { return g.request(i, "/open1/x") == http.StatusServiceUnavailable }, patience, poll)
		}
	}
	for range 2 { // sent again, it is acknowledged again
		require.Equal(t, http.StatusOK, g.evacuation(http.MethodPost, "z1", ""))
	}
	requireRefused()
	for i := range groundKeepers {
		require.Error(t, g.end(fmt.Sprintf("k%d", i), syscall.SIGKILL))
	}
	require.Error(t, g.end("r1", syscall.SIGKILL))
	for i := range groundKeepers {
		g.keeper(i, false)
	}
	g.router(1)
	g.requireRead(1)
	requireRefused()
	require.Equal(t, http.StatusOK, g.evacuation(http.MethodDelete, "z1", ""))
	g.requireServed(1)
}
