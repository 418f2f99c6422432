package node

import "github.com/medlarshunt/medlarshunt/internal/config"

// configChecker implements configsync.Checker with the rules of package config. Its assembler is not safe for concurrent
// use; the store of package configsync calls Document while it holds its lock.
type configChecker struct{ assembler config.Assembler }

// Manifest implements configsync.Checker.
func (*configChecker) Manifest(data []byte) (config.Manifest, error) {
	return config.DecodeManifest(data)
}

// Hash implements configsync.Checker.
func (*configChecker) Hash(m config.Manifest) string { return m.Hash() }

// Document implements configsync.Checker.
func (c *configChecker) Document(m config.Manifest, values map[string][]byte) (config.Document, error) {
	d, err := c.assembler.Assemble(m, values)
	if err != nil {
		return d, err
	}
	return d, d.Validate()
}

// Catalogue implements configsync.Checker.
func (*configChecker) Catalogue(data []byte) (config.Catalogue, error) {
	c, err := config.DecodeCatalogue(data)
	if err != nil {
		return c, err
	}
	return c, c.Validate()
}
