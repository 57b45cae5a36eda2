package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validConfig = `number = 7
[[account]]
name = "regina"
share = 3.0
keys = ["sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"]
[[target]]
name = "assistant-1"
address = "127.0.0.1:9001"
zone = "regina"
kind = "engine"
slots = 8
fenced = true
[[event]]
name = "tender"
start = 2026-12-02T17:00:00Z
end = 2026-12-03T02:00:00Z
accounts = ["regina"]
targets = ["assistant-1"]
`

func TestDigestIgnoresLayout(t *testing.T) {
	config, err := ParseConfig("a.toml", []byte(validConfig))
	require.NoError(t, err)
	reformatted, err := ParseConfig("b.toml", []byte("# a comment\n"+strings.ReplaceAll(validConfig, "\n[[", "\n\n[[")))
	require.NoError(t, err)
	require.Equal(t, config.Digest(), reformatted.Digest())
	require.NotEqual(t, config.Digest(), config.WithNumber(8).Digest())
	require.NotEqual(t, config.Digest(), config.WithTargetState("assistant-1", TargetLeaving).Digest())
	require.Equal(t, TargetLive, config.Targets[0].State, "live is the default state")
}

func TestConfigTOMLRoundTrip(t *testing.T) {
	config, err := ParseConfig("a.toml", []byte(validConfig))
	require.NoError(t, err)
	text, err := config.TOML()
	require.NoError(t, err)
	decoded, err := ParseConfig("b.toml", text)
	require.NoError(t, err)
	require.Equal(t, config.Digest(), decoded.Digest())
}

func TestEventOpenBetweenStartAndEnd(t *testing.T) {
	start := time.Date(2026, 12, 2, 17, 0, 0, 0, time.UTC)
	event := Event{Start: start, End: start.Add(time.Hour)}
	require.False(t, event.Open(start.Add(-time.Nanosecond)))
	require.True(t, event.Open(start))
	require.False(t, event.Open(start.Add(time.Hour)))
	require.True(t, Event{}.Open(start))
}

// Guards against different digests for an omitted list and an empty list. A configuration that
// is read back from the fleet has empty lists in place of omitted ones; sent again unchanged, it
// would be refused as a different configuration with the same number.
func TestDigestTreatsEmptyListAsOmitted(t *testing.T) {
	omitted, err := ParseConfig("a.toml", []byte("number = 1\n[[account]]\nname = \"a\"\nshare = 1\n"))
	require.NoError(t, err)
	empty, err := ParseConfig("b.toml", []byte("number = 1\n[[account]]\nname = \"a\"\nshare = 1\nkeys = []\n"))
	require.NoError(t, err)
	require.Equal(t, omitted.Digest(), empty.Digest())
	text, err := omitted.TOML()
	require.NoError(t, err)
	decoded, err := ParseConfig("c.toml", text)
	require.NoError(t, err)
	require.Equal(t, omitted.Digest(), decoded.Digest())
}

func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("number = 1\n[[account]]\nname = \"a\"\nshare = nan\n"))
	f.Add([]byte("[[event"))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := ParseConfig("fuzz.toml", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		text, err := config.TOML()
		require.NoError(t, err)
		decoded, err := ParseConfig("again.toml", text)
		require.NoError(t, err)
		require.Equal(t, config.Digest(), decoded.Digest())
	})
}
