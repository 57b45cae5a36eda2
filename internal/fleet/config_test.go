package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const goodConfig = `number = 7
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
	a, err := ParseConfig("a.toml", []byte(goodConfig))
	require.NoError(t, err)
	b, err := ParseConfig("b.toml", []byte("# a comment\n"+strings.ReplaceAll(goodConfig, "\n[[", "\n\n[[")))
	require.NoError(t, err)
	require.Equal(t, a.Digest(), b.Digest())
	require.NotEqual(t, a.Digest(), a.WithNumber(8).Digest())
	require.NotEqual(t, a.Digest(), a.WithTargetState("assistant-1", TargetLeaving).Digest())
	require.Equal(t, TargetLive, a.Targets[0].State, "live unless it says otherwise")
}

func TestConfigSurvivesItsOwnTOML(t *testing.T) {
	a, err := ParseConfig("a.toml", []byte(goodConfig))
	require.NoError(t, err)
	text, err := a.TOML()
	require.NoError(t, err)
	b, err := ParseConfig("b.toml", text)
	require.NoError(t, err)
	require.Equal(t, a.Digest(), b.Digest())
}

func TestEventIsOpenBetweenItsTimes(t *testing.T) {
	start := time.Date(2026, 12, 2, 17, 0, 0, 0, time.UTC)
	e := Event{Start: start, End: start.Add(time.Hour)}
	require.False(t, e.Open(start.Add(-time.Nanosecond)))
	require.True(t, e.Open(start))
	require.False(t, e.Open(start.Add(time.Hour)))
	require.True(t, Event{}.Open(start))
}

// Symptom: a configuration that was read back from the fleet and sent again, unchanged, is
// refused as another one under the same number.
// Sequence: an account without keys is written without that list; what is read back has it,
// empty.
// Cause: a list that is empty and one that is left out had different digests.
func TestAnEmptyListIsOneThatIsLeftOut(t *testing.T) {
	without, err := ParseConfig("a.toml", []byte("number = 1\n[[account]]\nname = \"a\"\nshare = 1\n"))
	require.NoError(t, err)
	empty, err := ParseConfig("b.toml", []byte("number = 1\n[[account]]\nname = \"a\"\nshare = 1\nkeys = []\n"))
	require.NoError(t, err)
	require.Equal(t, without.Digest(), empty.Digest())
	text, err := without.TOML()
	require.NoError(t, err)
	back, err := ParseConfig("c.toml", text)
	require.NoError(t, err)
	require.Equal(t, without.Digest(), back.Digest())
}

func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(goodConfig))
	f.Add([]byte("number = 1\n[[account]]\nname = \"a\"\nshare = nan\n"))
	f.Add([]byte("[[event"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseConfig("fuzz.toml", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		text, err := c.TOML()
		require.NoError(t, err)
		again, err := ParseConfig("again.toml", text)
		require.NoError(t, err)
		require.Equal(t, c.Digest(), again.Digest())
	})
}
