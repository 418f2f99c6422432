package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

// Index provides the lookups in one document that each request needs. It is immutable and safe for concurrent use;
// the document must not be modified afterwards.
type Index struct {
	doc           Document
	domains       map[string]*FailureDomain
	groups        map[string]*Group
	callersByHash map[uint64][]callerEntry // by hashPrefix of the key hash
	callers       map[string]*Caller
}

// callerEntry is a caller with its decoded key hash.
type callerEntry struct {
	hash   [hashBytes]byte
	caller *Caller
}

// NewIndex builds the index of a valid document.
func NewIndex(d Document) *Index {
	x := &Index{doc: d, domains: map[string]*FailureDomain{}, groups: map[string]*Group{}, callersByHash: map[uint64][]callerEntry{},
		callers: make(map[string]*Caller, len(d.Callers))}
	for i := range d.Domains {
		x.domains[d.Domains[i].Name] = &d.Domains[i]
	}
	for i := range d.Groups {
		x.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	for i := range d.Callers {
		x.callers[d.Callers[i].Name] = &d.Callers[i]
		raw, err := hex.DecodeString(d.Callers[i].KeySHA256)
		if err != nil || len(raw) != hashBytes {
			continue // cannot happen in a document that passed Validate
		}
		e := callerEntry{hash: [hashBytes]byte(raw), caller: &d.Callers[i]}
		x.callersByHash[hashPrefix(e.hash)] = append(x.callersByHash[hashPrefix(e.hash)], e)
	}
	return x
}

// hashPrefix returns the first 8 bytes of a key hash, by which callers are looked up. The timing of the lookup depends
// only on the hash of the presented key, and finding a key with a given hash prefix takes as long as guessing.
func hashPrefix(hash [hashBytes]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// Document returns the indexed document.
func (x *Index) Document() *Document { return &x.doc }

// Version returns the version of the indexed document.
func (x *Index) Version() Version { return x.doc.Version }

// Group returns the group with the given name.
func (x *Index) Group(name string) (*Group, bool) {
	g, ok := x.groups[name]
	return g, ok
}

// Domain returns the failure domain with the given name.
func (x *Index) Domain(name string) (*FailureDomain, bool) {
	d, ok := x.domains[name]
	return d, ok
}

// CallerByName returns the caller with the given name.
func (x *Index) CallerByName(name string) (*Caller, bool) {
	c, ok := x.callers[name]
	return c, ok
}

// Caller returns the caller whose key was presented. Full hashes are compared in constant time.
func (x *Index) CallerByKey(key string) (*Caller, bool) {
	hash := sha256.Sum256([]byte(key))
	var found *Caller
	for _, e := range x.callersByHash[hashPrefix(hash)] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.caller
		}
	}
	return found, found != nil
}

// MayUse reports whether the caller may send requests to the group.
func (c *Caller) MayUse(group string) bool {
	for _, g := range c.Groups {
		if g == group {
			return true
		}
	}
	return false
}
