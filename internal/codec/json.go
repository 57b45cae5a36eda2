package codec

import (
	"encoding/json"
	"fmt"
)

// CompressJSON returns a value as compressed JSON.
func CompressJSON[T any](value T) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode a value as JSON: %w", err)
	}
	return Compress(text)
}

// DecompressJSON returns the value that compressed JSON encodes.
func DecompressJSON[T any](data []byte) (T, error) {
	var value T
	text, err := Decompress(data)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(text, &value); err != nil {
		return value, fmt.Errorf("decode a value from JSON (another version encoded it): %w", err)
	}
	return value, nil
}
