package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// restartFirstTarget restarts the first target. The gateway learns of it through the next
// applyTargets.
func (bed *testbed) restartFirstTarget() {
	restarted, err := bed.site.Restart(bed.targets[0])
	require.NoError(bed.t, err)
	bed.targets[0] = restarted
}

// runCount returns how often a request has run at all current and former targets.
func (bed *testbed) runCount(id string) (count int) {
	for _, target := range bed.site.AllIncarnations() {
		for _, run := range target.Runs() {
			if run.RequestID == id {
				count++
			}
		}
	}
	return count
}

// Guards against running an at-most-once request twice. Its target crashes while it runs and
// restarts with the same ID, and the router receives the new list before or after the connection
// breaks. The restarted target counts as one that has not been tried.
func TestAtMostOnceAfterTargetRestart(t *testing.T) {
	for name, listUpdated := range map[string]bool{"list updated before the restart": true, "list not updated": false} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t)
			bed.targets = bed.targets[:1]
			bed.applyTargets()
			runStarted := make(chan struct{}, 1)
			bed.site.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
				target.RecordRun(r)
				runStarted <- struct{}{}
				<-r.Context().Done()
				return true
			}
			for _, path := range []string{"/once/x", "/twice/x"} {
				restarted := make(chan struct{})
				go func() {
					defer close(restarted)
					<-runStarted
					if listUpdated {
						bed.targets[0].StartMillis++
						bed.applyTargets()
					}
					bed.restartFirstTarget()
				}()
				resp, _, err := bed.do(http.MethodPost, path, "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run")
				<-restarted
				bed.applyTargets()
				require.Equal(t, 1, bed.runCount(fmt.Sprintf("id-%d", bed.requestCount)))
			}
		})
	}
}

// Guards against losing a request, or reporting it as not run although it ran, after a target has
// restarted with the same ID and address and is still listed as before. Requests name their target
// by ID only, so the new incarnation runs them, once.
func TestRestartedTargetServesRequestsForItsID(t *testing.T) {
	bed := newTestbed(t)
	bed.targets = bed.targets[:1]
	bed.applyTargets()
	resp, _, err := bed.do(http.MethodPost, "/once/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	former := bed.targets[0]
	bed.restartFirstTarget()
	resp, _, err = bed.do(http.MethodPost, "/once/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, former.Runs(), 1)
	require.Len(t, bed.targets[0].Runs(), 1)
	require.Equal(t, 1, bed.targets[0].ConnectionCount(), "connections to the former incarnation are not reused")
}

// TestAtMostOnceWhileTargetsRestart checks the properties of TestAtMostOnceUnderRandomFaults while
// targets crash and restart with the same ID and address, whether or not the router has the new
// list.
func TestAtMostOnceWhileTargetsRestart(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bed := newTestbed(t)
			bed.site.Fault = func(*standin.PlatformTarget, http.ResponseWriter, *http.Request) bool {
				time.Sleep(3 * time.Millisecond) // so that some requests run while their target ends
				return false
			}
			stop := make(chan struct{})
			restarts := make(chan int, 1)
			go func() {
				random := rand.New(rand.NewPCG(seed, 18))
				runs := func() (count int) {
					for _, target := range bed.site.AllIncarnations() {
						count += len(target.Runs())
					}
					return count
				}
				lastRuns := 0
				for count := 0; ; count++ {
					select {
					case <-stop:
						restarts <- count
						return
					case <-time.After(time.Duration(2+random.IntN(8)) * time.Millisecond):
					}
					if runs() == lastRuns {
						count--
						continue // on a busy machine, no target would run long enough to serve a request
					}
					lastRuns = runs()
					i := random.IntN(len(bed.targets))
					restarted, err := bed.site.Restart(bed.targets[i])
					if err != nil {
						t.Error(err)
						restarts <- count
						return
					}
					bed.targets[i] = restarted
					if random.IntN(2) == 0 {
						bed.applyTargets()
					}
				}
			}()
			responses := bed.sendRequests(requestsPerSeed)
			close(stop)
			require.Greater(t, <-restarts, 3)
			served := 0
			for id, response := range responses {
				response.check(t, id, bed.runCount(id))
				if response.status == http.StatusOK {
					served++
				}
			}
			require.Greater(t, served, requestsPerSeed/8)
		})
	}
}

// TestResumesStreamAtRestartedTarget checks that a stream is resumed at the next incarnation of its
// target as at any other target. The new incarnation is listed before the connection to the old one
// breaks, so that it can be reached.
func TestResumesStreamAtRestartedTarget(t *testing.T) {
	bed := newTestbed(t)
	bed.targets = bed.targets[:1]
	bed.applyTargets()
	former := bed.targets[0]
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		if target != former {
			return false
		}
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		target.WriteEvents(w, 1, 2)
		restarted, err := bed.site.Add(former.ID, former.Pool, former.Zone, "127.0.0.1:0", former.Slots)
		if err == nil {
			restarted.StartMillis = former.StartMillis + 1
			bed.targets[0] = restarted
			bed.applyTargets()
		}
		panic(http.ErrAbortHandler)
	}
	resp, body, err := bed.do(http.MethodPost, "/resume/stream", "x", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, body, "id: 5")
	require.Len(t, bed.targets[0].Runs(), 1)
	require.Equal(t, "2", bed.targets[0].Runs()[0].Header.Get("Last-Event-Id"))
}
