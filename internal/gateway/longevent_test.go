package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// xs are bytes without end. It counts what is read.
type xs struct{ read int }

// Read implements io.Reader.
func (x *xs) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	x.read += len(b)
	if x.read > 64<<20 {
		return 0, errors.New("nobody bounds this")
	}
	return len(b), nil
}

// Symptom: a router grows until it is killed.
// Sequence: a target streams bytes without the end of an event.
// Cause: events are passed on whole, so what comes is held until the event ends.
func TestAnEventWithoutEndBreaksTheStream(t *testing.T) {
	source := &xs{}
	e := eventReader{source: io.MultiReader(strings.NewReader("id: 1\n\nid: 2\ndata: "), source)}
	piece, err := e.next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\n\n", string(piece))
	piece, err = e.next()
	require.ErrorIs(t, err, errEventTooLong)
	require.Empty(t, piece, "what is no whole event reaches no caller")
	require.Less(t, source.read, 2*maxEventBytes)
}

// Whatever a target streams, however it is cut: whole events come first, all bytes come
// once, and the ID of the last one fits in a header.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", uint16(3), true)
	f.Add("\n\n\n\n\n", uint16(1), false)
	f.Add("id: \xff\r\x00\n\nid:", uint16(2), true)
	f.Fuzz(func(t *testing.T, text string, size uint16, whole bool) {
		end := io.EOF
		if !whole {
			end = errCut
		}
		sizes := make([]int, 0, len(text))
		for n := int(size)%97 + 1; len(sizes) < cap(sizes); {
			sizes = append(sizes, n)
		}
		e := eventReader{source: &chunks{text: text, sizes: sizes, end: end}}
		var got strings.Builder
		for {
			piece, err := e.next()
			require.NotContains(t, lastEventID(piece), "\n")
			got.Write(piece)
			if err != nil {
				require.ErrorIs(t, err, end)
				require.NotContains(t, string(piece), "\n\n")
				break
			}
			require.True(t, strings.HasSuffix(string(piece), "\n\n"))
		}
		require.Equal(t, text, got.String())
	})
}
