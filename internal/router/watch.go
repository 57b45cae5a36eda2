package router

import (
	"context"
	"sync"
	"time"

	"laburnumfall/internal/target"
)

// watchPeriod is how often callers are looked up.
const watchPeriod = 50 * time.Millisecond

// A watcher is the duty that finds callers which went away, so that their
// requests stop holding slots. The HTTP library does not tell.
type watcher struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (w *watcher) add(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[*call]struct{})
	}
	w.calls[c] = struct{}{}
}

func (w *watcher) remove(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

func (w *watcher) run(ctx context.Context, d *desk) error {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			for _, c := range w.left() {
				d.abandon(c.id)
			}
		}
	}
}

// left takes out the calls whose callers have closed their connection.
func (w *watcher) left() []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gone []*call
	for c := range w.calls {
		if target.PeerClosed(c.caller) {
			gone = append(gone, c)
			delete(w.calls, c)
		}
	}
	return gone
}
