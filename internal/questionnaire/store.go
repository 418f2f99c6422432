package questionnaire

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Permissions of written files and directories. All users may read them, because published values hold no secrets.
const (
	fileMode = 0o644
	dirMode  = 0o755
)

// KeysInPublicationOrder lists the keys in the order in which to publish them: a manifest comes after the parts that it names,
// and the catalogue after the services that it names.
func (p *Published) KeysInPublicationOrder() []string {
	keys := make([]string, 0, len(p.Parts)+2)
	for key := range p.Parts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return append(keys, config.KeyManifest, config.KeyCatalogue)
}

// WriteDir writes each value to the file named by its key under dir. It does not remove the parts of older document sets.
func (p *Published) WriteDir(dir string) error {
	values, err := p.Values()
	if err != nil {
		return err
	}
	for _, key := range p.KeysInPublicationOrder() {
		name := filepath.Join(dir, filepath.FromSlash(key))
		if err := os.MkdirAll(filepath.Dir(name), dirMode); err != nil {
			return eris.Wrap(err, "questionnaire: write documents")
		}
		if err := replaceFile(name, values[key]); err != nil {
			return eris.Wrapf(err, "questionnaire: write %s", key)
		}
	}
	return nil
}

// replaceFile writes a file in the same directory, with the suffix .next, and renames it to name, so that a reader never
// sees a partly written value.
func replaceFile(name string, data []byte) error {
	next := name + ".next"
	if err := os.WriteFile(next, data, fileMode); err != nil {
		return err
	}
	return os.Rename(next, name)
}

// ReadDir reads and verifies the documents that WriteDir wrote.
func ReadDir(dir fs.FS) (*Published, error) {
	data, err := fs.ReadFile(dir, config.KeyManifest)
	if err != nil {
		return nil, eris.Wrap(err, "questionnaire: read manifest")
	}
	p := &Published{Parts: map[string][]byte{}}
	if p.Manifest, err = config.DecodeManifest(data); err != nil {
		return nil, eris.Wrap(err, "questionnaire: previous manifest")
	}
	for _, ref := range p.Manifest.Parts {
		if p.Parts[ref.Key], err = fs.ReadFile(dir, path.Clean(ref.Key)); err != nil {
			return nil, eris.Wrap(err, "questionnaire: read part")
		}
	}
	if p.Document, err = config.Assemble(p.Manifest, p.Parts); err != nil {
		return nil, eris.Wrap(err, "questionnaire: previous parts")
	}
	if data, err = fs.ReadFile(dir, config.KeyCatalogue); err != nil {
		return nil, eris.Wrap(err, "questionnaire: read catalogue")
	}
	if p.Catalogue, err = config.DecodeCatalogue(data); err != nil {
		return nil, eris.Wrap(err, "questionnaire: previous catalogue")
	}
	return p, nil
}
