package origin

import (
	"fmt"
	"testing"
	"time"

	"laburnumfall/internal/fleet"
)

// BenchmarkTell measures the cost of a stream for the router that begins it, without the socket.
func BenchmarkTell(b *testing.B) {
	for _, routers := range []int{8, 1900} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			s := newSimulation(1, 7, (routers+6)/7, 0)
			d := s.routers[s.addresses()[0]]
			size, count := 0, 0
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Millisecond)
				for _, sent := range d.record(now, fmt.Sprintf("%016x", i), Origin{"baka86a", "v1.2"}, now.Add(12*time.Second)) {
					data, err := sent.packet.encode(nil)
					if err != nil {
						b.Fatal(err)
					}
					size, count = size+len(data), count+1
				}
			}
			b.ReportMetric(float64(size)/float64(count), "B/datagram")
			b.ReportMetric(float64(count)/float64(b.N), "datagrams/op")
		})
	}
}

// BenchmarkReceive measures the cost of a stream for a holder, without the socket.
func BenchmarkReceive(b *testing.B) {
	var d directory
	for i := range b.N {
		data, err := packet{Kind: packetTell, Request: fmt.Sprintf("%016x", i), Pool: "baka86a", Version: "v1.2", Left: fleet.Duration(12 * time.Second)}.encode(nil)
		if err != nil {
			b.Fatal(err)
		}
		received, err := decodePacket(data, nil)
		if err != nil {
			b.Fatal(err)
		}
		d.receive(start.Add(time.Duration(i)*time.Millisecond), datagram{"a", received})
	}
}
