package router

import (
	"context"
	"sync"
	"time"

	"laburnumfall/internal/socket"
)

// disconnectPollInterval is the interval between checks of the callers' connections.
const disconnectPollInterval = 50 * time.Millisecond

// A disconnectWatcher finds callers that have disconnected, so that their requests release their
// slots. The HTTP library does not report disconnects.
type disconnectWatcher struct {
	mu       sync.Mutex
	requests map[*pendingRequest]struct{}
}

func (w *disconnectWatcher) add(pending *pendingRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests == nil {
		w.requests = make(map[*pendingRequest]struct{})
	}
	w.requests[pending] = struct{}{}
}

func (w *disconnectWatcher) remove(pending *pendingRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, pending)
}

func (w *disconnectWatcher) run(ctx context.Context, loop *schedulerLoop) error {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, pending := range w.takeDisconnected() {
				loop.disconnect(pending.id)
			}
		}
	}
}

// takeDisconnected removes and returns the requests whose callers have closed their connection.
func (w *disconnectWatcher) takeDisconnected() []*pendingRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	var disconnected []*pendingRequest
	for pending := range w.requests {
		if socket.PeerClosed(pending.callerConn) {
			disconnected = append(disconnected, pending)
			delete(w.requests, pending)
		}
	}
	return disconnected
}
