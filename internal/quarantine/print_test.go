package quarantine_test

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/quarantine"
)

func TestWhatIsAlike(t *testing.T) {
	one := quarantine.FingerprintInput{Account: "regina", Method: "POST", Destination: "h/x/1?y", Body: []byte("text")}
	require.Equal(t, one.Fingerprint(), one.Fingerprint())
	for name, other := range map[string]quarantine.FingerprintInput{
		"account": {Account: "brandon", Method: one.Method, Destination: one.Destination, Body: one.Body},
		"method":  {Account: one.Account, Method: "GET", Destination: one.Destination, Body: one.Body},
		"place":   {Account: one.Account, Method: one.Method, Destination: "h/x/1?z", Body: one.Body},
		"body":    {Account: one.Account, Method: one.Method, Destination: one.Destination, Body: []byte("texts")},
		"moved":   {Account: one.Account, Method: one.Method, Destination: one.Destination + "te", Body: []byte("xt")},
	} {
		require.NotEqual(t, one.Fingerprint(), other.Fingerprint(), name)
	}
}

// What a fingerprint costs, by the length of a body, beside a hash that anybody can find two
// equal texts for.
func BenchmarkPrint(b *testing.B) {
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
