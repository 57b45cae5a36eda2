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

// chunks reads a text in pieces of given sizes, and then ends with an error.
type chunks struct {
	text  string
	sizes []int
	end   error
}

// Read implements io.Reader.
func (c *chunks) Read(b []byte) (int, error) {
	if c.text == "" {
		return 0, c.end
	}
	size := len(c.text)
	if len(c.sizes) > 0 {
		size = min(size, c.sizes[0])
		c.sizes = c.sizes[1:]
	}
	n := copy(b, c.text[:size])
	c.text = c.text[n:]
	return n, nil
}

var errCut = errors.New("cut")

// TestEventsAreWholeHoweverTheyCome checks that every piece ends with an event,
// that nothing is lost or doubled, and that the rest of a cut stream is told from
// whole events.
func TestEventsAreWholeHoweverTheyCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		for i := range rapid.IntRange(0, 30).Draw(t, "events") {
			data := strings.Repeat("x", rapid.IntRange(0, 2000).Draw(t, "size"))
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
		}
		partial := rapid.SampledFrom([]string{"", "id: 99\ndata: pie", "d"}).Draw(t, "partial")
		end := rapid.SampledFrom([]error{io.EOF, errCut}).Draw(t, "end")
		sizes := rapid.SliceOf(rapid.IntRange(1, 5000)).Draw(t, "sizes")
		e := eventReader{source: &chunks{text: text + partial, sizes: sizes, end: end}}
		var got strings.Builder
		for {
			piece, err := e.next()
			if err != nil {
				require.ErrorIs(t, err, end)
				require.Equal(t, partial, string(piece))
				break
			}
			require.True(t, strings.HasSuffix(string(piece), "\n\n"))
			got.Write(piece)
		}
		require.Equal(t, text, got.String())
	})
}

func TestLastID(t *testing.T) {
	require.Equal(t, "8", lastEventID([]byte("id: 7\ndata: a\n\nid:8\ndata: id: 9\n\ndata: b\n\n")))
	require.Empty(t, lastEventID([]byte("data: a\n\n")))
	require.Empty(t, lastEventID(nil))
}
