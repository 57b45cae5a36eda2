package fleet

import (
	"fmt"
	"time"
)

// A Span is a length of time in a file, written as "20ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`%q is no length of time (write one as "20ms")`, text)
	}
	*s = Duration(d)
	return nil
}
