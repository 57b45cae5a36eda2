package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
)

// versions returns targets of the given versions.
func versions(names ...string) []fleet.Instance {
	list := instances(len(names))
	for i, name := range names {
		list[i].Version = name
	}
	return list
}

func ofVersion(version string, avoid ...fleet.Incarnation) Request {
	r := prompt(1, 1000, 500)
	r.OnlyVersion, r.Avoid = &version, avoid
	return r
}

// Guards against a stream that goes on at a target of another software version, however much better that
// target is, and against one that finds no target because all of its version were tried before.
func TestChoosesOnlyTargetsOfTheVersion(t *testing.T) {
	p := &Placer{Zone: "z0", Routers: 6, Backpressure: &backpressure.Tracker{}}
	p.SetTargets(start, versions("v1", "v2", "v2", "v2", "v1"))
	for range 40 { // makes the targets of v1 expensive
		c, ok := p.Choose(start, ofVersion("v1"))
		require.True(t, ok)
		require.Equal(t, "v1", c.Target.Version)
		p.StartAttempt(start, c, ofVersion("v1"))
	}
	c, ok := p.Choose(start, ofVersion("v1", incarnation(0)))
	require.True(t, ok)
	require.Equal(t, incarnation(4), c.Target.Incarnation, "one that was not tried")
	c, ok = p.Choose(start, ofVersion("v1", incarnation(0), incarnation(4)))
	require.True(t, ok, "if all were tried, they are tried again")
	require.Equal(t, "v1", c.Target.Version)

	leaving := versions("v1", "v2", "v2", "v2", "v1")
	leaving[0].Leaving, leaving[4].Leaving = true, true
	p.SetTargets(start, leaving)
	_, ok = p.Choose(start, ofVersion("v1"))
	require.False(t, ok)
	require.False(t, p.HasVersion(ofVersion("v1")))
	require.True(t, p.HasVersion(ofVersion("v2")))
	_, ok = p.Choose(start, ofVersion(""))
	require.False(t, ok, "a version that is not stated is one of its own")
}

// Guards against a refusal that tells the caller of a pause, or of none, by targets of other versions.
func TestBackoffEndCountsTargetsOfTheVersion(t *testing.T) {
	p := &Placer{Zone: "z0", Routers: 6, Backpressure: &backpressure.Tracker{}}
	list := versions("v1", "v2")
	p.SetTargets(start, list)
	p.Backpressure.Record(start, list[0], backpressure.Signal{Backoff: 3 * time.Second})
	end, ok := p.BackoffEnd(start, ofVersion("v1"))
	require.True(t, ok)
	require.Equal(t, start.Add(3*time.Second), end)
	_, ok = p.BackoffEnd(start, ofVersion("v2"))
	require.False(t, ok)
	require.True(t, p.HasVersion(ofVersion("v1")), "it will take requests again")
}

// Guards against a stream that goes on at a target whose version the list corrects between its choice and
// the send.
func TestConfirmSendRejectsChangedVersion(t *testing.T) {
	p := &Placer{Zone: "z0", Routers: 6, Backpressure: &backpressure.Tracker{}}
	p.SetTargets(start, versions("v1"))
	c := send(t, p, start, ofVersion("v1"))
	require.True(t, p.ConfirmSend(start, c))
	p.SetTargets(start, versions("v2"))
	require.False(t, p.ConfirmSend(start, c))
}

// Guards against a stream that goes on at a target whose version is not known, as while keepers of the
// previous version lead.
func TestUnknownVersionsAreNotEqual(t *testing.T) {
	p := &Placer{Zone: "z0", Routers: 6, Backpressure: &backpressure.Tracker{}}
	p.SetTargets(start, versions(fleet.UnknownVersion, fleet.UnknownVersion))
	_, ok := p.Choose(start, ofVersion(fleet.UnknownVersion))
	require.False(t, ok)
	require.False(t, p.HasVersion(ofVersion(fleet.UnknownVersion)))
	_, ok = p.Choose(start, prompt(1, 1000, 500))
	require.True(t, ok, "new streams begin there")
}
