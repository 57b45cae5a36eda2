package cmd

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// processFault pauses, kills or stops one process of a kind, where none of that kind is
// in trouble already.
func (s *soak) processFault(kind string, i int, again func(i int)) {
	if s.busy[kind] {
		return
	}
	name := fmt.Sprintf("%c%d", kind[0], i)
	from := time.Now()
	length := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
	switch how := s.random.IntN(5); how {
	case 0:
		s.t.Logf("%s stands still for %s", name, length)
		require.NoError(s.t, s.running[name].Process.Signal(syscall.SIGSTOP))
		s.later(kind, from.Add(length), func() {
			require.NoError(s.t, s.running[name].Process.Signal(syscall.SIGCONT))
			s.history.faults = append(s.history.faults, span{from, time.Now().Add(time.Second)})
		})
	case 1, 2, 3:
		s.t.Logf("%s is killed, back after %s (disk lost: %t, last write torn: %t)", name, length, how == 2, how == 3)
		require.Error(s.t, s.end(name, syscall.SIGKILL))
		switch how {
		case 2:
			require.NoError(s.t, os.RemoveAll(filepath.Join(s.folder, name)))
		case 3:
			s.tearLog(name)
		}
		s.later(kind, from.Add(length), func() {
			again(i)
			s.history.faults = append(s.history.faults, span{from.Add(-standin.CallerTime), time.Now()})
		})
	default:
		s.t.Logf("%s is stopped", name)
		stopped := make(chan error, 1)
		cmd := s.running[name]
		delete(s.running, name)
		require.NoError(s.t, cmd.Process.Signal(syscall.SIGTERM))
		go func() { stopped <- cmd.Wait() }()
		s.later(kind, from, func() {
			require.NoError(s.t, <-stopped, "a stop ends well")
			if kind == "router" {
				s.history.stops[i] = append(s.history.stops[i], span{from, time.Now()})
			}
			again(i)
		})
	}
}

// tearLog leaves the beginning of a batch at the end of a keeper's log, as a crash in
// the middle of a write does. Routers have no log.
func (s *soak) tearLog(name string) {
	logs, err := filepath.Glob(filepath.Join(s.folder, name, "log-*"))
	require.NoError(s.t, err)
	if len(logs) == 0 {
		return
	}
	last := slices.Max(logs)
	data, err := os.ReadFile(last)
	require.NoError(s.t, err)
	torn := data[:s.random.IntN(min(len(data), 20)+1)]
	require.NoError(s.t, os.WriteFile(last, append(data, torn...), 0o600))
}

func (s *soak) keeperAgain(i int) {
	s.awaitStart(fmt.Sprintf("k%d", i), func() { s.keeper(i, false) })
}

func (s *soak) routerAgain(i int) {
	s.awaitStart(fmt.Sprintf("r%d", i), func() { s.router(i) })
}

// awaitStart starts a process and waits until it says so: until then a signal ends it
// as it would any program, and there is nothing that a graceful stop could keep.
func (s *soak) awaitStart(name string, start func()) {
	starts := func() int {
		text, err := os.ReadFile(filepath.Join(s.folder, name+".log"))
		require.NoError(s.t, err)
		return bytes.Count(text, []byte(`"@message":"start"`))
	}
	before := starts()
	start()
	require.Eventually(s.t, func() bool { return starts() > before }, patience, 5*time.Millisecond)
}

// linkFault delays, resets or silences the connections to a target or a router.
func (s *soak) linkFault(kind string, link *standin.Proxy) {
	if s.busy[kind] {
		return
	}
	from := time.Now()
	length := time.Duration(300+s.random.IntN(2000)) * time.Millisecond
	how := s.random.IntN(5)
	s.t.Logf("%s %s: fault %d for %s", kind, link.Address(), how, length)
	switch how {
	case 0:
		link.Delay(time.Duration(50+s.random.IntN(250)) * time.Millisecond)
	case 1:
		link.Reset()
	case 2:
		link.Silence(standin.ToTarget)
	case 3:
		link.Silence(standin.ToCaller)
	default:
		link.Silence(standin.ToTarget)
		link.Silence(standin.ToCaller)
	}
	s.later(kind, from.Add(length), func() {
		link.Heal()
		s.history.faults = append(s.history.faults, span{from, time.Now().Add(time.Second)})
	})
}

// later ends a fault at a time; until then no other of its kind begins.
func (s *soak) later(kind string, at time.Time, end func()) {
	s.busy[kind] = true
	s.pending = append(s.pending, pending{at, kind, end})
}

// settle ends the faults that are due, or all of them.
func (s *soak) settle(all bool) {
	s.pending = slices.DeleteFunc(s.pending, func(p pending) bool {
		if !all && time.Now().Before(p.at) {
			return false
		}
		time.Sleep(time.Until(p.at))
		p.end()
		s.busy[p.kind] = false
		return true
	})
}
