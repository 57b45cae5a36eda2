package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/tomlfile"
)

// Whatever a settings file holds: it is refused with a remedy, or names what is needed.
func FuzzSettingsFiles(f *testing.F) {
	dir := f.TempDir()
	secret := filepath.Join(dir, "secret")
	require.NoError(f, os.WriteFile(secret, make([]byte, minSecretSize), 0o600))
	f.Add([]byte("name = \"r\"\nzone = \"z\"\nlisten = \"127.0.0.1:1\"\nadmin = \"127.0.0.1:2\"\nkeepers = [\"127.0.0.1:3\"]\nsecret = \"" + secret + "\"\n"))
	f.Add([]byte("name = \"k\"\nzone = \"z\"\nlisten = \"127.0.0.1:1\"\nadmin = \"127.0.0.1:2\"\ndata = \"d\"\npeers = [\"k=127.0.0.1:1\", \"=\"]\nsecret = \"" + secret + "\"\n"))
	f.Add([]byte("name = 7"))
	f.Add([]byte("[[name]]\n[name.zone]\n\xff"))
	path := filepath.Join(dir, "f.toml")
	f.Fuzz(func(t *testing.T, text []byte) {
		require.NoError(t, os.WriteFile(path, text, 0o600))
		refused := func(err error) bool {
			if err == nil {
				return false
			}
			var wrong *tomlfile.Error
			require.True(t, errors.As(err, &wrong), "%v", err)
			require.NotEmpty(t, wrong.Remedy)
			return true
		}
		r, err := ReadRouter(path)
		if !refused(err) {
			require.NotEmpty(t, r.Name)
			require.NotEmpty(t, r.Keepers)
		}
		k, err := ReadKeeper(path)
		if !refused(err) {
			require.NotEmpty(t, k.Name)
			require.NotEmpty(t, k.Data)
		}
	})
}
