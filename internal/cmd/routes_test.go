package cmd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

const routesConfig = `number = %d
capacity = 10000.0

[[account]]
name = "regina"
share = 1.0
keys = [%q]

[[target]]
name = "assistant"
address = %q
zone = "z-k1"
kind = "engine"
slots = 8

[[event]]
name = "tender"
accounts = ["regina"]
targets = ["assistant"]

[[pool]]
name = "engines"
targets = ["assistant"]

[[route]]
name = "notes"
host = "notes.example"
prefix = "/v1/"
kind = "stream"
timeout = "10s"
pools = [{ pool = "engines", weight = 1 }]
`

// post makes a request to an address under a host's name. It returns nil if
// nobody answers.
func (p *processes) post(address, path, host, key string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(`{"stream":true}`))
	require.NoError(p.t, err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = resp.Body.Close() }() // it is read
	body, err := io.ReadAll(resp.Body)
	require.NoError(p.t, err)
	return resp, string(body)
}

// TestRoutesBesideEvents plays the product's own programs: one configuration
// with events and routes is applied by lfctl, and a router serves both.
func TestRoutesBesideEvents(t *testing.T) {
	const path, host = "/v1/chat/completions", "notes.example"
	p := newProcesses(t)
	p.startStandin("assistant", "engine", "tokens = 5")
	for name := range p.keepers {
		p.startKeeper(name, "--init")
	}
	hosts := p.free()
	p.moreRouter = fmt.Sprintf("hosts = %q\n", hosts)
	p.startRouter("r1")
	first := fmt.Sprintf(routesConfig, 1, fleet.KeyDigest(testKey), p.listen["assistant"])
	file := p.write("fleet.toml", first)
	require.Eventually(t, func() bool {
		code, _ := p.ctl("apply", "--wait", file)
		return code == exitOK
	}, patience, poll)
	require.Eventually(t, func() bool {
		resp, _ := p.post(hosts, path, host, testKey)
		return resp != nil && resp.StatusCode == http.StatusOK
	}, patience, poll)

	// The router has its lease for events by a way of its own, and may have it
	// later than its routes.
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + p.admin["r1"] + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close() // only the status counts
		return resp.StatusCode == http.StatusOK
	}, patience, poll)

	resp, body := p.post(hosts, path, host, testKey)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "ran", resp.Header.Get("Lf-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Lf-Request"))
	require.Contains(t, body, "[DONE]")
	resp, body = p.post(hosts, path, host, "no-key")
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Contains(t, body, `"kind":"key"`)
	require.Equal(t, "unrun", resp.Header.Get("Lf-Outcome"))
	resp, _ = p.post(hosts, path, "other.example", testKey)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, body = p.post(p.listen["r1"], "/e/tender"+path, "x", testKey)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	code, shown := p.ctl("show")
	require.Equal(t, exitOK, code)
	require.Contains(t, shown, `host = 'notes.example'`)

	second := strings.Replace(first, "number = 1", "number = 2", 1)
	p.write("fleet.toml", strings.Replace(second, "slots = 8", "slots = 8\nstate = \"leaving\"", 1))
	code, out := p.ctl("apply", "--wait", file)
	require.Equal(t, exitOK, code, out)
	require.Eventually(t, func() bool {
		resp, _ := p.post(hosts, path, host, testKey)
		return resp.StatusCode == http.StatusServiceUnavailable
	}, patience, poll, "a leaving target gets no new work")
	require.NoError(t, p.running["r1"].Process.Signal(syscall.SIGTERM))
	require.Zero(t, p.exitCode("r1"))
}
