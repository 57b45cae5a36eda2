package message

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest names a list in its order, so that it is sent only to those that hold another one. It
// is never 0, which names none.
func Digest(list []string) uint32 {
	return max(uint32(xxhash.Sum64String(strings.Join(list, "\n"))), 1)
}
