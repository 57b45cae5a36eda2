package standin_test

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// addressCount is how many addresses each process of the tests below reserves.
const addressCount = 150

// Guards against two processes that get the same free address before either of them listens on
// it. A router then never becomes ready, or its callers connect to another server.
func TestReservedAddressIsUniqueAcrossProcesses(t *testing.T) {
	if os.Getenv("LF_TEST_ADDRESSES") != "" {
		for _, address := range reserveAddresses(t) {
			_, _ = os.Stdout.WriteString("address " + address + "\n") // if the write fails, the parent process counts too few addresses
		}
		return
	}
	seen := map[string]bool{}
	for _, address := range reserveAddresses(t) {
		require.False(t, seen[address], "reserved twice: %s", address)
		seen[address] = true
		listener, err := net.Listen("tcp4", address)
		require.NoError(t, err, "the reserved address must be free")
		require.NoError(t, listener.Close())
	}
	otherProcess := exec.Command(os.Args[0], "-test.run=^TestReservedAddressIsUniqueAcrossProcesses$")
	otherProcess.Env = append(os.Environ(), "LF_TEST_ADDRESSES=1")
	output, err := otherProcess.Output()
	require.NoError(t, err)
	count := 0
	for line := range strings.Lines(string(output)) {
		address, ok := strings.CutPrefix(strings.TrimSpace(line), "address ")
		if !ok {
			continue
		}
		count++
		require.False(t, seen[address], "reserved by two processes: %s", address)
	}
	require.Equal(t, addressCount, count)
}

// The operating system ignores reservations when it assigns ephemeral ports, so reserved ports
// must be outside that range.
func TestReservedPortsAreBelowEphemeralRange(t *testing.T) {
	for range addressCount {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, listener.Close()) }()
		firstPort, err := standin.ReservePorts(3)
		require.NoError(t, err)
		require.Less(t, firstPort+2, listener.Addr().(*net.TCPAddr).Port)
	}
}

func reserveAddresses(t *testing.T) []string {
	var addresses []string
	for range addressCount {
		address, err := standin.ReserveAddress()
		require.NoError(t, err)
		addresses = append(addresses, address)
	}
	return addresses
}
