package standin

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// The ports of a process on the platform, counted from the one between processes.
const (
	OperatorPort = 1 + iota
	CallerPort
	ReadyPort
	// ProcessPorts is how many ports a process has.
	PortsPerProcess
)

// Grace is how long a process has, by its settings, to stop.
const GraceSeconds = 6

// ProcessSettings are what the platform tells one process.
type ProcessSettings struct {
	Name        string
	IP          string
	Zone        string
	Port        int      // between processes, the same for all of them
	Seeds       []string // operators' addresses of keepers
	FirstStart  bool     // the whole fleet starts for the first time
	DataDir     string   // for a keeper's data
	ListAddress string   // address of the list of targets
}

// Address returns one of a process's addresses.
func (s ProcessSettings) Address(port int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Port+port))
}

// Text returns the settings as the platform writes them into a file.
func (s ProcessSettings) TOML() string {
	var seeds []string
	for _, address := range s.Seeds {
		seeds = append(seeds, strconv.Quote(address))
	}
	return fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
data_dir = %q
[listen]
control_plane = %q
frontend = %q
readiness = %q
[limits]
memory_mb = 280
[bounds]
grace_s = %d
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
[cloud_api]
address = %q
rate_per_s = 40.0
`, s.Name, s.IP, s.Zone, s.Port, s.Port, strings.Join(seeds, ","), s.FirstStart, s.DataDir,
		s.Address(OperatorPort), s.Address(CallerPort), s.Address(ReadyPort), GraceSeconds, s.ListAddress)
}
