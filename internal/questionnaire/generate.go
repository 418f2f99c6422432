package questionnaire

import (
	"fmt"
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Published holds what operators publish: a document set and the catalogue.
type Published struct {
	Manifest  config.Manifest
	Parts     map[string][]byte
	Document  config.Document
	Catalogue config.Catalogue
}

// Options are the options of Generate.
type Options struct {
	// Previous is what is currently published, or nil before the first publication.
	Previous *Published
	// Epoch starts a new epoch when it is above the previous one; 0 keeps the previous one. Every version of a new epoch
	// supersedes all versions of the old one. It is meant for cases in which the last published number is not known.
	Epoch uint64
}

// EpochError reports that the requested epoch is below the published one, so that nodes would ignore the result.
type EpochError struct{ Asked, Published uint64 }

// Error implements the error interface.
func (e *EpochError) Error() string {
	return fmt.Sprintf("questionnaire: epoch %d is below the published epoch %d", e.Asked, e.Published)
}

// Generate builds the documents. It is deterministic: the same answers and previous documents give the same bytes. A
// document that does not change keeps its version. The error is of type Problems when a change is unsafe to publish in one
// step.
func Generate(set *Set, opts Options) (*Published, error) {
	b := build(set)
	previous := opts.Previous
	if previous == nil {
		previous = &Published{}
	}
	if problems := checkTransition(b, previous.Document); len(problems) > 0 {
		return nil, problems
	}
	p := &Published{Document: b.document, Catalogue: keepPublishedVersions(b, previous.Catalogue)}
	if err := p.chooseVersions(previous, opts.Epoch); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, eris.Wrap(err, "questionnaire: generate")
	}
	var err error
	if p.Manifest, p.Parts, err = config.Split(p.Document); err != nil {
		return nil, eris.Wrap(err, "questionnaire: generate")
	}
	return p, nil
}

// keepPublishedVersions returns the catalogue with the published versions of the groups whose answers have no index. Index
// versions are published more often than answers change, and old answers must not remove newer versions. A group without
// published versions gets its initial catalogue.
func keepPublishedVersions(b *builder, previous config.Catalogue) config.Catalogue {
	c := b.catalogue
	listed, missing := map[string]bool{}, map[string]bool{}
	for _, g := range c.Groups {
		listed[g.Group] = true
	}
	for _, g := range b.document.Groups {
		missing[g.Name] = !listed[g.Name]
	}
	for _, g := range previous.Groups {
		if missing[g.Group] {
			c.Groups = append(c.Groups, g)
			missing[g.Group] = false
		}
	}
	for _, g := range b.document.Groups {
		if missing[g.Name] {
			c.Groups = append(c.Groups, initialCatalogue(g))
		}
	}
	sort.Slice(c.Groups, func(i, j int) bool { return c.Groups[i].Group < c.Groups[j].Group })
	return c
}

// initialCatalogue returns the catalogue of a group that has not been published: index version 1 on partition map 1, which
// divides the key space evenly.
func initialCatalogue(g config.Group) config.GroupCatalogue {
	return config.GroupCatalogue{Group: g.Name, Versions: []config.IndexVersion{{Index: 1, Map: 1}},
		Maps: []config.PartitionMap{{Version: 1, Assignments: evenRanges(g.Services)}}}
}

// chooseVersions keeps the previous version of each document when nothing else in it differs, and sets the next version
// otherwise.
func (p *Published) chooseVersions(previous *Published, epoch uint64) error {
	published := max(previous.Manifest.Version.Epoch, previous.Catalogue.Version.Epoch)
	if epoch != 0 && epoch < published {
		return &EpochError{Asked: epoch, Published: published}
	}
	epoch = max(epoch, published, 1)
	m, _, err := config.Split(p.Document)
	if err != nil {
		return eris.Wrap(err, "questionnaire: generate")
	}
	p.Document.Version = nextVersion(previous.Manifest.Version, epoch, slices.Equal(m.Parts, previous.Manifest.Parts))

	p.Catalogue.Version = previous.Catalogue.Version
	nextData, err := config.EncodeCatalogue(p.Catalogue)
	if err != nil {
		return eris.Wrap(err, "questionnaire: generate")
	}
	previousData, err := config.EncodeCatalogue(previous.Catalogue)
	if err != nil {
		return eris.Wrap(err, "questionnaire: previous catalogue")
	}
	p.Catalogue.Version = nextVersion(previous.Catalogue.Version, epoch, string(nextData) == string(previousData))
	return nil
}

func nextVersion(v config.Version, epoch uint64, unchanged bool) config.Version {
	switch {
	case v.Epoch < epoch:
		return config.Version{Epoch: epoch, Number: 1}
	case unchanged:
		return v
	}
	return config.Version{Epoch: epoch, Number: v.Number + 1}
}

// validate checks the generated documents by the same rules as a node.
func (p *Published) validate() error {
	if err := p.Document.Validate(); err != nil {
		return err
	}
	if err := p.Catalogue.Validate(); err != nil {
		return err
	}
	return config.CheckCatalogue(p.Document, p.Catalogue)
}

// Values returns the encoded values to publish, by key.
func (p *Published) Values() (map[string][]byte, error) {
	manifest, err := config.EncodeManifest(p.Manifest)
	if err != nil {
		return nil, eris.Wrap(err, "questionnaire: encode")
	}
	catalogue, err := config.EncodeCatalogue(p.Catalogue)
	if err != nil {
		return nil, eris.Wrap(err, "questionnaire: encode")
	}
	values := map[string][]byte{config.KeyManifest: manifest, config.KeyCatalogue: catalogue}
	for key, data := range p.Parts {
		values[key] = data
	}
	return values, nil
}
