package configsync

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Checker decodes and validates published values by the rules of package config.
type Checker interface {
	Manifest(data []byte) (config.Manifest, error)
	// Hash identifies the content that a manifest names.
	Hash(m config.Manifest) string
	// Document assembles and validates a document set.
	Document(m config.Manifest, values map[string][]byte) (config.Document, error)
	Catalogue(data []byte) (config.Catalogue, error)
}

// Decision is the outcome of offering a version. The acceptance rule is that of config.Acceptor.
type Decision = config.Decision

// Decisions about an offered version.
const (
	Accepted    = config.Accepted
	Older       = config.Older
	Same        = config.Same
	Conflicting = config.Conflicting
	Invalid     = config.Invalid
	// Incomplete is an invalid offer whose only faults are missing or altered values, so that another read may succeed.
	Incomplete Decision = "incomplete"
)

// Current holds the document and the catalogue in force. Each is nil until one was accepted and must not be modified.
type Current struct {
	Document  *config.Document
	Catalogue *config.Catalogue
}

// acceptor is the acceptance state of the document set or the catalogue with the last rejection of an invalid version.
type acceptor struct {
	config.Acceptor
	rejection *Rejection // nil if there was none
}

// store holds the versions in force and their published bytes. mu guards all fields below it.
type store struct {
	checker Checker
	current atomic.Pointer[Current] // replaced under mu, read without it

	mu                panics.Mutex
	setAcceptor       acceptor
	catalogueAcceptor acceptor
	manifest          config.Manifest
	partValues        map[string][]byte // by content hash
	catalogueBytes    []byte
	machine           *statechart.Machine[statechart.ConfigState, statechart.ConfigEvent]
	behindSince       time.Time
}

func newStore(checker Checker, machine *statechart.Machine[statechart.ConfigState, statechart.ConfigEvent]) *store {
	return &store{checker: checker, machine: machine, partValues: map[string][]byte{}}
}

// offerSet offers a document set. values holds parts by key and may omit parts that are already held.
func (s *store) offerSet(m config.Manifest, values map[string][]byte) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateBehindSince()
	hash := s.checker.Hash(m)
	s.announceSet(m.Version)
	var document config.Document
	var merged map[string][]byte
	checked := false
	d, err := s.setAcceptor.Offer(m.Version, hash, func() (err error) {
		checked = true
		s.fireAnnounced()
		merged = s.mergeHeldParts(m, values)
		document, err = s.checker.Document(m, merged)
		return err
	})
	switch {
	case d == Accepted:
		s.acceptSet(m, merged, &document)
		return d, nil
	case d != Invalid:
		return d, nil
	case config.IsIncomplete(err) && checked:
		return Incomplete, &Error{Code: CodeIncompleteSet, Message: "document set is incomplete", Err: err}
	case checked:
		s.setAcceptor.rejection = &Rejection{Kind: KindConfiguration, Version: m.Version, At: time.Now(), Err: err, Document: &document}
		if !s.setAcceptor.Behind() {
			_, _ = s.machine.Fire(statechart.ConfigRejected)
		}
	}
	return Invalid, &Error{Code: CodeInvalidSet, Message: "document set is invalid", Err: err}
}

// mergeHeldParts returns the values of the manifest's parts by key: the given ones, completed by those already held.
func (s *store) mergeHeldParts(m config.Manifest, values map[string][]byte) map[string][]byte {
	merged := map[string][]byte{}
	for _, part := range m.Parts {
		if data, ok := values[part.Key]; ok {
			merged[part.Key] = data
		} else if data, ok := s.partValues[part.SHA256]; ok {
			merged[part.Key] = data
		}
	}
	return merged
}

// acceptSet puts a valid set in force.
func (s *store) acceptSet(m config.Manifest, values map[string][]byte, document *config.Document) {
	s.manifest = m
	s.partValues = map[string][]byte{}
	for _, part := range m.Parts {
		s.partValues[part.SHA256] = values[part.Key]
	}
	s.current.Store(&Current{Document: document, Catalogue: s.inForce().Catalogue})
	s.behindSince = time.Time{}
	_, _ = s.machine.Fire(statechart.ConfigAccepted)
	if s.setAcceptor.Behind() {
		s.fireAnnounced()
	}
}

// announceSet records that a document set version exists.
func (s *store) announceSet(v config.Version) {
	s.setAcceptor.Announce(v)
	if s.setAcceptor.Behind() {
		s.fireAnnounced()
	}
}

