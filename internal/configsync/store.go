package configsync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Checker decodes and validates published values. The rules belong to package config.
type Checker interface {
	Manifest(data []byte) (config.Manifest, error)
	// Hash identifies the content that a manifest names.
	Hash(m config.Manifest) string
	// Document assembles and validates a document set.
	Document(m config.Manifest, values map[string][]byte) (config.Document, error)
	Catalogue(data []byte) (config.Catalogue, error)
}

// Decision is what became of an offered version. The acceptance rule is that of config.Acceptor.
type Decision = config.Decision

// Decisions.
const (
	Accepted    = config.Accepted
	Older       = config.Older
	Same        = config.Same
	Conflicting = config.Conflicting
	Invalid     = config.Invalid
	// Incomplete is an Invalid offer of which only values are absent or altered, so that another read may succeed.
	Incomplete Decision = "incomplete"
)

// Current is what is in force. Document and Catalogue are nil until one was accepted, and must not be modified.
type Current struct {
	Document  *config.Document
	Catalogue *config.Catalogue
}

// slot is the acceptance state of a document set or of the catalogue, with why its last invalid version was rejected.
type slot struct {
	config.Acceptor
	rejection *Rejection
}

// store holds the versions in force and their published bytes. mu guards all fields below it.
type store struct {
	checker Checker
	current atomic.Pointer[Current] // replaced under mu, read without it

	mu          sync.Mutex
	set         slot
	cat         slot
	manifest    config.Manifest
	values      map[string][]byte // by content hash
	catalogue   []byte
	machine     *statechart.Machine[statechart.ConfigState, statechart.ConfigEvent]
	behindSince time.Time
}

func newStore(checker Checker, machine *statechart.Machine[statechart.ConfigState, statechart.ConfigEvent]) *store {
	return &store{checker: checker, machine: machine, values: map[string][]byte{}}
}

// offerSet offers a document set; values are by key and may leave out parts that are held already.
func (s *store) offerSet(m config.Manifest, values map[string][]byte) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.noteLag()
	hash := s.checker.Hash(m)
	s.announceSet(m.Version)
	var document config.Document
	var full map[string][]byte
	checked := false
	d, err := s.set.Offer(m.Version, hash, func() (err error) {
		checked = true
		s.newerKnown()
		full = s.withHeld(m, values)
		document, err = s.checker.Document(m, full)
		return err
	})
	switch {
	case d == Accepted:
		s.acceptSet(m, full, &document)
		return d, nil
	case d != Invalid:
		return d, nil
	case config.IsIncomplete(err) && checked:
		return Incomplete, &Error{Code: CodeIncompleteSet, Message: "document set is incomplete", Err: err}
	case checked:
		s.set.rejection = &Rejection{Kind: KindSet, Version: m.Version, At: time.Now(), Err: err, Document: &document}
		if !s.set.Behind() {
			_, _ = s.machine.Fire(statechart.ConfigRejected)
		}
	}
	return Invalid, &Error{Code: CodeInvalidSet, Message: "document set is invalid", Err: err}
}

// withHeld gives the values of a manifest's parts by key, those that are held already included.
func (s *store) withHeld(m config.Manifest, values map[string][]byte) map[string][]byte {
	full := map[string][]byte{}
	for _, part := range m.Parts {
		if data, ok := values[part.Key]; ok {
			full[part.Key] = data
		} else if data, ok := s.values[part.SHA256]; ok {
			full[part.Key] = data
		}
	}
	return full
}

// acceptSet puts a valid set in force.
func (s *store) acceptSet(m config.Manifest, values map[string][]byte, document *config.Document) {
	s.manifest = m
	s.values = map[string][]byte{}
	for _, part := range m.Parts {
		s.values[part.SHA256] = values[part.Key]
	}
	s.current.Store(&Current{Document: document, Catalogue: s.inForce().Catalogue})
	s.behindSince = time.Time{}
	_, _ = s.machine.Fire(statechart.ConfigAccepted)
	if s.set.Behind() {
		s.newerKnown()
	}
}

// announceSet records that a document set version exists.
func (s *store) announceSet(v config.Version) {
	s.set.Announce(v)
	if s.set.Behind() {
		s.newerKnown()
	}
}

