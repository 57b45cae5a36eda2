package fleet

import (
	"fmt"
	"time"
)

// A Duration is a time.Duration that files write as text, such as "20ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`%q is not a duration (write one such as "20ms")`, text)
	}
	*d = Duration(duration)
	return nil
}
