package keeperclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

func newInstance(id string, startMillis int64, leaving bool) fleet.Instance {
	return fleet.Instance{Incarnation: fleet.Incarnation{ID: id, StartMillis: startMillis}, Pool: "p", Leaving: leaving}
}

// receiveTargets makes the client receive a leader's response with this list of targets.
func (c *Client) receiveTargets(t *testing.T, sentAt time.Time, revision uint64, targets ...fleet.Instance) {
	response := message.RenewResponse{Leads: true, HasVersions: true, Term: 1, Number: 1, ListRevision: revision}
	if targets != nil {
		response.PackedTargets = packJSON(t, targets)
	}
	c.applyLeaderResponse(sentAt, "k", nil, response)
}

// Guards against a target that is ready again but gets no work until the list changes. A router
// saw it leaving, and the next list shows it ready too early to prove a restart; later responses
// refer to the same list. Each of them must apply what the list says, not the router's own view
// of it.
func TestUnchangedListEndsLeavingState(t *testing.T) {
	client := newClient(&fakeList{})
	now := client.Clock.Now()
	client.receiveTargets(t, now, 1, newInstance("a", 0, true))
	client.receiveTargets(t, now.Add(time.Second), 2, newInstance("a", 0, false))
	require.True(t, client.knownTargets.Targets()[0].Leaving)
	for second := 2; second < 10; second++ {
		client.receiveTargets(t, now.Add(time.Duration(second)*time.Second), 2)
	}
	require.False(t, client.knownTargets.Targets()[0].Leaving)
}

// Guards against requests to a terminated process. The router has read from the platform's list
// that a target restarted, and then receives a leader's list that is read later but lags behind.
func TestLaggingLeaderKeepsNewerIncarnation(t *testing.T) {
	client := newClient(&fakeList{})
	now := client.Clock.Now()
	require.True(t, client.applyTargets("own reading", now, fleet.TargetListing{Targets: []fleet.Instance{newInstance("a", 2000, false)}}))
	client.receiveTargets(t, now.Add(time.Second), 1, newInstance("a", 1000, false))
	require.Equal(t, []fleet.Instance{newInstance("a", 2000, false)}, client.knownTargets.Targets())
}

// Guards against changes of all targets with every response while keepers are upgraded. A keeper
// of the previous version sends lists without start times; a missing start time must not count as
// a different one.
func TestListWithoutStartTimesChangesNoTarget(t *testing.T) {
	client := newClient(&fakeList{})
	changes := 0
	client.OnChange = func(State, []fleet.Instance) { changes++ }
	now := client.Clock.Now()
	client.receiveTargets(t, now, 1, newInstance("a", 2000, false))
	client.applyLeaderResponse(now.Add(time.Second), "k", nil, message.RenewResponse{Leads: true, HasVersions: true, Term: 2, Number: 1, ListRevision: 1, Targets: []fleet.Instance{newInstance("a", 0, false)}})
	require.Equal(t, 1, changes)
	require.Equal(t, []fleet.Instance{newInstance("a", 2000, false)}, client.knownTargets.Targets())
}

// Guards against a damaged entry that removes its target from all routers. The leader's list has
// a damaged entry for a known target; the response must report the ID, so that routers keep the
// target for a while.
func TestDamagedEntryOfLeaderListKeepsTarget(t *testing.T) {
	client := newClient(&fakeList{})
	changes := 0
	client.OnChange = func(State, []fleet.Instance) { changes++ }
	now := client.Clock.Now()
	client.receiveTargets(t, now, 1, newInstance("a", 1000, false), newInstance("b", 1000, false))
	response := message.RenewResponse{Leads: true, HasVersions: true, Term: 1, Number: 1, ListRevision: 2, PackedTargets: packJSON(t, []fleet.Instance{newInstance("b", 1000, false)}), Damaged: []string{"a"}}
	client.applyLeaderResponse(now.Add(time.Second), "k", nil, response)
	client.receiveTargets(t, now.Add(1400*time.Millisecond), 2)
	require.Len(t, client.knownTargets.Targets(), 2)
	require.Equal(t, 1, changes)
	client.receiveTargets(t, now.Add(2*time.Second), 2)
	require.Equal(t, []fleet.Instance{newInstance("b", 1000, false)}, client.knownTargets.Targets(), "a list that does not change applies once the delay for damaged entries has passed")
}
