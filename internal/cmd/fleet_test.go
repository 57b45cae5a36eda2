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

// ask sends a chat completion and returns the answer's status, outcome and body.
func (p *processes) ask(router, content string, headers ...string) (int, string, string, error) {
	body := fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":%q}]}`, content)
	req, err := http.NewRequest(http.MethodPost, "http://"+p.listen[router]+"/e/tender/v1/chat/completions", strings.NewReader(body))
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

func (p *processes) counts(name string) standin.Counts {
	var c standin.Counts
	resp, err := http.Get("http://" + p.listen[name] + "/-/counts")
	require.NoError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(p.t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

func (p *processes) healthy(name string) bool {
	resp, err := http.Get("http://" + p.admin[name] + "/healthz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// startFleet starts three keepers, two routers and two engines, in an order
// that helps nobody, and puts a configuration in force.
func startFleet(t *testing.T, engine string) *processes {
	p := newProcesses(t)
	p.startRouter("r1")
	p.startKeeper("k3", "--init")
	p.startStandin("s1", "engine", engine)
	p.startStandin("s2", "engine", engine)
	p.startKeeper("k1", "--init")
	p.startRouter("r2")
	p.startKeeper("k2", "--init")
	p.eventually("a leader", func() bool { return p.status().Leader != "" })
	p.eventually("both routers", func() bool { return len(p.status().Routers) == 2 })
	code, out := p.ctl("apply", "--wait", p.config(1, "", "s1", "s2"))
	require.Equal(t, exitOK, code, out)
	p.eventually("healthy routers", func() bool { return p.healthy("r1") && p.healthy("r2") })
	return p
}

func (p *processes) leader() string {
	return strings.SplitN(p.status().Leader, "-", 2)[0]
}

// Symptom: the fleet stops, forgets, or has two leaders when keepers die.
// Sequence: operators race; the leader is stopped and woken later; a keeper is
// killed and its disk lost; all keepers are killed at once.
// Cause: any promise that rests on one process.
func TestKeepersKilledStoppedAndReplaced(t *testing.T) {
	p := startFleet(t, "pace = \"2ms\"")
	status, outcome, body, err := p.ask("r1", "first")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "ran", outcome)
	require.Contains(t, body, "first")
	require.Contains(t, body, "[DONE]")

	code, out := p.ctl("apply", p.config(1, "", "s1", "s2"))
	require.Equal(t, exitOK, code, "the same again: %s", out)
	code, out = p.ctl("apply", p.config(1, "s2", "s1", "s2"))
	require.Equal(t, exitConflict, code, out)
	require.Contains(t, out, "number in force: 1")

	stopped := p.leader()
	p.signal(stopped, syscall.SIGSTOP)
	p.eventually("another leader", func() bool { l := p.leader(); return l != "" && l != stopped })
	code, out = p.ctl("apply", "--wait", p.config(2, "", "s1", "s2"))
	require.Equal(t, exitOK, code, out)
	code, out = p.ctl("apply", p.config(1, "", "s1", "s2"))
	require.Equal(t, exitOK, code, "accepted once, accepted again: %s", out)
	require.Contains(t, out, "nothing changed, number 2 is in force")
	p.signal(stopped, syscall.SIGCONT)
	now := p.leader()
	time.Sleep(2 * time.Second)
	require.Equal(t, now, p.leader(), "the woken keeper deposes nobody")
	require.Equal(t, uint64(2), p.status().Number)

	former := p.memberID(stopped)
	p.kill(stopped)
	require.NoError(t, os.RemoveAll(filepath.Join(p.folder, stopped)))
	p.startKeeper(stopped)
	p.eventually("the replacement votes", func() bool {
		s := p.status()
		voters := 0
		for _, k := range s.Keepers {
			if k.Voter && k.ID != former {
				voters++
			}
		}
		return voters == 3 && !s.Changing
	})
	for name := range p.keepers {
		p.kill(name)
	}
	p.startKeeper("k1", "--init")
	require.Equal(t, exitUsage, p.exitCode("k1"), "--init on a folder in use")
	for name := range p.keepers {
		p.startKeeper(name)
	}
	p.eventually("the state is back", func() bool { return p.status().Number == 2 })
	p.eventually("requests go on", func() bool {
		status, _, _, err := p.ask("r2", "last")
		return err == nil && status == http.StatusOK
	})
}

// Symptom: a leaving target gets new work; a stopping router cuts answers; a
// request that may not be repeated runs twice.
// Sequence: a target leaves under load; a router is told to stop under load;
// keys are sent again by the other router.
func TestDrainStopAndResend(t *testing.T) {
	p := startFleet(t, "pace = \"20ms\"\ntokens = 40")
	code, out := p.ctl("apply", "--wait", p.config(2, "s2", "s1", "s2"))
	require.Equal(t, exitOK, code, out)
	before := p.counts("s2").Started
	for i := range 5 {
		key := fmt.Sprintf("key-%d", i)
		status, _, body, err := p.ask("r1", "once", "Lf-Repeat", "never", "Idempotency-Key", key, "Connection", "close")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		// Until the first router has settled the claim, its fate is "running".
		p.eventually("the fate is known", func() bool {
			status, outcome, body, err := p.ask("r2", "once", "Lf-Repeat", "never", "Idempotency-Key", key)
			require.NoError(t, err)
			require.Equal(t, http.StatusConflict, status, body)
			require.NotEqual(t, "unrun", outcome)
			return outcome == "ran"
		})
	}
	for key, n := range p.counts("s1").Runs {
		require.Equal(t, 1, n, key)
	}
	require.Equal(t, before, p.counts("s2").Started, "a leaving target gets no new work")

	answers := make(chan string, 100)
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			status, outcome, body, err := p.ask("r1", fmt.Sprintf("mine-%d", i), "Connection", "close")
			switch {
			case err != nil:
				answers <- err.Error()
			case status == http.StatusOK && !strings.Contains(body, fmt.Sprintf("mine-%d\"", i)):
				answers <- "not mine, or not whole: " + body
			case status != http.StatusOK && outcome != "unrun":
				answers <- fmt.Sprintf("status %d, outcome %s", status, outcome)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	p.signal("r1", syscall.SIGTERM)
	callers.Wait()
	close(answers)
	for a := range answers {
		require.Empty(t, a)
	}
	require.Equal(t, exitOK, p.exitCode("r1"))
	c := p.counts("s1")
	require.Zero(t, c.Cancelled)
	require.LessOrEqual(t, c.Most, 8, "no more than its slots at a time")
}

// Symptom: a router that hears no keeper goes on starting requests, on targets
// that may have left and under a configuration that may be old.
// Sequence: all keepers are stopped while an answer streams; they wake later.
// Cause: a router that outlives its lease.
func TestRouterWithoutKeepersStopsAndComesBack(t *testing.T) {
	p := startFleet(t, "pace = \"50ms\"\ntokens = 100")
	streamed := make(chan string, 1)
	go func() {
		_, _, body, err := p.ask("r1", "to the end")
		if err != nil {
			body = err.Error()
		}
		streamed <- body
	}()
	p.eventually("the stream runs", func() bool { return p.counts("s1").Running+p.counts("s2").Running == 1 })
	for name := range p.keepers {
		p.signal(name, syscall.SIGSTOP)
	}
	p.eventually("unhealthy", func() bool { return !p.healthy("r1") && !p.healthy("r2") })
	started := p.counts("s1").Started + p.counts("s2").Started
	for range 5 {
		status, outcome, body, err := p.ask("r2", "too late", "Lf-Repeat", "never", "Idempotency-Key", "late")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "unrun", outcome)
		require.Contains(t, body, "nolease")
	}
	body := <-streamed
	require.Contains(t, body, "to the end", "what runs finishes")
	require.Contains(t, body, "[DONE]")
	require.Equal(t, started, p.counts("s1").Started+p.counts("s2").Started)
	for name := range p.keepers {
		p.signal(name, syscall.SIGCONT)
	}
	p.eventually("healthy again", func() bool { return p.healthy("r1") && p.healthy("r2") })
	status, outcome, body, err := p.ask("r2", "at last", "Lf-Repeat", "never", "Idempotency-Key", "late")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "ran", outcome)
}
