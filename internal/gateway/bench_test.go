package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRefusal measures a request that is refused on a connection of its
// own, with a prompt of usual size, callers included.
func BenchmarkRefusal(b *testing.B) {
	bed := newBed(b)
	body := strings.Repeat("x", 9000)
	request := fmt.Sprintf("POST /stream/stream HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\nX-Deadline-Ms: 4000\r\n"+
		"Authorization: Bearer bad-key\r\nX-Token-Count: 9000,80\r\nX-Prefix-Hash: 5c1e07a2:8000,91bd3f06:410\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	b.ReportAllocs()
	for b.Loop() {
		c, err := net.Dial("tcp4", bed.address)
		require.NoError(b, err)
		_, err = io.WriteString(c, request)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, c)
		require.NoError(b, err)
		require.NoError(b, c.Close())
	}
}
