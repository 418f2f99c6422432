package fleet

import (
	"crypto/sha256"
	"encoding/hex"
)

// Keys of the demo deployment. Real deployments publish only hashes of keys that the callers generated.
const (
	DemoKey      = "demo-caller-key"
	DemoAdminKey = "demo-admin-key"
)

// HashKey returns the hash of a key as it is published, in lower-case hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
