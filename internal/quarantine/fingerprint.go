package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
	"strconv"
	"strings"
	"time"
)

// A Fingerprint identifies what requests have in common: identical requests, by their account,
// method, destination and body, or requests whose prompts share a part. It is the text that logs and
// messages show.
type Fingerprint string

// partPrefix begins the fingerprints of parts of prompts. The encoding of other fingerprints has no
// slash.
const partPrefix = "part/"

// MinPartRunTime is how long a target must have written an answer to count as one that no part of the
// prompt terminates. A target that terminates under a part does so soon after it begins to answer.
const MinPartRunTime = time.Second

// PartFingerprint returns the fingerprint of the requests to a pool whose prompts share a part.
func PartFingerprint(pool string, partID uint64) Fingerprint {
	return Fingerprint(partPrefix + pool + "/" + strconv.FormatUint(partID, 16))
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool {
	return strings.HasPrefix(string(f), partPrefix)
}

// fingerprintBytes is the size of a fingerprint before its encoding as text. It is large enough
// that collisions cannot be constructed: with a collision, a caller could get requests of
// another account quarantined.
const fingerprintBytes = 16

// A FingerprintInput has the parts of a request that its fingerprint depends on.
type FingerprintInput struct {
	// Account is the client account, or "" if the route requires none.
	Account string
	Method  string
	// Destination is the host and path, or the event and path, as the caller wrote it, including
	// the query.
	Destination string
	Body        []byte
}

// Fingerprint returns the fingerprint of the request.
func (i FingerprintInput) Fingerprint() Fingerprint {
	h := sha256.New()
	// Length prefixes ensure that moving text from one field to the next changes the hash.
	for _, text := range []string{i.Account, i.Method, i.Destination} {
		writeLengthPrefixed(h, text)
	}
	_, _ = h.Write(i.Body) // writing to a hash never fails
	return Fingerprint(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

func writeLengthPrefixed(h hash.Hash, text string) {
	_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(text))))
	_, _ = io.WriteString(h, text) // writing to a hash never fails
}
