package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// A Sample packs short texts that look alike. What stands in its text takes next to nothing in
// theirs. Both ends must have the same; set Text, then call the methods.
type DictionaryCodec struct {
	Dictionary []byte

	writers, readers sync.Pool
}

// Pack returns a text in its packed form.
func (s *DictionaryCodec) Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, ok := s.writers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriterDict(nil, flate.DefaultCompression, s.Dictionary); err != nil {
			return nil, fmt.Errorf("pack a short text: %w", err)
		}
	}
	w.Reset(&b)
	if err := write(w, text); err != nil {
		return nil, err
	}
	s.writers.Put(w)
	return b.Bytes(), nil
}

// Unpack returns the text of a packed form, byte by byte as it was.
func (s *DictionaryCodec) Decompress(data []byte) ([]byte, error) {
	source := bytes.NewReader(data)
	r, ok := s.readers.Get().(io.Reader)
	if !ok {
		r = flate.NewReaderDict(source, s.Dictionary)
	} else if again, ok := r.(flate.Resetter); ok {
		if err := again.Reset(source, s.Dictionary); err != nil {
			return nil, fmt.Errorf("unpack a text (it was damaged): %w", err)
		}
	}
	text, err := readBounded(r)
	if err != nil {
		return nil, err
	}
	s.readers.Put(r)
	return text, nil
}
