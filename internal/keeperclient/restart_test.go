package keeperclient

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	stepTime         = 10 * time.Millisecond
	maxListLag       = 800 * time.Millisecond // lag of the platform's list, according to the platform's documentation
	minDrainTime     = 3 * time.Second
	leaderReadPeriod = 600 * time.Millisecond
	responseTime     = 200 * time.Millisecond

	requestInterval = 50 * time.Millisecond
	promptPrefixes  = 40 // distinct prompt prefixes
	simulatedTime   = 100 * time.Second
)

// restartScenario is one target that terminates and restarts under the same ID, as a router sees
// it.
type restartScenario struct {
	listsStarts bool // the list has start times
	drained     bool // otherwise it crashes
	random      *rand.Rand

	// Times of the target, since the start of the simulation.
	drainAt, endAt, startAt time.Duration
	unlistedAt              time.Duration // when a crashed target would leave the list
}

func newRestartScenario(seed uint64, drained, listsStarts bool) *restartScenario {
	scenario := &restartScenario{listsStarts: listsStarts, drained: drained, random: rand.New(rand.NewPCG(seed, 7))}
	scenario.drainAt = 10*time.Second + scenario.randomDuration(2*time.Second)
	scenario.endAt = scenario.drainAt
	if drained {
		scenario.endAt += minDrainTime + scenario.randomDuration(time.Second)
	}
	scenario.startAt = scenario.endAt + time.Second + scenario.randomDuration(7*time.Second)
	scenario.unlistedAt = scenario.endAt + 2*time.Second + scenario.randomDuration(3*time.Second)
	return scenario
}

func (s *restartScenario) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *restartScenario) running(at time.Duration) bool {
	return at < s.endAt || at >= s.startAt
}

// listAt returns the platform's list at a time.
func (s *restartScenario) listAt(at time.Duration) []fleet.Instance {
	list := []fleet.Instance{newInstance("other", 1, false), newInstance("third", 1, false)}
	target := newInstance("target", 1, s.drained && at >= s.drainAt && at < s.startAt)
	if at >= s.startAt {
		target.StartMillis = s.startAt.Milliseconds()
	}
	listed := at < s.endAt || at >= s.startAt || !s.drained && at < s.unlistedAt
	if listed {
		list = append(list, target)
	}
	for i := range list {
		list[i].Slots = 64
		if !s.listsStarts {
			list[i].StartMillis = 0
		}
	}
	return list
}

// inFlightRequest is a request in progress at a target.
type inFlightRequest struct {
	choice *placement.Choice
	sentAt time.Duration
}

// restartSimulation runs a restartScenario with one router and the leading keeper.
type restartSimulation struct {
	*restartScenario
	t         *testing.T
	now       time.Duration
	startTime time.Time
	client    *Client
	placer    placement.Placer
	inFlight  []inFlightRequest

	nextRead, nextRenewal time.Duration // when the leader reads the list next, and when the router renews next
	list                  []fleet.Instance
	revision              uint64
	readAt                time.Duration
}

func (s *restartSimulation) clockTime() time.Time {
	return s.startTime.Add(s.now)
}

// timeUntilServed runs the simulation. It returns how long after its restart the target gets a
// request that it serves.
func (s *restartScenario) timeUntilServed(t *testing.T) time.Duration {
	simulation := &restartSimulation{restartScenario: s, t: t, client: newClient(&fakeList{}), nextRead: s.randomDuration(leaderReadPeriod), nextRenewal: s.randomDuration(quota.ReportPeriod(150))}
	simulation.startTime = simulation.client.Clock.Now()
	simulation.client.OnChange = func(_ State, targets []fleet.Instance) { simulation.placer.SetTargets(simulation.clockTime(), targets) }
	for ; simulation.now < simulatedTime; simulation.now += stepTime {
		simulation.readList()
		simulation.renew()
		simulation.endRequests()
		if simulation.now%requestInterval == 0 && simulation.sendRequest() {
			return simulation.now - s.startAt
		}
	}
	return simulatedTime - s.startAt
}

func (s *restartSimulation) readList() {
	if s.now < s.nextRead {
		return
	}
	s.nextRead += leaderReadPeriod
	s.readAt = s.now
	list := s.listAt(max(s.now-s.randomDuration(maxListLag), 0))
	if s.revision == 0 || !slices.Equal(list, s.list) {
		s.list, s.revision = list, s.revision+1
	}
}

func (s *restartSimulation) renew() {
	if s.now < s.nextRenewal || s.revision == 0 {
		return
	}
	s.nextRenewal += quota.ReportPeriod(150)
	response := message.RenewResponse{Leads: true, Term: 1, Number: 1, ListRevision: s.revision, ListAge: s.now - s.readAt}
	if s.client.listRevision != s.revision {
		response.PackedTargets = packJSON(s.t, s.list)
	}
	s.client.applyLeaderResponse(s.clockTime(), "k", nil, response)
}

// endRequests ends the requests that are answered, and those lost when the target crashed.
func (s *restartSimulation) endRequests() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(request inFlightRequest) bool {
		lost := request.choice.Target.ID == "target" && !s.running(s.now)
		if s.now < request.sentAt+responseTime && !lost {
			return false
		}
		result := placement.Served
		if lost {
			result = placement.Failed
		}
		s.placer.RecordFirstByte(s.clockTime(), request.choice)
		s.placer.EndAttempt(s.clockTime(), request.choice, result)
		return true
	})
}

// sendRequest sends one request. It reports whether the restarted target serves it.
func (s *restartSimulation) sendRequest() bool {
	request := placement.Request{Pool: "p", Parts: []placement.PromptPart{{ID: s.random.Uint64N(promptPrefixes), Tokens: 4000}, {ID: s.random.Uint64(), Tokens: 200}}}
	choice, ok := s.placer.Choose(s.clockTime(), request)
	if !ok {
		return false
	}
	s.placer.StartAttempt(s.clockTime(), choice, request)
	if choice.Target.ID == "target" && !s.running(s.now) {
		s.placer.EndAttempt(s.clockTime(), choice, placement.ConnectFailed)
		return false
	}
	s.inFlight = append(s.inFlight, inFlightRequest{choice: choice, sentAt: s.now})
	return choice.Target.ID == "target" && s.now >= s.startAt
}

// Guards against a restarted target that idles for up to a minute while the others are
// overloaded. It crashes, or is drained and ends, and restarts under the same ID; so state such
// as leaving, failed and unreachable must not be kept by ID alone.
func TestRestartedTargetGetsWorkInTime(t *testing.T) {
	const seeds = 20
	for _, tt := range []struct {
		name                 string
		drained, listsStarts bool
		limit                time.Duration // largest time until work, from the simulation
	}{
		{"crashed", false, true, 3 * time.Second},
		{"crashed, without start times", false, false, 5 * time.Second},
		{"drained", true, true, 2 * time.Second},
		{"drained, without start times", true, false, 6 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(seeds) {
				times = append(times, newRestartScenario(seed, tt.drained, tt.listsStarts).timeUntilServed(t))
			}
			slices.Sort(times)
			median, worst := times[seeds/2], times[seeds-1]
			t.Logf("median %.2f s, worst %.2f s of %d seeds", median.Seconds(), worst.Seconds(), seeds)
			require.LessOrEqual(t, worst, tt.limit)
		})
	}
}
