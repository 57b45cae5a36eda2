package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The example settings pass the checks that the operators' page tells to make.
func TestExamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.toml")
	require.NoError(t, err)
	require.Len(t, files, 10)
	folder := t.TempDir()
	secret := filepath.Join(folder, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("0123456789abcdef"), 0o600))
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		text := strings.ReplaceAll(string(data), `secret = "secret"`, `secret = "`+secret+`"`)
		copied := filepath.Join(folder, filepath.Base(file))
		require.NoError(t, os.WriteFile(copied, []byte(text), 0o600))
		var out bytes.Buffer
		code := exitUsage
		switch name := filepath.Base(file); {
		case strings.HasPrefix(name, "keeper"):
			code = Keeper([]string{"--config", copied, "--check"}, &out, &out)
		case strings.HasPrefix(name, "router"):
			code = Router([]string{"--config", copied, "--check"}, &out, &out)
		default:
			code = Ctl([]string{"check", copied}, &out, &out)
		}
		require.Equal(t, exitOK, code, "%s: %s", file, out.String())
	}
}
