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

// addressesOf is how many addresses each process of the test below takes.
const addressesOf = 150

// Symptom: a router never gets ready, or its caller reaches a stranger's.
// Sequence: two processes look for free addresses; both get the same before
// either listens.
// Cause: an address that was free a moment ago was held by nobody.
func TestFreeAddressIsOfOneProcess(t *testing.T) {
	if os.Getenv("LF_TEST_ADDRESSES") != "" {
		for _, a := range take(t) {
			_, _ = os.Stdout.WriteString("address " + a + "\n") // the parent misses it
		}
		return
	}
	seen := map[string]bool{}
	for _, a := range take(t) {
		require.False(t, seen[a], "given out twice: %s", a)
		seen[a] = true
		l, err := net.Listen("tcp4", a)
		require.NoError(t, err, "it must be free")
		require.NoError(t, l.Close())
	}
	other := exec.Command(os.Args[0], "-test.run=^TestFreeAddressIsOfOneProcess$")
	other.Env = append(os.Environ(), "LF_TEST_ADDRESSES=1")
	out, err := other.Output()
	require.NoError(t, err)
	count := 0
	for line := range strings.Lines(string(out)) {
		a, ok := strings.CutPrefix(strings.TrimSpace(line), "address ")
		if !ok {
			continue
		}
		count++
		require.False(t, seen[a], "given out to two processes: %s", a)
	}
	require.Equal(t, addressesOf, count)
}

// The system gives these out by itself: a claim does not bind it.
func TestFreeAddressIsNoneOfTheSystem(t *testing.T) {
	for range addressesOf {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, l.Close()) }()
		first, err := standin.ReservePorts(3)
		require.NoError(t, err)
		require.Less(t, first+2, l.Addr().(*net.TCPAddr).Port)
	}
}

func take(t *testing.T) []string {
	var list []string
	for range addressesOf {
		a, err := standin.ReserveAddress()
		require.NoError(t, err)
		list = append(list, a)
	}
	return list
}
