package codec

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDictionaryCodecRoundTrip(t *testing.T) {
	s := &DictionaryCodec{Dictionary: []byte(`{"account":"","rate":0}`)}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		compressed, err := s.Compress(text)
		require.NoError(t, err)
		decompressed, err := s.Decompress(compressed)
		require.NoError(t, err)
		require.Equal(t, string(text), string(decompressed))
		_, err = s.Decompress(compressed[:len(compressed)-1])
		require.Error(t, err, "truncated data are an error")
	})
}