// newerKnown moves the state chart to a state in which a newer version is expected.
func (s *store) newerKnown() {
	if state := s.machine.State(); state == statechart.ConfigNone || state == statechart.ConfigInForce {
		_, _ = s.machine.Fire(statechart.ConfigAnnounced)
	}
}

// offerCatalogue offers a catalogue.
func (s *store) offerCatalogue(data []byte) (Decision, error) {
	catalogue, err := s.checker.Catalogue(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.noteLag()
	if err != nil {
		if !catalogue.Version.IsZero() {
			s.cat.Announce(catalogue.Version)
			_, _ = s.cat.Offer(catalogue.Version, contentHash(data), func() error { return err })
		}
		s.cat.rejection = &Rejection{Kind: KindCatalogue, Version: catalogue.Version, At: time.Now(), Err: err, Catalogue: &catalogue}
		return Invalid, &Error{Code: CodeInvalidSet, Message: "catalogue is invalid", Err: err}
	}
	s.cat.Announce(catalogue.Version)
	d, err := s.cat.Offer(catalogue.Version, contentHash(data), func() error { return nil })
	switch {
	case err != nil:
		return d, &Error{Code: CodeInvalidSet, Message: "catalogue is invalid", Err: err}
	case d != Accepted:
		return d, nil
	}
	s.catalogue = data
	s.current.Store(&Current{Document: s.inForce().Document, Catalogue: &catalogue})
	s.behindSince = time.Time{}
	return Accepted, nil
}

// announce records the versions that peers were heard to hold.
func (s *store) announce(known membership.Versions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.noteLag()
	s.announceSet(known.Config)
	s.cat.Announce(known.Catalogue)
}

// noteLag keeps the time since which a newer version has been known. Progress starts it anew.
func (s *store) noteLag() {
	switch {
	case !s.set.Behind() && !s.cat.Behind():
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
}

// status returns what is in force, whether newer versions are known, and since when.
func (s *store) status() (held membership.Versions, behind bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldVersions(), s.set.Behind() || s.cat.Behind(), s.behindSince
}

// lacks reports for document set and catalogue whether a newer version is known than is in force.
func (s *store) lacks() (set, catalogue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Behind(), s.cat.Behind()
}

func (s *store) heldVersions() membership.Versions {
	return membership.Versions{Config: s.set.Version(), Catalogue: s.cat.Version()}
}

// missing returns the parts of a manifest whose content is not held. It returns none when the set is not acceptable
// anyway.
func (s *store) missing(m config.Manifest) []config.PartRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, _ := s.set.Decide(m.Version, s.checker.Hash(m)); d != Accepted {
		return nil
	}
	var parts []config.PartRef
	for _, part := range m.Parts {
		if _, ok := s.values[part.SHA256]; !ok {
			parts = append(parts, part)
		}
	}
	return parts
}

// request describes to a peer what this node holds.
func (s *store) request() Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Request{Held: s.heldVersions()}
	for _, part := range s.manifest.Parts {
		r.Parts = append(r.Parts, part.SHA256)
	}
	return r
}

// offer returns what a peer with the given request lacks.
func (s *store) offer(r Request) Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o Offer
	if r.Held.Config.Less(s.set.Version()) {
		have := map[string]bool{}
		for _, hash := range r.Parts {
			have[hash] = true
		}
		o.Manifest, o.Values = s.manifest, map[string][]byte{}
		for _, part := range s.manifest.Parts {
			if !have[part.SHA256] {
				o.Values[part.Key] = s.values[part.SHA256]
			}
		}
	}
	if r.Held.Catalogue.Less(s.cat.Version()) {
		o.Catalogue = s.catalogue
	}
	return o
}

// inForce returns the current document and catalogue.
func (s *store) inForce() Current {
	if c := s.current.Load(); c != nil {
		return *c
	}
	return Current{}
}

// contentHash identifies published bytes. It only tells accidental differences apart.
func contentHash(data []byte) string {
	var sum [8]byte
	h := xxhash.Sum64(data)
	for i := range sum {
		sum[i] = byte(h >> (8 * i))
	}
	return string(sum[:])
}
