package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
)

// Symptom: a request is lost on a connection whose target has ended.
// Sequence: a target crashes without a word, as in a loss of power, and starts again
// under its ID on its address; the former's kept connections still look open.
// Cause: kept connections were looked up by ID.
func TestAConnectionToAFormerStartIsNeverUsed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	p := &Pool{Clock: clock.NewRealClock()}
	defer p.Close()
	former, next := fleet.Incarnation{ID: "a", StartMillis: 1000}, fleet.Incarnation{ID: "a", StartMillis: 2000}
	first, err := p.Get(context.Background(), former, l.Addr().String())
	require.NoError(t, err)
	until := p.Clock.Now().Add(time.Minute)
	p.put(former, first, until)
	again, err := p.Get(context.Background(), former, l.Addr().String())
	require.NoError(t, err)
	require.Same(t, first, again)

	p.put(former, first, until) // also one that is given back after the next start is known
	other, err := p.Get(context.Background(), next, l.Addr().String())
	require.NoError(t, err)
	require.NotSame(t, first, other)
	p.put(next, other, until)
	p.Prune(p.Clock.Now(), func(target fleet.Incarnation) bool { return target == next })
	_, err = first.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed, "the former's connections are closed")
	kept, err := p.Get(context.Background(), next, l.Addr().String())
	require.NoError(t, err)
	require.Same(t, other, kept)
	require.NoError(t, kept.Close())
}
