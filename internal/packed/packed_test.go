package packed

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestUnpackGivesEveryByteBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		data, err := Pack(text)
		require.NoError(t, err)
		again, err := Unpack(data)
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
		if len(data) > 0 {
			_, err = Unpack(data[:len(data)-1])
			require.Error(t, err, "what is cut is no text")
		}
	})
}

func TestPackedRoutesAreATenth(t *testing.T) {
	text := strings.Repeat(`{"name":"r-vtdhbjp","hostname":"ficu95.example","path_prefix":"/pufi791/","service":"huvo11a"},`, 400)
	data, err := Pack([]byte(text))
	require.NoError(t, err)
	require.Less(t, len(data), len(text)/10)
}
