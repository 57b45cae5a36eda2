package codec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		compressed, err := Compress(text)
		require.NoError(t, err)
		decompressed, err := Decompress(compressed)
		require.NoError(t, err)
		require.Equal(t, string(text), string(decompressed))
		if len(compressed) > 0 {
			_, err = Decompress(compressed[:len(compressed)-1])
			require.Error(t, err, "truncated data are an error")
		}
	})
}

func TestRoutesCompressToTenth(t *testing.T) {
	text := strings.Repeat(`{"name":"r-vtdhbjp","hostname":"ficu95.example","path_prefix":"/pufi791/","service":"huvo11a"},`, 400)
	compressed, err := Compress([]byte(text))
	require.NoError(t, err)
	require.Less(t, len(compressed), len(text)/10)
}

// A text above the limit must be an error. If it were truncated silently, a partial configuration
// would be taken for a complete one, or fail to parse with a misleading error.
func TestDecompressRefusesOversizedText(t *testing.T) {
	largest, err := Compress(make([]byte, maxTextSize))
	require.NoError(t, err)
	text, err := Decompress(largest)
	require.NoError(t, err)
	require.Len(t, text, maxTextSize)
	tooLarge, err := Compress(make([]byte, maxTextSize+1))
	require.NoError(t, err)
	require.Less(t, len(tooLarge), maxTextSize/100)
	_, err = Decompress(tooLarge)
	require.Error(t, err)
}

// Any input is either an error or decompresses to a text that survives another round trip.
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
		compressed, err := Compress(text)
		require.NoError(t, err)
		decompressed, err := Decompress(compressed)
		require.NoError(t, err)
		require.Equal(t, string(text), string(decompressed))
	})
}
