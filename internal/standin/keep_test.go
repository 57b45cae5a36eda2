package standin

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against logs of a failed test that are gone when somebody looks for its cause.
func TestLogsAreKeptWhole(t *testing.T) {
	from, to := t.TempDir(), t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(from, "k1.log"), []byte("one\ntwo\n"), 0o600))
	place, err := SaveLogsIn(to, "TestA/sub", from)
	require.NoError(t, err)
	require.Equal(t, to, filepath.Dir(place))
	text, err := os.ReadFile(filepath.Join(place, "k1.log"))
	require.NoError(t, err)
	require.Equal(t, "one\ntwo\n", string(text))
	root, err := moduleRoot()
	require.NoError(t, err)
	require.FileExists(t, filepath.Join(root, "go.mod"))
}
