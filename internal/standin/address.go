package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

const (
	// firstPort and lastPort bound the reserved ports. They are below the ephemeral ports that
	// the operating system assigns itself (from 32768 on Linux, from 49152 on other systems), and
	// above the ports of well-known services.
	firstPort = 15000
	lastPort  = 32000
	// maxPortTries bounds the search. On a machine where so many port ranges are taken, hardly
	// any port is free.
	maxPortTries = 1000
)

// reservations holds the ports that this process has reserved.
var reservations struct {
	sync.Mutex
	sockets []net.PacketConn // open until the process ends
}

// ReserveAddress reserves a loopback address for a listener of this process or of one that it
// starts. See [ReservePorts].
func ReserveAddress() (string, error) {
	port, err := ReservePorts(1)
	if err != nil {
		return "", err
	}
	return loopbackAddress(port), nil
}

// ReservePorts reserves count consecutive ports to listen on, and returns the first one.
//
// A port that is only checked to be free may be assigned to another process or to an outgoing
// connection before its listener starts. The process then fails to start, or its callers connect
// to another server. So each port is reserved until this process ends by a UDP socket with the
// same number, which nothing else here uses, and no port is in the ephemeral range.
func ReservePorts(count int) (int, error) {
	var lastErr error
	for range maxPortTries {
		port := firstPort + rand.IntN(lastPort-firstPort-count)
		sockets, err := reserveRange(port, count)
		if err == nil {
			reservations.Lock()
			reservations.sockets = append(reservations.sockets, sockets...)
			reservations.Unlock()
			return port, nil
		}
		lastErr = err
	}
	return 0, fmt.Errorf("find %d consecutive free ports (stop programs that listen on ports between %d and %d): %w", count, firstPort, lastPort, lastErr)
}

// reserveRange returns the sockets that reserve count ports beginning with first. It returns an
// error if one of them is taken.
func reserveRange(first, count int) ([]net.PacketConn, error) {
	var sockets []net.PacketConn
	for port := first; port < first+count; port++ {
		socket, err := reservePort(port)
		if err != nil {
			for _, other := range sockets {
				_ = other.Close() // the range is not used
			}
			return nil, err
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func reservePort(port int) (net.PacketConn, error) {
	socket, err := net.ListenPacket("udp4", loopbackAddress(port))
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	listener, err := net.Listen("tcp4", loopbackAddress(port))
	if err != nil {
		_ = socket.Close() // the port is taken
		return nil, fmt.Errorf("check that a port is free: %w", err)
	}
	_ = listener.Close() // only opened to check that the port is free
	return socket, nil
}

func loopbackAddress(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
