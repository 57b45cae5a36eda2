package message

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash that identifies an ordered list. A router reports the digest of the list
// that it has, so that an unchanged list is not sent again. The result is never 0, which means
// that there is no list.
func Digest(list []string) uint32 {
	return max(uint32(xxhash.Sum64String(strings.Join(list, "\n"))), 1)
}
