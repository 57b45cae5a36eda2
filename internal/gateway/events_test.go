package gateway

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// chunkedReader reads a text in chunks of the given sizes, and then returns an error.
type chunkedReader struct {
	text   string
	sizes  []int
	endErr error
}

// Read implements io.Reader.
func (r *chunkedReader) Read(buffer []byte) (int, error) {
	if r.text == "" {
		return 0, r.endErr
	}
	size := len(r.text)
	if len(r.sizes) > 0 {
		size = min(size, r.sizes[0])
		r.sizes = r.sizes[1:]
	}
	n := copy(buffer, r.text[:size])
	r.text = r.text[n:]
	return n, nil
}

var errInterrupted = errors.New("cut")

// TestReadsCompleteEvents checks that every chunk ends with a complete event, that no bytes are
// lost or repeated, and that the incomplete rest of an interrupted stream is returned separately.
func TestReadsCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		for i := range rapid.IntRange(0, 30).Draw(t, "events") {
			data := strings.Repeat("x", rapid.IntRange(0, 2000).Draw(t, "size"))
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
		}
		partial := rapid.SampledFrom([]string{"", "id: 99\ndata: pie", "d"}).Draw(t, "partial")
		endErr := rapid.SampledFrom([]error{io.EOF, errInterrupted}).Draw(t, "end")
		sizes := rapid.SliceOf(rapid.IntRange(1, 5000)).Draw(t, "sizes")
		events := eventReader{source: &chunkedReader{text: text + partial, sizes: sizes, endErr: endErr}}
		var got strings.Builder
		for {
			chunk, err := events.next()
			if err != nil {
				require.ErrorIs(t, err, endErr)
				require.Equal(t, partial, string(chunk))
				break
			}
			require.True(t, strings.HasSuffix(string(chunk), "\n\n"))
			got.Write(chunk)
		}
		require.Equal(t, text, got.String())
	})
}

func TestLastEventID(t *testing.T) {
	require.Equal(t, "8", lastEventID([]byte("id: 7\ndata: a\n\nid:8\ndata: id: 9\n\ndata: b\n\n")))
	require.Empty(t, lastEventID([]byte("data: a\n\n")))
	require.Empty(t, lastEventID(nil))
}
