package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// FuzzPart guards against panics on malformed parts and against accepting invalid documents. The manifest is made to
// match the part, so that decoding is reached. Accepted documents must survive another Split and Assemble.
func FuzzPart(f *testing.F) {
	_, parts, err := config.Split(newDocument(1, 2, 1))
	if err != nil {
		f.Fatal(err)
	}
	for _, p := range parts {
		f.Add(p)
	}
	f.Add([]byte(`[{"service":{"name":"a"}},{"caller":{"key_sha256":"00"}},{}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		sum := sha256.Sum256(data)
		hash := hex.EncodeToString(sum[:])
		key := config.KeyPartPrefix + hash[:32]
		m := config.Manifest{Version: config.Version{Number: 1}, Parts: []config.PartRef{{Key: key, SHA256: hash, Bytes: len(data)}}}
		if d, err := config.Assemble(m, map[string][]byte{key: data}); err == nil {
			config.NewIndex(d).CallerByKey("key")
		}
		var a config.Acceptor
		d, decision, err := a.OfferDocument(m, map[string][]byte{key: data})
		if (decision == config.Accepted) != (err == nil) {
			t.Fatalf("%s with error %v", decision, err)
		}
		if decision != config.Accepted {
			return
		}
		m2, parts2, err := config.Split(d)
		if err != nil || d.Validate() != nil {
			t.Fatalf("accepted document: %v, %v", err, d.Validate())
		}
		if _, err := config.Assemble(m2, parts2); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzManifestAndCatalogue guards against panics in the decoders and against accepting invalid values.
func FuzzManifestAndCatalogue(f *testing.F) {
	f.Add([]byte(`{"version":{"epoch":1,"number":2},"parts":[{"key":"medlarshunt/parts/x","sha256":"y","bytes":3}]}`))
	f.Add([]byte(`{"version":{"number":1},"groups":[{"group":"g","versions":[{"index":1,"map":1}],"maps":[{"version":1,"assignments":[{"service":"s","range":{"from":0,"to":9}}]}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := config.DecodeManifest(data); err == nil && m.Validate() != nil {
			t.Fatal("decoded an invalid manifest")
		}
		var a config.Acceptor
		if c, decision, _ := a.OfferCatalogue(data); decision == config.Accepted && c.Validate() != nil {
			t.Fatal("accepted an invalid catalogue")
		}
	})
}
