package keeperclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/rpc"
)

// fakeKeeper answers renewals as it is told.
type fakeKeeper struct {
	address string

	mu     sync.Mutex
	answer message.RenewResponse
	asked  int
	packed int                  // of these, packed
	last   message.RenewRequest // asked last
	slow   time.Duration        // before an answer that brings a configuration
	mute   bool
}

// Call implements rpc.Handler.
func (k *fakeKeeper) Call(ctx context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	ask, err := readRenew(method, params)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	k.asked++
	if method == message.MethodRenewPacked {
		k.packed++
	}
	k.last = ask
	r, slow, mute := k.answer, k.slow, k.mute
	k.mu.Unlock()
	if mute {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if ask.Number == r.Number {
		r.PackedConfig = nil
	}
	if r.PackedConfig != nil {
		time.Sleep(slow)
	}
	return r, nil
}

func readRenew(method string, params json.RawMessage) (message.RenewRequest, error) {
	if method == message.MethodRenewPacked {
		var p message.PackedRenewRequest
		if err := json.Unmarshal(params, &p); err != nil {
			return message.RenewRequest{}, err
		}
		return p.Unpack()
	}
	var ask message.RenewRequest
	return ask, json.Unmarshal(params, &ask)
}

// Notice implements rpc.Handler.
func (k *fakeKeeper) Notice(*rpc.Conn, string, json.RawMessage) {}

func (k *fakeKeeper) set(change func(k *fakeKeeper)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k)
}

func startKeeper(t *testing.T) *fakeKeeper {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &fakeKeeper{address: l.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var count rpc.Counter
	go func() { _ = rpc.Serve(ctx, l, "keeper", nil, k, &count) }() // ends with the listener
	t.Cleanup(func() {
		cancel()
		require.NoError(t, l.Close())
	})
	return k
}

// text returns the packed form of a configuration that decodeNumber reads.
func text(t *testing.T, number uint64) []byte {
	data, err := codec.Pack(fmt.Append(nil, number))
	require.NoError(t, err)
	return data
}

func decodeNumber(text []byte) (*fleet.RoutingTable, error) {
	table := &fleet.RoutingTable{}
	_, err := fmt.Sscan(string(text), &table.Number)
	return table, err
}

// fakeList is the platform's list.
type fakeList struct {
	mu    sync.Mutex
	list  []fleet.Instance
	reads int
}

// Read implements TargetList.
func (l *fakeList) Read(context.Context) (fleet.TargetListing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return fleet.TargetListing{Targets: l.list}, nil
}

// Address implements TargetList.
func (l *fakeList) Address() string {
	return "fake"
}

type seenTargets struct {
	mu      sync.Mutex
	targets []fleet.Instance
}

func (s *seenTargets) get() []fleet.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets
}

func newUplink(list *fakeList, seeds ...string) *Client {
	u := &Client{
		Name: "r1", Inc: 1, Clock: clock.NewRealClock(), Log: hclog.NewNullLogger(), Lease: 4 * time.Second,
		Decode: decodeNumber, List: list, Reads: 40,
		Changed: func(State, []fleet.Instance) {},
		Load:    func(time.Time) ([]message.Demand, []message.Backlog) { return nil, nil },
		Heard:   func(time.Time, []message.Demand, []message.Backlog) {},
	}
	u.SetSeeds(seeds)
	return u
}

