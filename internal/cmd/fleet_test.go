package cmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// sendCompletion sends a chat completion and returns the status, the outcome and the body of the
// response.
func (p *processFleet) sendCompletion(router, content string, headers ...string) (int, string, string, error) {
	body := fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":%q}]}`, content)
	req, err := http.NewRequest(http.MethodPost, "http://"+p.listenAddresses[router]+"/e/tender/v1/chat/completions", strings.NewReader(body))
	require.NoError(p.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(bufio.NewReader(resp.Body))
	return resp.StatusCode, resp.Header.Get("Lf-Outcome"), string(data), err
}

func (p *processFleet) standinCounts(name string) standin.Counts {
	var counts standin.Counts
	resp, err := http.Get("http://" + p.listenAddresses[name] + "/-/counts")
	require.NoError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(p.t, json.NewDecoder(resp.Body).Decode(&counts))
	return counts
}

func (p *processFleet) isHealthy(name string) bool {
	resp, err := http.Get("http://" + p.adminAddresses[name] + "/healthz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// startProcessFleet starts three keepers, two routers and two engines in mixed order, applies a
// configuration and waits until the routers are healthy.
func startProcessFleet(t *testing.T, engineSettings string) *processFleet {
	processes := newProcessFleet(t)
	processes.startRouter("r1")
	processes.startKeeper("k3", "--init")
	processes.startStandin("s1", "engine", engineSettings)
	processes.startStandin("s2", "engine", engineSettings)
	processes.startKeeper("k1", "--init")
	processes.startRouter("r2")
	processes.startKeeper("k2", "--init")
	processes.eventually("a leader", func() bool { return processes.status().Leader != "" })
	processes.eventually("both routers", func() bool { return len(processes.status().Routers) == 2 })
	code, out := processes.runCtl("apply", "--wait", processes.writeConfig(1, "", "s1", "s2"))
	require.Equal(t, exitOK, code, out)
	processes.eventually("healthy routers", func() bool { return processes.isHealthy("r1") && processes.isHealthy("r2") })
	return processes
}

// leaderName returns the name of the leader, or "" if there is none. Status reports the leader with a
// suffix that is unique to its incarnation.
func (p *processFleet) leaderName() string {
	return strings.SplitN(p.status().Leader, "-", 2)[0]
}

// Guards against a fleet that stops, loses its configuration or has two leaders after operators
// apply conflicting configurations, the leader is suspended and resumed, a keeper loses its disk,
// or all keepers are killed at once.
func TestStateSurvivesKeeperFailures(t *testing.T) {
	processes := startProcessFleet(t, "pace = \"2ms\"")
	status, outcome, body, err := processes.sendCompletion("r1", "first")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "ran", outcome)
	require.Contains(t, body, "first")
	require.Contains(t, body, "[DONE]")

	code, out := processes.runCtl("apply", processes.writeConfig(1, "", "s1", "s2"))
	require.Equal(t, exitOK, code, "repeated command: %s", out)
	code, out = processes.runCtl("apply", processes.writeConfig(1, "s2", "s1", "s2"))
	require.Equal(t, exitConflict, code, out)
	require.Contains(t, out, "number in force: 1")

	suspended := processes.leaderName()
	processes.signal(suspended, syscall.SIGSTOP)
	processes.eventually("another leader", func() bool { leader := processes.leaderName(); return leader != "" && leader != suspended })
	code, out = processes.runCtl("apply", "--wait", processes.writeConfig(2, "", "s1", "s2"))
	require.Equal(t, exitOK, code, out)
	code, out = processes.runCtl("apply", processes.writeConfig(1, "", "s1", "s2"))
	require.Equal(t, exitOK, code, "repeated command with an older number: %s", out)
	require.Contains(t, out, "nothing changed, number 2 is in force")
	processes.signal(suspended, syscall.SIGCONT)
	currentLeader := processes.leaderName()
	time.Sleep(2 * time.Second)
	require.Equal(t, currentLeader, processes.leaderName(), "the resumed keeper does not depose the leader")
	require.Equal(t, uint64(2), processes.status().Number)

	formerID := processes.memberID(suspended)
	processes.kill(suspended)
	require.NoError(t, os.RemoveAll(filepath.Join(processes.folder, suspended)))
	processes.startKeeper(suspended)
	processes.eventually("the replacement is a voter", func() bool {
		status := processes.status()
		voters := 0
		for _, keeper := range status.Keepers {
			if keeper.Voter && keeper.ID != formerID {
				voters++
			}
		}
		return voters == 3 && !status.Changing
	})
	for name := range processes.keeperAddresses {
		processes.kill(name)
	}
	processes.startKeeper("k1", "--init")
	require.Equal(t, exitUsage, processes.waitForExit("k1"), "--init on a folder in use")
	for name := range processes.keeperAddresses {
		processes.startKeeper(name)
	}
	processes.eventually("the state is restored", func() bool { return processes.status().Number == 2 })
	processes.eventually("requests are served", func() bool {
		status, _, _, err := processes.sendCompletion("r2", "last")
		return err == nil && status == http.StatusOK
	})
}

// Guards against new work for a leaving target, responses cut off by a stopping router, and
// non-repeatable requests that run twice when another router receives the same idempotency key.
func TestDrainAndShutdownNeitherCutNorRepeatRequests(t *testing.T) {
	processes := startProcessFleet(t, "pace = \"20ms\"\ntokens = 40")
	code, out := processes.runCtl("apply", "--wait", processes.writeConfig(2, "s2", "s1", "s2"))
	require.Equal(t, exitOK, code, out)
	before := processes.standinCounts("s2").Started
	for i := range 5 {
		key := fmt.Sprintf("key-%d", i)
		status, _, body, err := processes.sendCompletion("r1", "once", "Lf-Repeat", "never", "Idempotency-Key", key, "Connection", "close")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		// The outcome is "running" until the first router has settled the claim.
		processes.eventually("the outcome is known", func() bool {
			status, outcome, body, err := processes.sendCompletion("r2", "once", "Lf-Repeat", "never", "Idempotency-Key", key)
			require.NoError(t, err)
			require.Equal(t, http.StatusConflict, status, body)
			require.NotEqual(t, "unrun", outcome)
			return outcome == "ran"
		})
	}
	for key, runs := range processes.standinCounts("s1").RunsByKey {
		require.Equal(t, 1, runs, key)
	}
	require.Equal(t, before, processes.standinCounts("s2").Started, "a leaving target gets no new work")

	failures := make(chan string, 100)
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			status, outcome, body, err := processes.sendCompletion("r1", fmt.Sprintf("mine-%d", i), "Connection", "close")
			switch {
			case err != nil:
				failures <- err.Error()
			case status == http.StatusOK && !strings.Contains(body, fmt.Sprintf("mine-%d\"", i)):
				failures <- "wrong or incomplete response: " + body
			case status != http.StatusOK && outcome != "unrun":
				failures <- fmt.Sprintf("status %d, outcome %s", status, outcome)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	processes.signal("r1", syscall.SIGTERM)
	callers.Wait()
	close(failures)
	for failure := range failures {
		require.Empty(t, failure)
	}
	require.Equal(t, exitOK, processes.waitForExit("r1"))
	counts := processes.standinCounts("s1")
	require.Zero(t, counts.Cancelled)
	require.LessOrEqual(t, counts.MaxRunning, 8, "no more requests at a time than slots")
}

// Guards against a router that starts requests after its lease has expired, on targets that may
// have left and with a configuration that may be outdated. All keepers are suspended while a
// response streams.
func TestRouterRefusesRequestsWithoutLease(t *testing.T) {
	processes := startProcessFleet(t, "pace = \"50ms\"\ntokens = 100")
	streamBody := make(chan string, 1)
	go func() {
		_, _, body, err := processes.sendCompletion("r1", "to the end")
		if err != nil {
			body = err.Error()
		}
		streamBody <- body
	}()
	processes.eventually("the stream runs", func() bool { return processes.standinCounts("s1").Running+processes.standinCounts("s2").Running == 1 })
	for name := range processes.keeperAddresses {
		processes.signal(name, syscall.SIGSTOP)
	}
	processes.eventually("unhealthy", func() bool { return !processes.isHealthy("r1") && !processes.isHealthy("r2") })
	started := processes.standinCounts("s1").Started + processes.standinCounts("s2").Started
	for range 5 {
		status, outcome, body, err := processes.sendCompletion("r2", "too late", "Lf-Repeat", "never", "Idempotency-Key", "late")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "unrun", outcome)
		require.Contains(t, body, "nolease")
	}
	body := <-streamBody
	require.Contains(t, body, "to the end", "a request in progress finishes")
	require.Contains(t, body, "[DONE]")
	require.Equal(t, started, processes.standinCounts("s1").Started+processes.standinCounts("s2").Started)
	for name := range processes.keeperAddresses {
		processes.signal(name, syscall.SIGCONT)
	}
	processes.eventually("healthy routers again", func() bool { return processes.isHealthy("r1") && processes.isHealthy("r2") })
	status, outcome, body, err := processes.sendCompletion("r2", "at last", "Lf-Repeat", "never", "Idempotency-Key", "late")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "ran", outcome)
}
