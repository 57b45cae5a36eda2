package codec

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestASampleGivesEveryByteBack(t *testing.T) {
	s := &DictionaryCodec{Dictionary: []byte(`{"account":"","rate":0}`)}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		data, err := s.Compress(text)
		require.NoError(t, err)
		again, err := s.Decompress(data)
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
		_, err = s.Decompress(data[:len(data)-1])
		require.Error(t, err, "what is cut is no text")
	})
}
