package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessReader returns bytes without end and counts them.
type endlessReader struct{ bytesRead int }

// Read implements io.Reader.
func (r *endlessReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'x'
	}
	r.bytesRead += len(buffer)
	if r.bytesRead > 64<<20 {
		return 0, errors.New("reader is not bounded")
	}
	return len(buffer), nil
}

// Guards against unbounded memory use when a target streams bytes that never end an event. Events
// are buffered until they are complete.
func TestRejectsEndlessEvent(t *testing.T) {
	source := &endlessReader{}
	events := eventReader{source: io.MultiReader(strings.NewReader("id: 1\n\nid: 2\ndata: "), source)}
	chunk, err := events.next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\n\n", string(chunk))
	chunk, err = events.next()
	require.ErrorIs(t, err, errEventTooLong)
	require.Empty(t, chunk, "an incomplete event is not returned")
	require.Less(t, source.bytesRead, 2*maxEventBytes)
}

// FuzzEvents checks for any stream and any sizes of reads that complete events come first, that all
// bytes come once, and that the ID of the last event fits into a header.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", uint16(3), true)
	f.Add("\n\n\n\n\n", uint16(1), false)
	f.Add("id: \xff\r\x00\n\nid:", uint16(2), true)
	f.Fuzz(func(t *testing.T, text string, rawSize uint16, complete bool) {
		endErr := io.EOF
		if !complete {
			endErr = errInterrupted
		}
		sizes := make([]int, 0, len(text))
		for readSize := int(rawSize)%97 + 1; len(sizes) < cap(sizes); {
			sizes = append(sizes, readSize)
		}
		events := eventReader{source: &chunkedReader{text: text, sizes: sizes, endErr: endErr}}
		var got strings.Builder
		for {
			chunk, err := events.next()
			require.NotContains(t, lastEventID(chunk), "\n")
			got.Write(chunk)
			if err != nil {
				require.ErrorIs(t, err, endErr)
				require.NotContains(t, string(chunk), "\n\n")
				break
			}
			require.True(t, strings.HasSuffix(string(chunk), "\n\n"))
		}
		require.Equal(t, text, got.String())
	})
}
