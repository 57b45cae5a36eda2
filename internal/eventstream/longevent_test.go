package eventstream

import (
	"errors"
	"io"
	"slices"
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
	const maxEventBytes = 1 << 20
	source := &endlessReader{}
	reader := &Reader{Source: io.MultiReader(strings.NewReader("id: 1\n\nid: 2\ndata: "), source), MaxEventBytes: maxEventBytes}
	events, err := reader.Next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\n\n", string(events))
	events, err = reader.Next()
	require.ErrorIs(t, err, ErrEventTooLong)
	require.Empty(t, events, "an incomplete event is not returned")
	require.Less(t, source.bytesRead, 2*maxEventBytes)
}

// FuzzEvents checks for any stream and any sizes of reads that whole events come first, that all bytes
// come once, that the ID of the last event fits into a header, and that the sizes change nothing.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", uint16(3), true)
	f.Add("\n\n\n\n\n", uint16(1), false)
	f.Add("id: \xff\r\x00\n\nid:", uint16(2), true)
	f.Fuzz(func(t *testing.T, text string, rawSize uint16, complete bool) {
		endErr := io.EOF
		if !complete {
			endErr = errInterrupted
		}
		sizes := slices.Repeat([]int{int(rawSize)%97 + 1}, len(text))
		reader := &Reader{Source: &chunkedReader{text: text, sizes: sizes, endErr: endErr}, MaxEventBytes: 1 << 20}
		got, err := readAll(reader)
		require.NotContains(t, reader.LastID(), "\n")
		require.NotContains(t, reader.LastID(), "\r")
		require.True(t, strings.HasPrefix(text, got))
		if complete {
			var truncated TruncatedError
			require.Equal(t, got != text, errors.As(err, &truncated))
			require.Equal(t, len(text), len(got)+truncated.Rest)
		} else {
			require.ErrorIs(t, err, endErr)
		}
		unsplit := &Reader{Source: &chunkedReader{text: text, endErr: endErr}, MaxEventBytes: 1 << 20}
		want, _ := readAll(unsplit)
		require.Equal(t, want, got)
		require.Equal(t, unsplit.LastID(), reader.LastID())
	})
}
