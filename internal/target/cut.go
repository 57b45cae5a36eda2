package target

import (
	"errors"
	"io"
	"syscall"
)

// IsConnClosed reports whether an exchange ended because the target closed or reset its connection,
// as one that ends does. Silence is no such sign, nor is an answer that cannot be read.
func IsConnClosed(err error) bool {
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, ErrTruncated, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}
