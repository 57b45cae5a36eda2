package standin

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against logs of a failed test that are lost before someone can read them.
func TestSavesLogsOfTest(t *testing.T) {
	logs, parentDir := t.TempDir(), t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(logs, "k1.log"), []byte("one\ntwo\n"), 0o600))
	savedDir, err := SaveLogsIn(parentDir, "TestA/sub", logs)
	require.NoError(t, err)
	require.Equal(t, parentDir, filepath.Dir(savedDir))
	text, err := os.ReadFile(filepath.Join(savedDir, "k1.log"))
	require.NoError(t, err)
	require.Equal(t, "one\ntwo\n", string(text))
	root, err := moduleRoot()
	require.NoError(t, err)
	require.FileExists(t, filepath.Join(root, "go.mod"))
}
