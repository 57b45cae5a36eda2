package logring

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// slowOut takes nothing until it is released.
type slowOut struct {
	release chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *slowOut) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// Symptom: requests wait for a log that nobody reads.
// Sequence: standard output takes nothing; far more lines are written than are
// kept.
// Cause: writing a line waits for its reader.
func TestAStuckLogHoldsNobodyAndTellsWhatItDropped(t *testing.T) {
	out := &slowOut{release: make(chan struct{})}
	r := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	for i := range 3 * size {
		n, err := fmt.Fprintf(r, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	close(out.release)
	cancel()
	<-done
	text := out.text.String()
	require.Contains(t, text, "line 0\n")
	require.Contains(t, text, "log lines dropped")
	require.GreaterOrEqual(t, strings.Count(text, "line "), size)
	require.True(t, strings.HasSuffix(text, "\n"))
}
