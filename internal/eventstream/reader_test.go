package eventstream

import (
	"errors"
	"fmt"
	"io"
	"slices"
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

// readAll returns what a reader returns until its error.
func readAll(reader *Reader) (string, error) {
	var got strings.Builder
	for {
		events, err := reader.Next()
		got.Write(events)
		if err != nil {
			return got.String(), err
		}
	}
}

// TestReadsWholeEvents checks that every chunk ends with a whole event, that no bytes are lost or
// repeated, and that the rest of a stream that ended inside an event is dropped and reported.
func TestReadsWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		text, ends := "", map[int]bool{}
		for i := range rapid.IntRange(0, 30).Draw(t, "events") {
			data := strings.Repeat("x", rapid.IntRange(0, 2000).Draw(t, "size"))
			text += fmt.Sprintf("id: %d%sdata: %s%s%s", i, lineEnd, data, lineEnd, lineEnd)
			ends[len(text)] = true
			if lineEnd == "\r\n" {
				ends[len(text)-1] = true // the line feed may follow
			}
		}
		partial := rapid.SampledFrom([]string{"", "id: 99" + lineEnd + "data: pie", "d", "data: x" + lineEnd, ": com"}).Draw(t, "partial")
		endErr := rapid.SampledFrom([]error{io.EOF, errInterrupted}).Draw(t, "end")
		sizes := rapid.SliceOf(rapid.IntRange(1, 5000)).Draw(t, "sizes")
		reader := &Reader{Source: &chunkedReader{text: text + partial, sizes: sizes, endErr: endErr}, MaxEventBytes: 1 << 20}
		got := ""
		for {
			events, err := reader.Next()
			if err == nil {
				got += string(events)
				require.True(t, ends[len(got)], "ends inside an event: %q", events)
				continue
			}
			require.Empty(t, events)
			if truncated := (TruncatedError{}); errors.Is(endErr, io.EOF) && partial != "" {
				require.ErrorAs(t, err, &truncated)
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.NotErrorIs(t, err, io.EOF)
				require.Equal(t, len(partial), truncated.Rest)
			} else {
				require.Equal(t, endErr, err)
			}
			break
		}
		require.Equal(t, text, got)
	})
}

func TestReaderFindsEndsOfEvents(t *testing.T) {
	for name, tc := range map[string]struct {
		text, events, lastID string
	}{
		"empty":                          {},
		"last ID":                        {text: "id: 7\ndata: a\n\nid:8\ndata: id: 9\n\ndata: b\n\n", events: "id: 7\ndata: a\n\nid:8\ndata: id: 9\n\ndata: b\n\n", lastID: "8"},
		"ID of an incomplete event":      {text: "id: 7\n\nid: 8\n", events: "id: 7\n\n", lastID: "7"},
		"no ID":                          {text: "data: a\n\n", events: "data: a\n\n"},
		"reset ID":                       {text: "id: 7\n\nid\n\n", events: "id: 7\n\nid\n\n"},
		"ID with a NUL":                  {text: "id: 7\n\nid: \x00\n\n", events: "id: 7\n\nid: \x00\n\n", lastID: "7"},
		"carriage returns":               {text: "id: 7\rdata: a\r\rid: 8\r", events: "id: 7\rdata: a\r\r", lastID: "7"},
		"mixed line ends":                {text: "id: 7\r\ndata: a\n\r\nid: 8\r", events: "id: 7\r\ndata: a\n\r\n", lastID: "7"},
		"comment":                        {text: ": ping\n", events: ": ping\n"},
		"incomplete comment":             {text: "id: 7\n\n: pi", events: "id: 7\n\n", lastID: "7"},
		"comment in an event":            {text: "id: 7\n: ping\n", events: ""},
		"comment with a carriage return": {text: ": ping\r\n", events: ": ping\r\n"},
		"blank lines":                    {text: "\n\n\r\r\n", events: "\n\n\r\r\n"},
		"byte order mark":                {text: "\ufeffid: 7\n\n", events: "\ufeffid: 7\n\n", lastID: "7"},
	} {
		for size := 1; size <= len(tc.text)+1; size++ {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				reader := &Reader{Source: &chunkedReader{text: tc.text, sizes: slices.Repeat([]int{size}, len(tc.text)), endErr: io.EOF}, MaxEventBytes: 1 << 20}
				events, err := readAll(reader)
				require.Equal(t, tc.events, events)
				require.Equal(t, tc.lastID, reader.LastID())
				require.Equal(t, tc.events == tc.text, err == io.EOF, "%v", err)
			})
		}
	}
}

func TestResumableAfterIdentifiedEvents(t *testing.T) {
	for text, want := range map[string]bool{
		"": true, ": ping\n\n": true, "retry: 10\n\n": true, "data: a\n\n": false, "id: 1\ndata: a\n\n": true,
		"id: 1\ndata: a\n\ndata: b\n\n": false, "data: a\n\nid: 1\n\n": true, "id: 1\ndata: a\n\nid\ndata: b\n\n": false,
		"id: 1\ndata: a\n\ndata: incomplete": true,
	} {
		reader := &Reader{Source: strings.NewReader(text), MaxEventBytes: 1 << 20}
		_, err := readAll(reader)
		require.Error(t, err)
		require.Equal(t, want, reader.Resumable(), "%q", text)
	}
}

func TestReaderReturnsWholeEventsByRead(t *testing.T) {
	reader := &Reader{Source: strings.NewReader("id: 1\n\nid: 2\n\nid: 3"), MaxEventBytes: 1 << 20}
	got, err := io.ReadAll(reader)
	require.ErrorAs(t, err, &TruncatedError{})
	require.Equal(t, "id: 1\n\nid: 2\n\n", string(got))
}

func TestIsEventStream(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "": false, "application/json": false, "text/event-streams": false,
	} {
		require.Equal(t, want, IsEventStream(contentType, ""), contentType)
		require.False(t, IsEventStream(contentType, "gzip"), "its events cannot be read")
	}
}
