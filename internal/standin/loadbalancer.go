package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxFailedChecks is after how many consecutive failed readiness checks a router gets no new
	// connections.
	maxFailedChecks = 2
	// checkTimeout bounds a readiness check.
	checkTimeout = 500 * time.Millisecond
)

// A BalancedRouter is a router behind a LoadBalancer.
type BalancedRouter struct {
	ReadinessAddress string // HOST:PORT of the readiness check
	CallerAddress    string // HOST:PORT for callers
}

// A LoadBalancer stands in for the platform's load balancer. It forwards each new connection to a
// ready router, by a hash of the caller's address, and does not touch open connections. Set the
// exported fields, then call Start.
type LoadBalancer struct {
	Routers []BalancedRouter
	// CheckPeriod is how often it checks the readiness of all routers.
	CheckPeriod time.Duration

	listener net.Listener
	stop     context.CancelFunc

	mu       sync.Mutex
	rotation rotation
}

// Start listens for callers and starts the readiness checks.
func (b *LoadBalancer) Start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	b.listener = listener
	b.rotation.failedChecks = make([]int, len(b.Routers))
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go b.checkReadiness(ctx)
	go b.accept()
	return nil
}

// Address returns the address for callers.
func (b *LoadBalancer) Address() string {
	return b.listener.Addr().String()
}

// Close stops accepting connections. Open connections stay.
func (b *LoadBalancer) Close() {
	b.stop()
	_ = b.listener.Close() // ends accept
}

// Rotation returns the indexes of the routers that get new connections.
func (b *LoadBalancer) Rotation() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rotation.inRotation()
}

func (b *LoadBalancer) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(b.CheckPeriod)
	defer ticker.Stop()
	for {
		for i, router := range b.Routers {
			resp, err := client.Get("http://" + router.ReadinessAddress + "/laburnumfall/readyz")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close() // only the status matters
			}
			b.mu.Lock()
			b.rotation.recordCheck(i, ready)
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *LoadBalancer) accept() {
	for {
		caller, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.forward(caller)
	}
}

func (b *LoadBalancer) forward(caller net.Conn) {
	b.mu.Lock()
	index := b.rotation.pickRouter(caller.RemoteAddr().String())
	b.mu.Unlock()
	router, err := net.Dial("tcp4", b.Routers[index].CallerAddress)
	if err != nil {
		_ = caller.Close() // the router is not reachable
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { copyStream(router, caller) })
	copies.Go(func() { copyStream(caller, router) })
	copies.Wait()
	_ = caller.Close() // both directions have ended
	_ = router.Close() // both directions have ended
}

// copyStream copies one direction of a connection until it ends, and then closes that direction.
func copyStream(to, from net.Conn) {
	_, _ = io.Copy(to, from) // ends with either connection
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the peer may have closed the connection
	}
}

// A rotation keeps track of the routers that get new connections.
type rotation struct {
	failedChecks []int // consecutive, by router
}

func (r *rotation) recordCheck(index int, ready bool) {
	if ready {
		r.failedChecks[index] = 0
		return
	}
	r.failedChecks[index]++
}

// inRotation returns the indexes of the ready routers, or of all routers if less than half of
// them are ready.
func (r *rotation) inRotation() []int {
	var ready, all []int
	for i, failed := range r.failedChecks {
		all = append(all, i)
		if failed < maxFailedChecks {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}

func (r *rotation) pickRouter(caller string) int {
	routers := r.inRotation()
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(caller)) // never returns an error
	return routers[int(hash.Sum32()%uint32(len(routers)))]
}
