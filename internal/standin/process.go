package standin

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// The ports of a process, as offsets from the port for connections between processes.
const (
	OperatorPort = 1 + iota
	CallerPort
	ReadyPort
	// PortsPerProcess is how many consecutive ports a process uses.
	PortsPerProcess
)

// GraceSeconds is the grace period in the settings of a process: how long its graceful shutdown
// may take.
const GraceSeconds = 6

// ProcessSettings are the settings that the platform gives to one process.
type ProcessSettings struct {
	Name        string
	IP          string
	Zone        string
	Port        int      // for connections between processes, the same for all processes
	Seeds       []string // addresses of keepers for operators
	FirstStart  bool     // set if the whole fleet starts for the first time
	DataDir     string   // data directory of a keeper
	ListAddress string   // address of the list of targets
}

// Address returns the address of a process at a port offset.
func (s ProcessSettings) Address(port int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Port+port))
}

// TOML returns the settings file as the platform writes it.
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
