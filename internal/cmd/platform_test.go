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

// platformFleet is a small fleet of real processes with settings of the users' platform, each on
// its own loopback address, and a stand-in of the platform.
type platformFleet struct {
	t            *testing.T
	folder       string
	basePort     int
	platform     *standin.Platform
	running      map[string]*exec.Cmd
	seedKeepers  []int // the keepers that are seeds in the settings
	requestCount int
}

const (
	platformKeepers = 4 // The first three are the seeds.
	portsPerProcess = standin.PortsPerProcess
)

func newPlatformFleet(t *testing.T) *platformFleet {
	site, err := standin.StartPlatform("127.0.3.1:0")
	require.NoError(t, err)
	fleet := &platformFleet{t: t, folder: t.TempDir(), platform: site, running: map[string]*exec.Cmd{}, seedKeepers: []int{0, 1, 2}}
	fleet.basePort, err = standin.ReservePorts(portsPerProcess)
	require.NoError(t, err)
	for i := range 2 {
		_, err := site.Add(fmt.Sprintf("i-%d", i), "plain", "z1", "127.0.3.1:0", 8)
		require.NoError(t, err)
	}
	t.Cleanup(func() {
		for name := range fleet.running {
			_ = fleet.signalAndWait(name, syscall.SIGKILL) // It was killed, so the exit status is not needed.
		}
		site.Close()
		if t.Failed() {
			savedDir, err := standin.SaveLogs(t.Name(), fleet.folder)
			t.Logf("logs are in %q: %v", savedDir, err)
		}
	})
	return fleet
}

// hostIP returns a loopback address that no other fleet uses: all processes serve metrics at the
// same port, and several tests may run at the same time. The address depends on the port, which
// is reserved for this process.
func (f *platformFleet) hostIP(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+f.basePort>>8, f.basePort&0xff, host)
}

func (f *platformFleet) keeperIP(i int) string { return f.hostIP(1 + i) }
func (f *platformFleet) routerIP(i int) string { return f.hostIP(101 + i) }

// address returns an address of a process. The offset selects the port: the one between
// processes, for operators, for callers or for readiness.
func (f *platformFleet) address(ip string, portOffset int) string {
	return fmt.Sprintf("%s:%d", ip, f.basePort+portOffset)
}

func (f *platformFleet) settingsText(name, ip, zone string, firstStart bool) string {
	return f.settingsTextWithList(name, ip, zone, firstStart, f.platform.Address())
}

// settingsTextWithList returns settings with a given address of the platform's list of targets.
func (f *platformFleet) settingsTextWithList(name, ip, zone string, firstStart bool, listAddress string) string {
	var seeds []string
	for _, i := range f.seedKeepers {
		seeds = append(seeds, f.address(f.keeperIP(i), standin.OperatorPort))
	}
	return standin.ProcessSettings{
		Name: name, IP: ip, Zone: zone, Port: f.basePort, Seeds: seeds, FirstStart: firstStart, DataDir: filepath.Join(f.folder, name),
		ListAddress: listAddress,
	}.TOML()
}

// writeSettings writes the settings file of a process and returns its path.
func (f *platformFleet) writeSettings(name, ip string, firstStart bool) string {
	return f.writeSettingsInZone(name, ip, "z1", firstStart)
}

// writeSettingsInZone is writeSettings for a process in a given availability zone.
func (f *platformFleet) writeSettingsInZone(name, ip, zone string, firstStart bool) string {
	path := filepath.Join(f.folder, name+".toml")
	require.NoError(f.t, os.WriteFile(path, []byte(f.settingsText(name, ip, zone, firstStart)), 0o600))
	return path
}

func (f *platformFleet) startProcess(program, name, ip string, firstStart bool) {
	f.startWithSettings(program, name, f.writeSettings(name, ip, firstStart))
}

