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

// sendRouteRequest sends a request with a Host header to an address. It returns nil if there is
// no response.
func (p *processFleet) sendRouteRequest(address, path, host, key string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(`{"stream":true}`))
	require.NoError(p.t, err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	body, err := io.ReadAll(resp.Body)
	require.NoError(p.t, err)
	return resp, string(body)
}

// Guards against a router that serves only events or only routes, although one configuration,
// applied by lfctl, has both.
func TestRouterServesEventsAndRoutes(t *testing.T) {
	const path, host = "/v1/chat/completions", "notes.example"
	processes := newProcessFleet(t)
	processes.startStandin("assistant", "engine", "tokens = 5")
	for name := range processes.keeperAddresses {
		processes.startKeeper(name, "--init")
	}
	routeAddress := processes.freeAddress()
	processes.extraRouterSettings = fmt.Sprintf("hosts = %q\n", routeAddress)
	processes.startRouter("r1")
	firstConfig := fmt.Sprintf(routesConfig, 1, fleet.KeyDigest(testKey), processes.listenAddresses["assistant"])
	file := processes.writeFile("fleet.toml", firstConfig)
	require.Eventually(t, func() bool {
		code, _ := processes.runCtl("apply", "--wait", file)
		return code == exitOK
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		resp, _ := processes.sendRouteRequest(routeAddress, path, host, testKey)
		return resp != nil && resp.StatusCode == http.StatusOK
	}, waitTimeout, pollInterval)

	// The router receives its lease for events independently of its routes, and possibly later.
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + processes.adminAddresses["r1"] + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close() // Only the status matters.
		return resp.StatusCode == http.StatusOK
	}, waitTimeout, pollInterval)

	resp, body := processes.sendRouteRequest(routeAddress, path, host, testKey)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "ran", resp.Header.Get("Lf-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Lf-Request"))
	require.Contains(t, body, "[DONE]")
	resp, body = processes.sendRouteRequest(routeAddress, path, host, "no-key")
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Contains(t, body, `"kind":"key"`)
	require.Equal(t, "unrun", resp.Header.Get("Lf-Outcome"))
	resp, _ = processes.sendRouteRequest(routeAddress, path, "other.example", testKey)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, body = processes.sendRouteRequest(processes.listenAddresses["r1"], "/e/tender"+path, "x", testKey)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	code, config := processes.runCtl("show")
	require.Equal(t, exitOK, code)
	require.Contains(t, config, `host = 'notes.example'`)

	secondConfig := strings.Replace(firstConfig, "number = 1", "number = 2", 1)
	processes.writeFile("fleet.toml", strings.Replace(secondConfig, "slots = 8", "slots = 8\nstate = \"leaving\"", 1))
	code, out := processes.runCtl("apply", "--wait", file)
	require.Equal(t, exitOK, code, out)
	require.Eventually(t, func() bool {
		resp, _ := processes.sendRouteRequest(routeAddress, path, host, testKey)
		return resp.StatusCode == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval, "a leaving target gets no new work")
	require.NoError(t, processes.running["r1"].Process.Signal(syscall.SIGTERM))
	require.Zero(t, processes.waitForExit("r1"))
}
