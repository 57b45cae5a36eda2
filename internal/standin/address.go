package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

const (
	// firstPort and lastPort bound the ports that are given out. They lie below
	// those that the system itself gives to whoever asks for any port (32768 and up
	// on Linux, 49152 and up elsewhere) and above those of well-known services.
	firstPort = 15000
	lastPort  = 32000
	// portTries bounds the search; a machine with that many ports in a row taken
	// has none to spare.
	portTries = 1000
)

// claims holds the ports that this process has given out.
var claims struct {
	sync.Mutex
	held []net.PacketConn // open until the process ends
}

// FreeAddress returns a loopback address for a listener of this process or of one
// that it tells of it. See [FreePorts].
func ReserveAddress() (string, error) {
	port, err := ReservePorts(1)
	if err != nil {
		return "", err
	}
	return loopback(port), nil
}

// FreePorts returns the first of count ports in a row to listen on.
//
// A port that was free a moment ago may be given to another process, or to an
// outgoing connection, before its listener starts: a process then fails to start,
// or its callers reach a stranger. So each port is claimed until this process
// ends, by the datagram socket of the same number, which nothing else here uses;
// and it is none of those that the system gives out by itself.
func ReservePorts(count int) (int, error) {
	var last error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort-count)
		held, err := claim(port, count)
		if err == nil {
			claims.Lock()
			claims.held = append(claims.held, held...)
			claims.Unlock()
			return port, nil
		}
		last = err
	}
	return 0, fmt.Errorf("find %d free ports in a row (end what listens between %d and %d): %w", count, firstPort, lastPort, last)
}

// claim returns what holds count ports from the first on, or an error where one
// is taken.
func claim(first, count int) ([]net.PacketConn, error) {
	var held []net.PacketConn
	for port := first; port < first+count; port++ {
		c, err := claimOne(port)
		if err != nil {
			for _, h := range held {
				_ = h.Close() // the row is of no use
			}
			return nil, err
		}
		held = append(held, c)
	}
	return held, nil
}

func claimOne(port int) (net.PacketConn, error) {
	c, err := net.ListenPacket("udp4", loopback(port))
	if err != nil {
		return nil, fmt.Errorf("claim a port: %w", err)
	}
	l, err := net.Listen("tcp4", loopback(port))
	if err != nil {
		_ = c.Close() // the port is taken
		return nil, fmt.Errorf("try a port: %w", err)
	}
	_ = l.Close() // it only had to be tried
	return c, nil
}

func loopback(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
