package codec

import (
	"encoding/json"
	"fmt"
)

// PackJSON returns a value as packed JSON.
func CompressJSON[T any](value T) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("pack a value: %w", err)
	}
	return Compress(text)
}

// UnpackJSON returns the value of packed JSON.
func DecompressJSON[T any](data []byte) (T, error) {
	var value T
	text, err := Decompress(data)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(text, &value); err != nil {
		return value, fmt.Errorf("unpack a value (it was packed by another version): %w", err)
	}
	return value, nil
}