func runUplink(t *testing.T, u *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- u.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

func startUplink(t *testing.T, list *fakeList, seeds ...string) (*Client, *seenTargets) {
	seen := &seenTargets{}
	u := newUplink(list, seeds...)
	u.Changed = func(_ State, targets []fleet.Instance) {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		seen.targets = targets
	}
	runUplink(t, u)
	return u, seen
}

func pack[T any](t *testing.T, value T) []byte {
	data, err := codec.PackJSON(value)
	require.NoError(t, err)
	return data
}

func (u *Client) has(number uint64) func() bool {
	return func() bool {
		s := u.State()
		return s.Table != nil && s.Table.Number == number
	}
}

const (
	wait = 10 * time.Second
	tick = 5 * time.Millisecond
)

func TestRouterFindsTheLeaderThroughAnyKeeper(t *testing.T) {
	follower, leader := startKeeper(t), startKeeper(t)
	follower.answer = message.RenewResponse{Leader: leader.address}
	leader.answer = message.RenewResponse{Leads: true, Term: 1, Number: 3, PackedConfig: text(t, 3), Routers: 2}
	u, _ := startUplink(t, &fakeList{}, follower.address)
	require.Eventually(t, u.has(3), wait, tick)
	require.Equal(t, 2, u.State().Routers)
	require.True(t, u.State().KeysUntil.After(u.Clock.Now()))
}

// Symptom: a router goes back to an older configuration.
// Sequence: it has heard the newest number; a keeper that still believes that it
// leads answers with an older one.
// Cause: the answer that comes last counts.
func TestRouterNeverGoesBack(t *testing.T) {
	k := startKeeper(t)
	k.answer = message.RenewResponse{Leads: true, Term: 2, Number: 9, PackedConfig: text(t, 9)}
	u, _ := startUplink(t, &fakeList{}, k.address)
	require.Eventually(t, u.has(9), wait, tick)
	k.set(func(k *fakeKeeper) {
		k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 8, PackedConfig: text(t, 8)}
		k.asked = 0
	})
	require.Eventually(t, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.asked > 2
	}, wait, tick)
	require.True(t, u.has(9)())
	before := u.State().KeysUntil
	require.Eventually(t, func() bool { return u.Clock.Now().After(before.Add(-3 * time.Second)) }, wait, tick)
	require.Equal(t, before, u.State().KeysUntil, "the lease on keys is not renewed by an older configuration")
}

// Symptom: a withdrawn key goes on working.
// Sequence: the answer of a leader takes long; meanwhile another keeper leads and
// takes the key away.
// Cause: the lease on keys counts from when the answer is read.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	k := startKeeper(t)
	k.slow = 300 * time.Millisecond
	k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1)}
	u, _ := startUplink(t, &fakeList{}, k.address)
	k.set(func(k *fakeKeeper) { k.asked = 0 })
	require.Eventually(t, u.has(1), wait, time.Millisecond)
	k.set(func(k *fakeKeeper) { k.mute = true })
	require.LessOrEqual(t, u.State().KeysUntil, u.Clock.Now().Add(u.Lease-k.slow))
}

// Symptom: a router never gets a configuration of many routes.
// Sequence: the answer that holds it takes longer than a question may; each time
// the router gives up and asks again.
// Cause: the time for a question is fixed.
func TestAnAnswerThatTakesLongArrives(t *testing.T) {
	k := startKeeper(t)
	k.slow = 2 * callTimeout
	k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1}
	u, _ := startUplink(t, &fakeList{}, k.address)
	require.Eventually(t, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.asked > 0
	}, wait, tick)
	k.set(func(k *fakeKeeper) {
		k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 5, PackedConfig: text(t, 5)}
	})
	require.Eventually(t, u.has(5), wait, tick)
}

// Symptom: a leaving target gets work while no keeper leads.
// Sequence: the keepers go away; a target starts to leave.
// Cause: the list of targets comes from the leader only.
func TestRouterReadsTheListItselfWithoutALeader(t *testing.T) {
	k := startKeeper(t)
	live := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}}
	k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1), ListRevision: 1, PackedTargets: pack(t, live)}
	list := &fakeList{list: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p", Leaving: true}}}
	u, seen := startUplink(t, list, k.address)
	require.Eventually(t, func() bool { return len(seen.get()) == 1 && !seen.get()[0].Leaving }, wait, tick)
	require.Zero(t, list.reads, "one reader for all")
	k.set(func(k *fakeKeeper) { k.answer = message.RenewResponse{} })
	require.Eventually(t, func() bool { return seen.get()[0].Leaving }, wait, tick)
	require.True(t, u.has(1)(), "it goes on with the configuration")
	k.set(func(k *fakeKeeper) {
		k.answer = message.RenewResponse{Leads: true, Term: 2, Number: 1, ListRevision: 1, Targets: live}
	})
	time.Sleep(500 * time.Millisecond)
	require.True(t, seen.get()[0].Leaving, "a list that lags brings nothing back")
}

