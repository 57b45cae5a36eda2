// Package codec compresses configurations of routes and other data that processes store and send
// to each other. Configurations are repetitive text, which shrinks to a tenth, and so do the
// keepers' log and what is replicated to keepers and sent to routers.
package codec

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxTextSize bounds a decompressed text, in bytes.
const maxTextSize = 64 << 20

// gzipWriters holds writers for reuse. A new one allocates 1.2 MB, more than anything else that a
// keeper does several times per second.
var gzipWriters sync.Pool

// Compress returns a text compressed with gzip.
func Compress(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		var err error
		if w, err = gzip.NewWriterLevel(nil, gzip.BestSpeed); err != nil {
			return nil, fmt.Errorf("compress a text: %w", err)
		}
	}
	w.Reset(&compressed)
	if err := compressAll(w, text); err != nil {
		return nil, err
	}
	gzipWriters.Put(w)
	return compressed.Bytes(), nil
}

// Decompress returns the text that Compress was given. It fails if the data are damaged or the text
// is larger than 64 MiB.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress a text (it is damaged, or another version compressed it): %w", err)
	}
	return readBounded(r)
}

// readBounded reads a decompressed text to its end. It fails if the text is larger than maxTextSize.
func readBounded(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxTextSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress a text (it is damaged, or another version compressed it): %w", err)
	}
	if len(text) > maxTextSize {
		return nil, fmt.Errorf("decompress a text: it has more than %d bytes (it is damaged, or does not come from this program)", maxTextSize)
	}
	return text, nil
}

// compressAll writes a complete text to a compressing writer and closes it.
func compressAll(w io.WriteCloser, text []byte) error {
	if _, err := w.Write(text); err != nil {
		return fmt.Errorf("compress a text: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("compress a text: %w", err)
	}
	return nil
}
