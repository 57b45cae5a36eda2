package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// A DictionaryCodec compresses short, similar texts with DEFLATE and a preset dictionary. A part of
// a text that also occurs in the dictionary takes almost no space. Both ends must use the same
// dictionary. Set Dictionary before calling the methods.
type DictionaryCodec struct {
	Dictionary []byte

	writerPool, readerPool sync.Pool
}

// Compress returns a compressed text.
func (s *DictionaryCodec) Compress(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, ok := s.writerPool.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriterDict(nil, flate.DefaultCompression, s.Dictionary); err != nil {
			return nil, fmt.Errorf("compress a text with a dictionary: %w", err)
		}
	}
	w.Reset(&compressed)
	if err := compressAll(w, text); err != nil {
		return nil, err
	}
	s.writerPool.Put(w)
	return compressed.Bytes(), nil
}

// Decompress returns the text that Compress was given. It fails if the data are damaged or the text
// is larger than 64 MiB.
func (s *DictionaryCodec) Decompress(data []byte) ([]byte, error) {
	source := bytes.NewReader(data)
	r, ok := s.readerPool.Get().(io.Reader)
	if !ok {
		r = flate.NewReaderDict(source, s.Dictionary)
	} else if resetter, ok := r.(flate.Resetter); ok {
		if err := resetter.Reset(source, s.Dictionary); err != nil {
			return nil, fmt.Errorf("decompress a text with a dictionary: %w", err)
		}
	}
	text, err := readBounded(r)
	if err != nil {
		return nil, err
	}
	s.readerPool.Put(r)
	return text, nil
}
