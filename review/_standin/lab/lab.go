// Package lab starts a small deployment for a review case: keepers and routers as the deploy file
// runs them, each on its own loopback address, and a stand-in for the platform's list of servers.
package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every process; each process has an address of its own.
const (
	peerPort     = 7400
	controlPort  = 8785
	frontendPort = 8783
	readyPort    = 8780
	metricsPort  = 9464
	ServerPort   = 8080
	listPort     = 8781
)

// The last bytes of the addresses in the deployment's loopback network.
const (
	firstKeeperHost = 1
	firstRouterHost = 101
	FirstServerHost = 151
	listHost        = 250
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A Lab is a running deployment and the record of a case.
type Lab struct {
	Keepers []*Process
	Routers []*Process
	List    *List
	// Trouble says whether the case's disruption is played.
	Trouble bool

	root    string // of the repository
	folder  string
	network string // the first three bytes of all addresses
	zones   []string
	started time.Time
	// operator keeps its connections to keepers open for further orders.
	operator http.Client

	mu     sync.Mutex
	record *os.File
	all    []*Process
	broken []string
}

// New returns a lab that writes its record to a file. It is run in the root of the repository.
func New(recordFile string, zones []string) (*Lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &Lab{root: root, folder: folder, zones: zones, record: record, started: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	l.network, err = freeNetwork()
	l.endInTime()
	return l, err
}

// maxRunTime is how long a case may run.
const maxRunTime = 115 * time.Second

// endInTime ends the case when its time is up, or when it is told to end.
func (l *Lab) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case received := <-signals:
			l.Finish(fmt.Errorf("it was told to end: %v", received))
		case <-time.After(maxRunTime):
			l.Finish(errors.New("its time was up"))
		}
	}()
}

// freeNetwork returns a loopback network in which nothing listens on the ports of a deployment.
func freeNetwork() (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), rand.IntN(250))
		free := true
		for _, port := range []int{peerPort, controlPort, frontendPort, readyPort, metricsPort, ServerPort, listPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free ports")
}

// IP returns an address of the deployment.
func (l *Lab) IP(host int) string { return fmt.Sprintf("%s.%d", l.network, host) }

