// Package quarantine detects requests that crash targets, runs suspects in isolation and refuses confirmed ones. It
// does not read the clock: times are arguments.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies equal requests. It is a truncated SHA-256 hash: with a weaker hash, a caller could construct
// a request that puts another caller's request into quarantine.
type Fingerprint [16]byte

// FingerprintOf hashes group, kind and body. Each field is preceded by its length, so that moving bytes from one
// field to the next gives another fingerprint.
func FingerprintOf(group, kind string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(group), []byte(kind), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return Fingerprint(h.Sum(nil))
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return eris.Errorf("quarantine: fingerprint must have %d hexadecimal digits", 2*len(f))
	}
	copy(f[:], raw)
	return nil
}
