package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/tomlfile"
)

// Any settings file is either refused with a remedy or contains the required settings.
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
			var tomlError *tomlfile.Error
			require.True(t, errors.As(err, &tomlError), "%v", err)
			require.NotEmpty(t, tomlError.Remedy)
			return true
		}
		router, err := ReadRouter(path)
		if !refused(err) {
			require.NotEmpty(t, router.Name)
			require.NotEmpty(t, router.Keepers)
		}
		keeper, err := ReadKeeper(path)
		if !refused(err) {
			require.NotEmpty(t, keeper.Name)
			require.NotEmpty(t, keeper.Data)
		}
	})
}