// startWithSettings starts a process with a settings file.
func (f *platformFleet) startWithSettings(program, name, path string) {
	command := exec.Command(os.Args[0], "--platform")
	command.Env = append(os.Environ(), programEnv+"="+program, "LABURNUMFALL_CONFIG="+path)
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	command.Stdout, command.Stderr = log, log
	require.NoError(f.t, command.Start())
	f.running[name] = command
}

func (f *platformFleet) startKeeper(i int, firstStart bool) {
	f.startProcess("lf-keeper", fmt.Sprintf("k%d", i), f.keeperIP(i), firstStart)
}

func (f *platformFleet) startRouter(i int) {
	f.startProcess("lf-router", fmt.Sprintf("r%d", i), f.routerIP(i), true)
}

// signalAndWait sends a signal to a process and waits until it exits. The error is that of Wait.
func (f *platformFleet) signalAndWait(name string, sig syscall.Signal) error {
	command := f.running[name]
	delete(f.running, name)
	require.NoError(f.t, command.Process.Signal(sig))
	return command.Wait()
}

const platformConfig = `{"version":%d,"routes":[
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"open","hostname":"h.example","path_prefix":"/open%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

func (f *platformFleet) configText(version int) string {
	return fmt.Sprintf(platformConfig, version, version)
}

// callerClient sends each request on a new connection.
var callerClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// operator returns an operator that can reach all keepers.
func (f *platformFleet) operator() *standin.Operator {
	operator := &standin.Operator{}
	for i := range platformKeepers {
		operator.Keepers = append(operator.Keepers, f.address(f.keeperIP(i), 1))
	}
	return operator
}

// putConfig sends a configuration to the keepers in turn until one accepts it.
func (f *platformFleet) putConfig(version int) {
	keeper := 0
	require.Eventually(f.t, func() bool {
		keeper = (keeper + 1) % platformKeepers
		status, _ := f.operator().PutConfig(keeper, f.configText(version))
		return status == http.StatusOK
	}, waitTimeout, pollInterval, "no keeper accepted configuration %d", version)
}

// requireConfigAtKeepers checks that every keeper that responds returns the newest configuration
// byte by byte, and that at most one keeper does not respond.
func (f *platformFleet) requireConfigAtKeepers(version int) {
	require.Eventually(f.t, func() bool {
		answers := 0
		for i := range platformKeepers {
			status, text := f.operator().GetConfig(i)
			if status == http.StatusOK {
				require.Equal(f.t, f.configText(version), text)
				answers++
			}
		}
		return answers >= platformKeepers-1
	}, waitTimeout, pollInterval)
}

// requestStatus sends a request to a router and returns the response status, or 0 if there is no
// response.
func (f *platformFleet) requestStatus(router int, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.address(f.routerIP(router), 2)+path, nil)
	require.NoError(f.t, err)
	req.Host = "h.example"
	f.requestCount++
	req.Header.Set("X-Attempt-Id", fmt.Sprint("id-", f.requestCount))
	req.Header.Set("Authorization", "Bearer good-key")
	resp, err := callerClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // Only the status matters.
	return resp.StatusCode
}

// requireConfigAtRouters checks that both routers serve the configuration of the version.
func (f *platformFleet) requireConfigAtRouters(version int) {
	for i := range 2 {
		require.Eventually(f.t, func() bool {
			return f.requestStatus(i, fmt.Sprintf("/open%d/x", version)) == http.StatusOK && f.requestStatus(i, "/keyed/x") == http.StatusOK
		}, waitTimeout, pollInterval, "router %d does not serve configuration %d", i, version)
	}
}

// Guards against an accepted configuration that is lost or altered. The keepers start in an
// arbitrary order and are killed one after the other, one loses its disk, and all are killed at
// once.
func TestPlatformConfigSurvivesKeeperFailures(t *testing.T) {
	processes := newPlatformFleet(t)
	processes.startRouter(0)
	for _, i := range []int{3, 1, 0, 2} {
		processes.startKeeper(i, true)
	}
	processes.startRouter(1)
	processes.putConfig(1)
	processes.requireConfigAtRouters(1)
	status, _ := processes.operator().PutConfig(0, strings.Replace(processes.configText(5), `"timeout_ms":2000`, `"timeout_ms":0`, 1))
	require.Equal(t, http.StatusBadRequest, status)
	version := 1
	for i := range platformKeepers {
		require.Error(t, processes.signalAndWait(fmt.Sprintf("k%d", i), syscall.SIGKILL))
		version++
		processes.putConfig(version)
		processes.requireConfigAtRouters(version)
		processes.startKeeper(i, false)
	}
	processes.requireConfigAtKeepers(version)

	promoted := strings.Count(processes.logs(), `"keeper promoted"`)
	require.Error(t, processes.signalAndWait("k1", syscall.SIGKILL))
	require.NoError(t, os.RemoveAll(filepath.Join(processes.folder, "k1")))
	processes.startKeeper(1, false)
	require.Eventually(t, func() bool { return strings.Count(processes.logs(), `"keeper promoted"`) > promoted }, waitTimeout, pollInterval)
	processes.requireConfigAtKeepers(version)

	for i := range platformKeepers {
		require.Error(t, processes.signalAndWait(fmt.Sprintf("k%d", i), syscall.SIGKILL))
	}
	require.Equal(t, http.StatusOK, processes.requestStatus(0, "/keyed/x"), "routers serve requests while the keepers are down")
	require.Eventually(t, func() bool { return processes.requestStatus(0, "/keyed/x") == http.StatusServiceUnavailable }, waitTimeout, pollInterval,
		"API keys expire")
	require.Equal(t, http.StatusOK, processes.requestStatus(0, fmt.Sprintf("/open%d/x", version)), "keyless routes are still served")
	for i := range platformKeepers {
		processes.startKeeper(i, false)
	}
	processes.requireConfigAtKeepers(version)
	version++
	processes.putConfig(version)
	processes.requireConfigAtRouters(version)

	processes.seedKeepers = []int{3, 2}
	processes.writeSettings("r0", processes.routerIP(0), false)
	require.NoError(t, processes.running["r0"].Process.Signal(syscall.SIGHUP))
	require.Equal(t, http.StatusOK, processes.requestStatus(0, "/keyed/x"), "a reload interrupts no request")
	require.Eventually(t, func() bool { return strings.Contains(processes.logs(), `"@message":"reload"`) }, waitTimeout, pollInterval)
	processes.writeSettings("r1", processes.routerIP(1), false)
	require.Eventually(t, func() bool { return strings.Contains(processes.logs(), `"source":"file"`) }, waitTimeout, pollInterval,
		"settings may change without a signal")
	require.NoError(t, processes.signalAndWait("r0", syscall.SIGTERM))
	require.NoError(t, processes.signalAndWait("k0", syscall.SIGTERM))
}

// Guards against a fleet that never starts because the founding keepers wait for all three seeds
// while one of them is down.
func TestPlatformFleetStartsWithoutOneSeed(t *testing.T) {
	processes := newPlatformFleet(t)
	for _, i := range []int{3, 2, 0} {
		processes.startKeeper(i, true)
	}
	processes.startRouter(0)
	processes.startRouter(1)
	processes.putConfig(1)
	processes.requireConfigAtRouters(1)
	processes.startKeeper(1, true)
	processes.requireConfigAtKeepers(1)
	require.Eventually(t, func() bool { return strings.Count(processes.logs(), `"keeper promoted"`) >= 2 }, waitTimeout, pollInterval,
		"the late seed joins, like the keeper that is not a seed")
	require.Error(t, processes.signalAndWait("k0", syscall.SIGKILL))
	processes.putConfig(2)
	processes.requireConfigAtRouters(2)
}

// logs returns everything that the processes have logged so far.
func (f *platformFleet) logs() string {
	files, err := filepath.Glob(filepath.Join(f.folder, "*.log"))
	require.NoError(f.t, err)
	logs := ""
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(f.t, err)
		logs += string(text)
	}
	return logs
}

// sendEvacuation sends an evacuation order to the keepers in turn until one responds with a
// status below 500, and returns that status.
func (f *platformFleet) sendEvacuation(method, zone, body string) int {
	lastStatus := 0
	require.Eventually(f.t, func() bool {
		for i := range platformKeepers {
			req, err := http.NewRequest(method, "http://"+f.address(f.keeperIP(i), 1)+"/laburnumfall/evacuation/"+zone, strings.NewReader(body))
			require.NoError(f.t, err)
			resp, err := callerClient.Do(req)
			if err != nil {
				continue
			}
			_ = resp.Body.Close() // Only the status matters.
			lastStatus = resp.StatusCode
			if lastStatus < http.StatusInternalServerError {
				return true
			}
		}
		return false
	}, waitTimeout, pollInterval)
	return lastStatus
}

// Guards against an evacuation that does not reach every router, is lost when all keepers
// restart, or cannot be ended.
func TestEvacuationSurvivesRestartOfAllKeepers(t *testing.T) {
	processes := newPlatformFleet(t)
	for i := range platformKeepers {
		processes.startKeeper(i, true)
	}
	processes.startRouter(0)
	processes.startRouter(1)
	processes.putConfig(1)
	processes.requireConfigAtRouters(1)
	require.Equal(t, http.StatusBadRequest, processes.sendEvacuation(http.MethodPost, "z1", "body"))
	require.Equal(t, http.StatusOK, processes.requestStatus(0, "/open1/x"))

	requireRefused := func() {
		for i := range 2 {
			require.Eventually(t, func() bool { return processes.requestStatus(i, "/open1/x") == http.StatusServiceUnavailable }, waitTimeout, pollInterval)
		}
	}
	for range 2 { // A repeated order is acknowledged again.
		require.Equal(t, http.StatusOK, processes.sendEvacuation(http.MethodPost, "z1", ""))
	}
	requireRefused()
	require.Eventually(t, func() bool { return strings.Contains(processes.logs(), `"list of targets changed"`) }, waitTimeout, pollInterval)
	require.Equal(t, http.StatusBadRequest, processes.sendEvacuation(http.MethodPost, "nowhere", ""), "the leader has read the list")
	for i := range platformKeepers {
		require.Error(t, processes.signalAndWait(fmt.Sprintf("k%d", i), syscall.SIGKILL))
	}
	require.Error(t, processes.signalAndWait("r1", syscall.SIGKILL))
	for i := range platformKeepers {
		processes.startKeeper(i, false)
	}
	processes.startRouter(1)
	processes.requireConfigAtKeepers(1)
	requireRefused()
	require.Equal(t, http.StatusOK, processes.sendEvacuation(http.MethodDelete, "z1", ""))
	processes.requireConfigAtRouters(1)
}

// Guards against orders that are refused as wrong by keepers that cannot read the list of targets:
// a failure that makes an operator evacuate a zone may also stop the keepers and the list.
func TestEvacuationWhileListIsUnreachable(t *testing.T) {
	processes := newPlatformFleet(t)
	const unreachable = "127.0.0.1:1"
	for i := range platformKeepers {
		name := fmt.Sprintf("k%d", i)
		path := filepath.Join(processes.folder, name+".toml")
		settings := processes.settingsTextWithList(name, processes.keeperIP(i), "z1", true, unreachable)
		require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
		processes.startWithSettings("lf-keeper", name, path)
	}
	for range 2 { // A repeated order is acknowledged again.
		require.Equal(t, http.StatusOK, processes.sendEvacuation(http.MethodPost, "z1", ""))
	}
	require.Equal(t, http.StatusOK, processes.sendEvacuation(http.MethodDelete, "z1", ""))
}
