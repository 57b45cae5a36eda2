package target

import (
	"errors"
	"io"
	"syscall"
)

// IsConnClosed reports whether an exchange failed because the target closed or reset its
// connection, as a terminating target does. A timeout and a malformed response do not count.
func IsConnClosed(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, ErrTruncated, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