// Symptom: a router that is behind loses its lease on keys for many seconds,
// though the leader is there.
// Sequence: the leader's answer takes longer than a question may; the router
// asks all other keepers, one after the other, which answer as late.
// Cause: the leader is asked again only after all others.
func TestARouterThatIsBehindComesBackToItsLeader(t *testing.T) {
	leader := startKeeper(t)
	seeds := []string{leader.address}
	var mutes []*fakeKeeper
	for range 6 {
		mute := startKeeper(t)
		mute.mute = true
		mutes = append(mutes, mute)
		seeds = append(seeds, mute.address)
	}
	leader.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1), Keepers: seeds}
	u, _ := startUplink(t, &fakeList{}, seeds...)
	require.Eventually(t, u.has(1), wait, tick)
	for _, mute := range mutes {
		mute.set(func(k *fakeKeeper) { k.asked = 0 })
	}
	leader.set(func(k *fakeKeeper) {
		k.answer.Number, k.answer.PackedConfig = 2, text(t, 2)
		k.slow = 3 * callTimeout
	})
	require.Eventually(t, u.has(2), wait, tick)
	asked := 0
	for _, mute := range mutes {
		mute.set(func(k *fakeKeeper) { asked += k.asked })
	}
	require.LessOrEqual(t, asked, 3, "each late answer of the leader costs one question to another, so that the lease holds")
}

func TestANewLeaderIsFoundThroughAFollower(t *testing.T) {
	old, follower, next := startKeeper(t), startKeeper(t), startKeeper(t)
	seeds := []string{old.address, follower.address}
	old.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1)}
	u, _ := startUplink(t, &fakeList{}, seeds...)
	require.Eventually(t, u.has(1), wait, tick)
	follower.set(func(k *fakeKeeper) { k.answer = message.RenewResponse{Leader: next.address} })
	next.set(func(k *fakeKeeper) {
		k.answer = message.RenewResponse{Leads: true, Term: 2, Number: 2, PackedConfig: text(t, 2)}
	})
	old.set(func(k *fakeKeeper) { k.mute, k.asked = true, 0 })
	require.Eventually(t, u.has(2), wait, tick)
	old.set(func(k *fakeKeeper) { require.LessOrEqual(t, k.asked, 2, "the old one is not waited for again") })
}

// Symptom: routers send work where others have filled the queue.
// Sequence: the leader's list of targets changes; its sums come by the order of the
// new list, while this router goes by a list that it has read itself since.
// Cause: the sums are taken by the order of the list in use.
func TestSumsGoByTheListThatTheKeepersSent(t *testing.T) {
	k := startKeeper(t)
	list := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}, {Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}}
	loads := message.Loads{Accounts: []string{"x"}, Rates: []int{5}, Served: []int{4}, Tokens: []int{7, 0}, Running: []int{1, 2}}
	heard := make(chan []message.Backlog, 100)
	u := newUplink(&fakeList{}, k.address)
	u.Heard = func(_ time.Time, _ []message.Demand, backlog []message.Backlog) { heard <- backlog }
	// The list is older than this router: it goes on without, as after a reading of
	// its own.
	k.answer = message.RenewResponse{
		Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1), ListRevision: 3, ListAge: time.Hour, PackedTargets: pack(t, list), PackedLoads: pack(t, loads),
	}
	runUplink(t, u)
	require.Equal(t, []message.Backlog{{Target: "b", Tokens: 7, Running: 1}, {Target: "a", Running: 2}}, <-heard)
	k.set(func(k *fakeKeeper) { k.answer.ListRevision, k.answer.PackedTargets = 4, nil })
	require.Eventually(t, func() bool { return len(<-heard) == 0 }, wait, tick, "of a list that was not sent nothing is taken")
}

// A list that the leader reads in time never looks old to a router of the largest fleet,
// even where two answers are lost: all of them would read the platform's list themselves.
func TestAListThatIsReadInTimeNeverLooksOld(t *testing.T) {
	require.Less(t, 3*quota.ReportPeriod(100_000), listPatience)
}
