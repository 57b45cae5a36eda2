// Package codec holds the form in which configurations of routes are kept and
// sent between processes. They are text that repeats itself: packed, one is a
// tenth as long, and so are the log of the keepers, its way to each of them and
// to each router.
package codec

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxText bounds what a packed text may unpack to, in bytes.
const maxText = 64 << 20

// writers keeps writers for the next text: each allocates 1.2 MB, which is more than
// anything else that a keeper does several times a second.
var writers sync.Pool

// Pack returns a text in its packed form.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, ok := writers.Get().(*gzip.Writer)
	if !ok {
		var err error
		if w, err = gzip.NewWriterLevel(nil, gzip.BestSpeed); err != nil {
			return nil, fmt.Errorf("pack a text: %w", err)
		}
	}
	w.Reset(&b)
	if err := write(w, text); err != nil {
		return nil, err
	}
	writers.Put(w)
	return b.Bytes(), nil
}

// Unpack returns the text of a packed form, byte by byte as it was.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("unpack a text (it was damaged, or packed by another version): %w", err)
	}
	return readBounded(r)
}

// readBounded reads what was packed to its end.
func readBounded(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxText+1))
	if err != nil {
		return nil, fmt.Errorf("unpack a text (it was damaged, or packed by another version): %w", err)
	}
	if len(text) > maxText {
		return nil, fmt.Errorf("unpack a text: it has more than %d bytes (it was damaged, or is none of ours)", maxText)
	}
	return text, nil
}

// write packs a text to its end.
func write(w io.WriteCloser, text []byte) error {
	if _, err := w.Write(text); err != nil {
		return fmt.Errorf("pack a text: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("pack a text: %w", err)
	}
	return nil
}