// fireAnnounced moves the state chart to a state in which a newer version is expected, unless it is in one.
func (s *store) fireAnnounced() {
	if state := s.machine.State(); state == statechart.ConfigNone || state == statechart.ConfigInForce {
		_, _ = s.machine.Fire(statechart.ConfigAnnounced)
	}
}

// offerCatalogue decodes and offers a published catalogue.
func (s *store) offerCatalogue(data []byte) (Decision, error) {
	catalogue, err := s.checker.Catalogue(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateBehindSince()
	if err != nil {
		if !catalogue.Version.IsZero() {
			s.catalogueAcceptor.Announce(catalogue.Version)
			_, _ = s.catalogueAcceptor.Offer(catalogue.Version, contentHash(data), func() error { return err })
		}
		s.catalogueAcceptor.rejection = &Rejection{Kind: KindCatalogue, Version: catalogue.Version, At: time.Now(), Err: err,
			Catalogue: &catalogue}
		return Invalid, &Error{Code: CodeInvalidSet, Message: "catalogue is invalid", Err: err}
	}
	s.catalogueAcceptor.Announce(catalogue.Version)
	d, err := s.catalogueAcceptor.Offer(catalogue.Version, contentHash(data), func() error { return nil })
	switch {
	case err != nil:
		return d, &Error{Code: CodeInvalidSet, Message: "catalogue is invalid", Err: err}
	case d != Accepted:
		return d, nil
	}
	s.catalogueBytes = data
	s.current.Store(&Current{Document: s.inForce().Document, Catalogue: &catalogue})
	s.behindSince = time.Time{}
	return Accepted, nil
}

// announce records versions that are known to exist, from peers or the platform.
func (s *store) announce(known membership.Versions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateBehindSince()
	s.announceSet(known.Config)
	s.catalogueAcceptor.Announce(known.Catalogue)
}

// updateBehindSince maintains the time since which a newer version has been known. An accepted version restarts it.
func (s *store) updateBehindSince() {
	switch {
	case !s.setAcceptor.Behind() && !s.catalogueAcceptor.Behind():
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
}

// status returns the versions in force, whether newer versions are known, and since when.
func (s *store) status() (held membership.Versions, behind bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldVersions(), s.setAcceptor.Behind() || s.catalogueAcceptor.Behind(), s.behindSince
}

// isBehind reports for the document set and the catalogue whether a newer version than the one in force is known.
func (s *store) isBehind() (set, catalogue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setAcceptor.Behind(), s.catalogueAcceptor.Behind()
}

func (s *store) heldVersions() membership.Versions {
	return membership.Versions{Config: s.setAcceptor.Version(), Catalogue: s.catalogueAcceptor.Version()}
}

// missingParts returns the parts of a manifest whose content is not held. It returns none if the set would be refused
// anyway.
func (s *store) missingParts(m config.Manifest) []config.PartRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, _ := s.setAcceptor.Decide(m.Version, s.checker.Hash(m)); d != Accepted {
		return nil
	}
	var parts []config.PartRef
	for _, part := range m.Parts {
		if _, ok := s.partValues[part.SHA256]; !ok {
			parts = append(parts, part)
		}
	}
	return parts
}

// fetchRequest returns the request that tells a peer what this node holds.
func (s *store) fetchRequest() Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Request{Held: s.heldVersions()}
	for _, part := range s.manifest.Parts {
		r.Parts = append(r.Parts, part.SHA256)
	}
	return r
}

// changesSince returns what the sender of the request lacks.
func (s *store) changesSince(r Request) Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o Offer
	if r.Held.Config.Less(s.setAcceptor.Version()) {
		have := map[string]bool{}
		for _, hash := range r.Parts {
			have[hash] = true
		}
		o.Manifest, o.Values = s.manifest, map[string][]byte{}
		for _, part := range s.manifest.Parts {
			if !have[part.SHA256] {
				o.Values[part.Key] = s.partValues[part.SHA256]
			}
		}
	}
	if r.Held.Catalogue.Less(s.catalogueAcceptor.Version()) {
		o.Catalogue = s.catalogueBytes
	}
	return o
}

// inForce returns the document and the catalogue in force.
func (s *store) inForce() Current {
	if c := s.current.Load(); c != nil {
		return *c
	}
	return Current{}
}

// contentHash identifies published bytes. It is not cryptographic and detects only accidental differences.
func contentHash(data []byte) string {
	var sum [8]byte
	h := xxhash.Sum64(data)
	for i := range sum {
		sum[i] = byte(h >> (8 * i))
	}
	return string(sum[:])
}
