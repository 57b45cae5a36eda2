package peerlink

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

// MaxBytes is the size of a datagram that no common network splits.
const MaxBytes = 1200

const macBytes = 16

var (
	errTooLong = errors.New("the IDs and names of a stream exceed a datagram (use shorter ones)")
	errForged  = errors.New("a datagram does not prove the fleet's secret (give all routers the same)")
)

// Seal returns a datagram that begins with a proof that the sender has the secret.
func Seal(text, secret []byte) ([]byte, error) {
	if macBytes+len(text) > MaxBytes {
		return nil, errTooLong
	}
	return append(mac(text, secret), text...), nil
}

// Open returns the text of a datagram from Seal. It fails if the sender does not have the secret.
func Open(data, secret []byte) ([]byte, error) {
	if len(data) < macBytes || !hmac.Equal(data[:macBytes], mac(data[macBytes:], secret)) {
		return nil, errForged
	}
	return data[macBytes:], nil
}

func mac(text, secret []byte) []byte {
	hash := hmac.New(sha256.New, secret)
	_, _ = hash.Write(text) // a hash never returns an error
	return hash.Sum(nil)[:macBytes]
}
