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

// BenchmarkRequest measures a whole request on kept connections, caller and
// target included; the difference between a plain answer and a stream of five
// events is what events cost.
func BenchmarkRequest(b *testing.B) {
	bed := newBed(b)
	for _, path := range []string{"/once/x", "/stream/stream"} {
		b.Run(path, func(b *testing.B) { bed.repeat(b, path) })
	}
}

// BenchmarkRequestLogged measures what the two lines of a plain request cost, by the
// same requests with the programs' logger, whose lines are thrown away behind its ring.
func BenchmarkRequestLogged(b *testing.B) {
	ring := asynclog.New(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go ring.Run(ctx)
	for name, log := range map[string]hclog.Logger{
		"none":   hclog.NewNullLogger(),
		"logged": asynclog.NewLogger(hclog.LoggerOptions{Name: "lf-router", Level: hclog.Info, JSONFormat: true, Output: ring}),
	} {
		bed := newBed(b)
		bed.gateway.Log = log
		b.Run(name, func(b *testing.B) { bed.repeat(b, "/once/x") })
	}
}

func (b *bed) repeat(t *testing.B, path string) {
	t.ReportAllocs()
	for t.Loop() {
		resp, _, err := b.do("POST", path, "body", "Authorization", "Bearer good-key")
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
	}
}
