package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/roster"
)

func TestTargetsThatRoutersFindGone(t *testing.T) {
	start := time.Unix(1e9, 0)
	a, b := fleet.Incarnation{ID: "a", Born: 1}, fleet.Incarnation{ID: "b", Born: 1}
	all := func(fleet.Incarnation) bool { return true }
	var absent roster.Absences
	revision, targets := absent.Now(start)
	require.Zero(t, revision)
	require.Empty(t, targets)

	absent.Report(start, []fleet.Incarnation{b, a, {ID: "c"}}, func(in fleet.Incarnation) bool { return in.ID != "c" })
	first, targets := absent.Now(start)
	require.NotZero(t, first)
	require.Equal(t, []fleet.Incarnation{a, b}, targets, "in order, and of those that are listed")

	absent.Report(start.Add(3*time.Second), []fleet.Incarnation{a}, all)
	again, _ := absent.Now(start.Add(3 * time.Second))
	require.Equal(t, first, again, "nothing new")

	later, targets := absent.Now(start.Add(roster.AbsentFor))
	require.NotEqual(t, first, later)
	require.Equal(t, []fleet.Incarnation{a}, targets)
	last, targets := absent.Now(start.Add(3*time.Second + roster.AbsentFor))
	require.NotEqual(t, later, last)
	require.Empty(t, targets)

	var other roster.Absences
	other.Report(start.Add(time.Minute), []fleet.Incarnation{a}, all)
	next, _ := other.Now(start.Add(time.Minute))
	require.Greater(t, next, last, "of a keeper that leads later")
}
