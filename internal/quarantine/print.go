package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
)

// A Print is the fingerprint of a request: requests of one account with one method, place
// and body are alike and have the same. It is text, as it stands in logs and messages.
type Fingerprint string

// printSize is the size of a fingerprint in bytes: nobody finds two requests that share one.
// A caller that could would have another account's requests held back for its own.
const printSize = 16

// A Likeness is what a fingerprint is made of.
type FingerprintInput struct {
	// Account is the client account, or "" where a route needs none.
	Account string
	Method  string
	// Place is where the request goes, as the caller wrote it, its query included: a
	// host and path, or an event and path.
	Destination string
	Body        []byte
}

// Print returns the fingerprint.
func (l FingerprintInput) Fingerprint() Fingerprint {
	h := sha256.New()
	// Lengths stand before texts, or one could be moved into the next.
	for _, text := range []string{l.Account, l.Method, l.Destination} {
		writeText(h, text)
	}
	_, _ = h.Write(l.Body) // a hash never fails to take bytes
	return Fingerprint(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:printSize]))
}

func writeText(h hash.Hash, text string) {
	_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(text))))
	_, _ = io.WriteString(h, text) // a hash never fails to take bytes
}
