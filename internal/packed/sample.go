package packed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// A Sample packs short texts that look alike. What stands in its text takes next to nothing in
// theirs. Both ends must have the same; set Text, then call the methods.
type Sample struct {
	Text []byte

	writers, readers sync.Pool
}

// Pack returns a text in its packed form.
func (s *Sample) Pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, ok := s.writers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriterDict(nil, flate.DefaultCompression, s.Text); err != nil {
			return nil, fmt.Errorf("pack a short text: %w", err)
		}
	}
	w.Reset(&b)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("pack a short text: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack a short text: %w", err)
	}
	s.writers.Put(w)
	return b.Bytes(), nil
}

// Unpack returns the text of a packed form, byte by byte as it was.
func (s *Sample) Unpack(data []byte) ([]byte, error) {
	r, ok := s.readers.Get().(io.ReadCloser)
	if !ok {
		r = flate.NewReaderDict(bytes.NewReader(nil), s.Text)
	}
	resetter, ok := r.(flate.Resetter)
	if !ok {
		return nil, fmt.Errorf("unpack a short text: %T cannot be used again", r)
	}
	if err := resetter.Reset(bytes.NewReader(data), s.Text); err != nil {
		return nil, fmt.Errorf("unpack a short text: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxText+1))
	if err != nil {
		return nil, fmt.Errorf("unpack a short text (it was damaged, or packed by another version): %w", err)
	}
	if len(text) > maxText {
		return nil, fmt.Errorf("unpack a short text: it has more than %d bytes (it was damaged, or is none of ours)", maxText)
	}
	s.readers.Put(r)
	return text, nil
}
