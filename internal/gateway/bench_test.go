package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/asynclog"
)

// BenchmarkRefusal measures refusing a request with a prompt of usual size on a new connection,
// including the work of the caller.
func BenchmarkRefusal(b *testing.B) {
	bed := newTestbed(b)
	body := strings.Repeat("x", 9000)
	request := fmt.Sprintf("POST /stream/stream HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\nX-Deadline-Ms: 4000\r\n"+
		"Authorization: Bearer bad-key\r\nX-Token-Count: 9000,80\r\nX-Prefix-Hash: 5c1e07a2:8000,91bd3f06:410\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	b.ReportAllocs()
	for b.Loop() {
		conn, err := net.Dial("tcp4", bed.address)
		require.NoError(b, err)
		_, err = io.WriteString(conn, request)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(b, err)
		require.NoError(b, conn.Close())
	}
}

// BenchmarkRequest measures a request on reused connections, including the work of caller and
// target. The difference between the two paths is the cost of streaming five events.
func BenchmarkRequest(b *testing.B) {
	bed := newTestbed(b)
	for _, path := range []string{"/once/x", "/stream/stream"} {
		b.Run(path, func(b *testing.B) { bed.benchmark(b, path) })
	}
}

// BenchmarkRequestLogged measures the cost of the two log lines of a request. The lines go through
// the programs' asynchronous logger and are then discarded.
func BenchmarkRequestLogged(b *testing.B) {
	writer := asynclog.New(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go writer.Run(ctx)
	for name, log := range map[string]hclog.Logger{
		"none":   hclog.NewNullLogger(),
		"logged": asynclog.NewLogger(hclog.LoggerOptions{Name: "lf-router", Level: hclog.Info, JSONFormat: true, Output: writer}),
	} {
		bed := newTestbed(b)
		bed.gateway.Log = log
		b.Run(name, func(b *testing.B) { bed.benchmark(b, "/once/x") })
	}
}

func (bed *testbed) benchmark(b *testing.B, path string) {
	b.ReportAllocs()
	for b.Loop() {
		resp, _, err := bed.do("POST", path, "body", "Authorization", "Bearer good-key")
		require.NoError(b, err)
		require.Equal(b, 200, resp.StatusCode)
	}
}
