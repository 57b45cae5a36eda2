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
	// mostMisses is how many times in a row a router may not be ready before it gets no
	// new connections.
	mostMisses = 2
	// askTime bounds a question whether a router is ready.
	askTime = 500 * time.Millisecond
)

// A Door is one router as a balancer sees it.
type BalancedRouter struct {
	ReadinessAddress string // where it tells whether it is ready, HOST:PORT
	CallerAddress    string // where it takes callers
}

// A Balancer stands in for the platform's: it passes each new connection on to a router
// that is ready, by a hash of the caller, and leaves open ones alone. Set the exported
// fields, then call Start.
type LoadBalancer struct {
	Routers []BalancedRouter
	// Period is how often it asks the routers whether they are ready.
	CheckPeriod time.Duration

	listener net.Listener
	stop     context.CancelFunc

	mu       sync.Mutex
	rotation rotation
}

// Start listens for callers.
func (b *LoadBalancer) Start(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	b.listener = l
	b.rotation.misses = make([]int, len(b.Routers))
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go b.watch(ctx)
	go b.accept()
	return nil
}

// Address returns where callers connect.
func (b *LoadBalancer) Address() string {
	return b.listener.Addr().String()
}

// Close takes no more connections.
func (b *LoadBalancer) Close() {
	b.stop()
	_ = b.listener.Close() // ends the accepting
}

// Rotation returns the routers that get new connections, as places among the doors.
func (b *LoadBalancer) Rotation() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rotation.in()
}

func (b *LoadBalancer) watch(ctx context.Context) {
	client := &http.Client{Timeout: askTime, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(b.CheckPeriod)
	defer ticker.Stop()
	for {
		for i, d := range b.Routers {
			resp, err := client.Get("http://" + d.ReadinessAddress + "/laburnumfall/readyz")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close() // only the status counts
			}
			b.mu.Lock()
			b.rotation.seen(i, ready)
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
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.pass(c)
	}
}

func (b *LoadBalancer) pass(caller net.Conn) {
	b.mu.Lock()
	i := b.rotation.pick(caller.RemoteAddr().String())
	b.mu.Unlock()
	router, err := net.Dial("tcp4", b.Routers[i].CallerAddress)
	if err != nil {
		_ = caller.Close() // nobody is there
		return
	}
	var both sync.WaitGroup
	both.Go(func() { forward(router, caller) })
	both.Go(func() { forward(caller, router) })
	both.Wait()
	_ = caller.Close() // both ways are done
	_ = router.Close() // as above
}

// forward copies one way, and passes its end on.
func forward(to, from net.Conn) {
	_, _ = io.Copy(to, from) // ends with either connection
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other end may be gone
	}
}

// A rotation is which routers get new connections.
type rotation struct {
	misses []int // in a row, by router
}

func (r *rotation) seen(i int, ready bool) {
	if ready {
		r.misses[i] = 0
		return
	}
	r.misses[i]++
}

// in returns the routers in rotation: all, where fewer than half would be.
func (r *rotation) in() []int {
	var ready, all []int
	for i, misses := range r.misses {
		all = append(all, i)
		if misses < mostMisses {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}

func (r *rotation) pick(caller string) int {
	list := r.in()
	h := fnv.New32a()
	_, _ = h.Write([]byte(caller)) // a hash takes all
	return list[int(h.Sum32()%uint32(len(list)))]
}
