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

// restart starts the first target again. The gateway hears of it by the next apply.
func (b *bed) restart() {
	next, err := b.site.Restart(b.targets[0])
	require.NoError(b.t, err)
	b.targets[0] = next
}

// ran returns how often the request of an ID has run at all targets that ever were.
func (b *bed) ran(id string) (count int) {
	for _, target := range b.site.All() {
		for _, run := range target.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// Symptom: a request that may run only once runs twice.
// Sequence: its target crashes while it runs, and starts again under its ID; the router
// hears of that before, or after, the connection breaks.
// Cause: the next start is another target, which was not tried yet.
func TestARequestOfAFormerStartRunsOnceOnly(t *testing.T) {
	for name, told := range map[string]bool{"told before": true, "not told": false} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.targets = b.targets[:1]
			b.apply()
			began := make(chan struct{}, 1)
			b.site.Fault = func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) bool {
				s.Ran(r)
				began <- struct{}{}
				<-r.Context().Done()
				return true
			}
			for _, path := range []string{"/once/x", "/twice/x"} {
				again := make(chan struct{})
				go func() {
					defer close(again)
					<-began
					if told {
						b.targets[0].Born++
						b.apply()
					}
					b.restart()
				}()
				resp, _, err := b.do(http.MethodPost, path, "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "its fate is unknown")
				<-again
				b.apply()
				require.Equal(t, 1, b.ran(fmt.Sprintf("id-%d", b.ids)))
			}
		})
	}
}

// Symptom: a request is answered "not run" and has run; or it is lost though it could be
// served.
// Sequence: a target starts again under its ID and on its address, and the router's list
// still shows its former start; a request is sent there, on a new connection.
// Cause: a request names its target by the ID alone. The next start runs it: as this was
// its only sending, it has run once, and the answer says so.
func TestTheNextStartMayAnswerForItsID(t *testing.T) {
	b := newBed(t)
	b.targets = b.targets[:1]
	b.apply()
	resp, _, err := b.do(http.MethodPost, "/once/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	former := b.targets[0]
	b.restart()
	resp, _, err = b.do(http.MethodPost, "/once/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, former.Runs(), 1)
	require.Len(t, b.targets[0].Runs(), 1)
	require.Equal(t, 1, b.targets[0].Conns(), "the former's connections are seen to be closed")
}

// What holds under any faults holds while targets crash and start again under their IDs on
// their addresses, whether or not the router has heard of it.
func TestOnceOnlyWhileTargetsStartAgain(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := newBed(t)
			b.site.Fault = func(*standin.SiteTarget, http.ResponseWriter, *http.Request) bool {
				time.Sleep(3 * time.Millisecond) // so that some run while their target ends
				return false
			}
			over := make(chan struct{})
			restarts := make(chan int, 1)
			go func() {
				draw := rand.New(rand.NewPCG(seed, 18))
				for count := 0; ; count++ {
					select {
					case <-over:
						restarts <- count
						return
					case <-time.After(time.Duration(2+draw.IntN(8)) * time.Millisecond):
					}
					i := draw.IntN(len(b.targets))
					next, err := b.site.Restart(b.targets[i])
					if err != nil {
						t.Error(err)
						restarts <- count
						return
					}
					b.targets[i] = next
					if draw.IntN(2) == 0 {
						b.apply()
					}
				}
			}()
			answers := b.flood(onceRequests)
			close(over)
			require.Greater(t, <-restarts, 3)
			served := 0
			for id, a := range answers {
				a.check(t, id, b.ran(id))
				if a.status == http.StatusOK {
					served++
				}
			}
			require.Greater(t, served, onceRequests/8)
		})
	}
}

// A stream that may be resumed goes on at the next start of its target, as at any other.
// Here that is there before the former's connections break, so that it can be reached.
func TestAStreamGoesOnAtTheNextStart(t *testing.T) {
	b := newBed(t)
	b.targets = b.targets[:1]
	b.apply()
	former := b.targets[0]
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		if s != former {
			return false
		}
		s.Ran(r)
		s.Head(w, r)
		s.Stream(w, 1, 2)
		next, err := b.site.Add(former.ID, former.Pool, former.Zone, "127.0.0.1:0", former.Slots)
		if err == nil {
			next.Born = former.Born + 1
			b.targets[0] = next
			b.apply()
		}
		panic(http.ErrAbortHandler)
	}
	resp, text, err := b.do(http.MethodPost, "/resume/stream", "x", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, text, "id: 5")
	require.Len(t, b.targets[0].Runs(), 1)
	require.Equal(t, "2", b.targets[0].Runs()[0].Header.Get("Last-Event-Id"))
}
