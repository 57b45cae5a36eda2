package codec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestUnpackGivesEveryByteBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		data, err := Compress(text)
		require.NoError(t, err)
		again, err := Decompress(data)
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
		if len(data) > 0 {
			_, err = Decompress(data[:len(data)-1])
			require.Error(t, err, "what is cut is no text")
		}
	})
}

func TestPackedRoutesAreATenth(t *testing.T) {
	text := strings.Repeat(`{"name":"r-vtdhbjp","hostname":"ficu95.example","path_prefix":"/pufi791/","service":"huvo11a"},`, 400)
	data, err := Compress([]byte(text))
	require.NoError(t, err)
	require.Less(t, len(data), len(text)/10)
}

// Symptom: a configuration that is cut is taken for whole, or cannot be read for a reason
// that leads nowhere.
// Sequence: what comes from another process unpacks to more than is allowed.
// Cause: the rest was left out without a word.
func TestWhatUnpacksToTooMuchIsAnError(t *testing.T) {
	most, err := Compress(make([]byte, maxText))
	require.NoError(t, err)
	text, err := Decompress(most)
	require.NoError(t, err)
	require.Len(t, text, maxText)
	more, err := Compress(make([]byte, maxText+1))
	require.NoError(t, err)
	require.Less(t, len(more), maxText/100)
	_, err = Decompress(more)
	require.Error(t, err)
}

// Whatever comes in place of a packed text is an error, or a text that packs again.
func FuzzUnpack(f *testing.F) {
	for _, text := range []string{"", "{}", strings.Repeat("x", 4000)} {
		data, err := Compress([]byte(text))
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Add([]byte("\x1f\x8b\x08\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := Decompress(data)
		if err != nil {
			return
		}
		again, err := Compress(text)
		require.NoError(t, err)
		back, err := Decompress(again)
		require.NoError(t, err)
		require.Equal(t, string(text), string(back))
	})
}