// Notef writes a line with the time since the start to the record.
func (l *Lab) Notef(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Brokenf records that the rule was broken.
func (l *Lab) Brokenf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Notef("RULE BROKEN: %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// Finish ends all processes and exits with the outcome of the case. An error says that the case could
// not run.
func (l *Lab) Finish(err error) {
	l.mu.Lock()
	all := l.all
	l.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
	l.keepLogs()
	_ = os.RemoveAll(l.folder)
	switch {
	case err != nil:
		l.Notef("result: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case len(l.broken) > 0:
		l.Notef("result: the rule was broken %d times", len(l.broken))
		fmt.Printf("the rule was broken %d times; first: %s\n", len(l.broken), l.broken[0])
		os.Exit(exitBroken)
	}
	l.Notef("result: the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// keepLogs copies the logs of the processes if REVIEW_LOGS names a folder.
func (l *Lab) keepLogs() {
	folder := os.Getenv("REVIEW_LOGS")
	if folder == "" {
		return
	}
	_ = os.MkdirAll(folder, 0o755)
	for _, p := range l.all {
		if data, err := os.ReadFile(p.logFile); err == nil {
			_ = os.WriteFile(filepath.Join(folder, p.Name+".log"), data, 0o644)
		}
	}
}

// A Process is a process that the case started.
type Process struct {
	Name string
	IP   string

	lab     *Lab
	args    []string
	env     []string
	logFile string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
}

// NewProcess returns a process that is not started yet.
func (l *Lab) NewProcess(name, ip string, env []string, args ...string) *Process {
	p := &Process{Name: name, IP: ip, lab: l, args: args, env: env, logFile: filepath.Join(l.folder, name+".log")}
	l.mu.Lock()
	l.all = append(l.all, p)
	l.mu.Unlock()
	return p
}

// Start starts the process.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(p.lab.root, p.args[0]), p.args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.lab.root, log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, p.env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill ends the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// StartFleet starts the list of servers, keepers and routers.
func (l *Lab) StartFleet(keepers, routers int) error {
	var err error
	if l.List, err = startList(fmt.Sprintf("%s:%d", l.IP(listHost), listPort)); err != nil {
		return err
	}
	for i := range keepers {
		p, err := l.newNode("core", "lf-keeper", i, firstKeeperHost+i)
		if err != nil {
			return err
		}
		l.Keepers = append(l.Keepers, p)
	}
	for i := range routers {
		p, err := l.newNode("edge", "lf-router", i, firstRouterHost+i)
		if err != nil {
			return err
		}
		l.Routers = append(l.Routers, p)
	}
	for _, p := range append(append([]*Process(nil), l.Keepers...), l.Routers...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) newNode(class, program string, i, host int) (*Process, error) {
	name := fmt.Sprintf("%s-%s-%d", class, l.zones[i%len(l.zones)], i+1)
	ip := l.IP(host)
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", l.IP(firstKeeperHost+k), controlPort)))
	}
	settings := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
ip = %q
zone = %q
region = "prairie"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
in_tolerance = %t
discovery = "cloud"
ingress = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
config_mode = "highest"
`, name, program, class, ip, l.zones[i%len(l.zones)], peerPort, peerPort+15, strings.Join(seeds, ","), class == "core")
	limits := "cpu_quota = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
	if class == "core" {
		dataDir := filepath.Join(l.folder, "data-"+name)
		if err := os.MkdirAll(dataDir, 0o755); err != nil {
			return nil, err
		}
		settings += fmt.Sprintf("serves = [\"control\"]\ndata_dir = %q\n[listen]\ncontrol_plane = \"%s:%d\"\n", dataDir, ip, controlPort)
		limits = "cpu_quota = 0.24\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128\n"
	} else {
		settings += fmt.Sprintf("serves = [\"edge\"]\n[listen]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", ip, frontendPort, ip, readyPort)
	}
	settings += "[limits]\n" + limits + "[zones]\n"
	for _, zone := range l.zones {
		settings += fmt.Sprintf("%s = \"prairie\"\n", zone)
	}
	settings += `[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recovery_s = 12
iteration_ms = 120
reuse_window_s = 10
quota_window_s = 4
[cloud_api]
rate_per_s = 40.0
duties = []
max_lag_ms = 800
` + fmt.Sprintf("address = %q\n", l.List.address)
	file := filepath.Join(l.folder, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	return l.NewProcess(name, ip, []string{"LABURNUMFALL_CONFIG=" + file}, "target/"+program, "--platform"), nil
}

// RouterMemory is memory_mb of a router, in bytes.
const RouterMemory = 284 << 20

// Frontend returns the address at which a router serves clients.
func (p *Process) Frontend() string { return fmt.Sprintf("%s:%d", p.IP, frontendPort) }

// Control returns the address at which a keeper serves the operator.
func (p *Process) Control() string { return fmt.Sprintf("%s:%d", p.IP, controlPort) }

// callTimeout is how long the operator waits for a response before it asks another node.
const callTimeout = time.Second

// Call sends one request of the operator to one keeper. The status is 0 if there was no response in
// time; the operator then closes its connection.
func (l *Lab) Call(keeper *Process, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+keeper.Control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := l.operator.Do(req)
	if err != nil {
		l.Notef("operator: %s %s at %s: no response", method, path, keeper.Name)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	l.Notef("operator: %s %s at %s: %d", method, path, keeper.Name, resp.StatusCode)
	return resp.StatusCode, data
}

// Order sends an order of the operator to one keeper after the other, until one acknowledges it.
func (l *Lab) Order(keepers []*Process, method, path string, body []byte) error {
	pause := 100 * time.Millisecond
	for i := range 40 {
		status, answer := l.Call(keepers[i%len(keepers)], method, path, body)
		switch {
		case status >= 200 && status < 300:
			return nil
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return fmt.Errorf("%s %s was refused: %d %s", method, path, status, answer)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

// AwaitReady waits until all routers say that they are ready.
func (l *Lab) AwaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, router := range l.Routers {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/laburnumfall/readyz", router.IP, readyPort))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(l.Routers) {
			return nil
		}
	}
	return errors.New("the routers did not become ready")
}

// An Instance is an entry of the platform's list of servers.
type Instance struct {
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Version      string  `json:"version"`
	Slots        int     `json:"slots"`
	State        string  `json:"state"`
	WarmupLeftMS float64 `json:"warmup_left_ms"`
	Born         int64   `json:"born"`
	ID           string  `json:"id"`
}

// A List stands in for the platform's list of servers.
type List struct {
	address string
	mu      sync.Mutex
	entries []Instance
}

func startList(address string) (*List, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	list := &List{address: address}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", list.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return list, nil
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	page := struct {
		Instances []Instance `json:"instances"`
		Next      *string    `json:"next"`
	}{Instances: []Instance{}}
	l.mu.Lock()
	for _, entry := range l.entries {
		if zone == "" || entry.Zone == zone {
			page.Instances = append(page.Instances, entry)
		}
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// Put adds an entry, or replaces the one with its ID.
func (l *List) Put(entry Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].ID == entry.ID {
			l.entries[i] = entry
			return
		}
	}
	l.entries = append(l.entries, entry)
}

// Remove removes the entry with an ID.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].ID == id {
			l.entries = append(l.entries[:i:i], l.entries[i+1:]...)
			return
		}
	}
}

// PID returns the ID of the running process, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
