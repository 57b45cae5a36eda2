package quarantine_test

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/quarantine"
)

func TestFingerprintDependsOnEachField(t *testing.T) {
	input := quarantine.FingerprintInput{Account: "regina", Method: "POST", Destination: "h/x/1?y", Body: []byte("text")}
	require.Equal(t, input.Fingerprint(), input.Fingerprint())
	for name, other := range map[string]quarantine.FingerprintInput{
		"account": {Account: "brandon", Method: input.Method, Destination: input.Destination, Body: input.Body},
		"method":  {Account: input.Account, Method: "GET", Destination: input.Destination, Body: input.Body},
		"place":   {Account: input.Account, Method: input.Method, Destination: "h/x/1?z", Body: input.Body},
		"body":    {Account: input.Account, Method: input.Method, Destination: input.Destination, Body: []byte("texts")},
		"moved":   {Account: input.Account, Method: input.Method, Destination: input.Destination + "te", Body: []byte("xt")},
	} {
		require.NotEqual(t, input.Fingerprint(), other.Fingerprint(), name)
	}
}

// Measures a fingerprint by body length, and compares it with SHA-256 and with xxHash, for which
// collisions can be constructed.
func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"200B": 200, "16KB": 16 << 10, "4MB": 4 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run("print/"+name, func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				quarantine.FingerprintInput{Account: "regina", Method: "POST", Destination: "h.example/x/1", Body: body}.Fingerprint()
			}
		})
		b.Run("sha256/"+name, func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				sha256.Sum256(body)
			}
		})
		b.Run("xxhash/"+name, func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				xxhash.Sum64(body)
			}
		})
	}
}
