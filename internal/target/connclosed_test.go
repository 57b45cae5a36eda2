package target_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/target"
)

func TestIsConnClosed(t *testing.T) {
	for _, err := range []error{
		io.EOF, fmt.Errorf("read the response: %w", io.ErrUnexpectedEOF), target.ErrTruncated,
		&os.SyscallError{Syscall: "read", Err: syscall.ECONNRESET}, syscall.EPIPE,
	} {
		require.True(t, target.IsConnClosed(err), err)
	}
	for _, err := range []error{nil, os.ErrDeadlineExceeded, errors.New("malformed response"), syscall.ECONNREFUSED} {
		require.False(t, target.IsConnClosed(err), err)
	}
}
