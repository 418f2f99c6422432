package config

// Decision is the outcome of offering a version to an Acceptor.
type Decision string

// Decisions about an offered version.
const (
	Accepted    Decision = "accepted"
	Older       Decision = "older"       // below the version in force
	Same        Decision = "same"        // the version in force, with the same content
	Conflicting Decision = "conflicting" // the version in force, with different content
	Invalid     Decision = "invalid"
)

// Acceptor decides which published version is in force. The document set and the catalogue have one each. The version
// in force never decreases; an invalid offer only updates the record of the versions seen. The zero value has no
// version in force. It is not safe for concurrent use.
type Acceptor struct {
	version      Version
	hash         string
	highest      Version      // highest version that was announced, or offered above the one in force
	pending      Version      // highest version announced or in force that was not rejected
	rejected     Version      // last version that was rejected; zero once a version at or above it is in force
	rejectedHash string       // content hash of the rejected version; empty when it was rejected without its content
	rejectedErr  error        // why that content is invalid
	parts        decodedParts // decoded parts of the document set in force, reused for the next offer
}

// Version returns the version in force; it is zero before the first accepted offer.
func (a *Acceptor) Version() Version { return a.version }

// Hash returns the content hash of the version in force; it is empty before the first accepted offer.
func (a *Acceptor) Hash() string { return a.hash }

// Highest returns the highest version seen, in force or not.
func (a *Acceptor) Highest() Version { return a.highest }

// Rejected returns the last rejected version; it is zero when there was none or a version at or above it is in force.
func (a *Acceptor) Rejected() Version { return a.rejected }

// Pending returns the highest version announced or in force that was not rejected.
func (a *Acceptor) Pending() Version { return a.pending }

// Behind reports whether an announced version above the one in force was neither accepted nor rejected. Rejected
// versions do not count: otherwise one bad publication would make every node unready.
func (a *Acceptor) Behind() bool { return a.version.Less(a.pending) }

// Announce records that the platform or a peer knows of version v. Announcements repeat, so a pending version that
// Reject dropped is recorded again.
func (a *Acceptor) Announce(v Version) {
	a.highest = maxVersion(a.highest, v)
	if v != a.rejected {
		a.pending = maxVersion(a.pending, v)
	}
}

// Decide applies the acceptance rule except for the check of the content; Accepted means that only this check remains.
// A fetcher uses it to skip the parts of a set that would be refused anyway. The error is set only with Invalid.
func (a *Acceptor) Decide(v Version, hash string) (Decision, error) {
	switch {
	case v.IsZero():
		return Invalid, zeroVersionError()
	case v.Less(a.version):
		return Older, nil
	case v == a.version && hash == a.hash:
		return Same, nil
	case v == a.version:
		return Conflicting, nil
	case v == a.rejected && a.rejectedErr != nil && hash == a.rejectedHash:
		return Invalid, a.rejectedErr
	}
	return Accepted, nil
}

// Offer applies the acceptance rule to one version and puts it in force if it is accepted. check runs only when the
// content could be accepted and is not the last one found invalid. The error is that of the check and is set only with
// Invalid.
func (a *Acceptor) Offer(v Version, hash string, check func() error) (Decision, error) {
	if d, err := a.Decide(v, hash); d != Accepted {
		return d, err
	}
	a.highest = maxVersion(a.highest, v)
	if err := check(); err != nil {
		if !IsIncomplete(err) {
			a.Reject(v)
			a.rejectedHash, a.rejectedErr = hash, err
		}
		return Invalid, err
	}
	a.accept(v, hash)
	return Accepted, nil
}

func (a *Acceptor) accept(v Version, hash string) {
	a.version, a.hash = v, hash
	a.pending = maxVersion(a.pending, v)
	if !v.Less(a.rejected) {
		a.rejected, a.rejectedHash, a.rejectedErr = Version{}, "", nil
	}
}

// Reject records that a version above the one in force cannot be used, so that the node does not wait for it. Offer
// calls it for invalid content; a fetcher calls it for a set whose parts are available nowhere. A later offer may still
// accept the version.
func (a *Acceptor) Reject(v Version) {
	if !a.version.Less(v) {
		return
	}
	a.rejected, a.rejectedHash, a.rejectedErr = v, "", nil
	if a.pending == v {
		a.pending = a.version
	}
}

func zeroVersionError() error {
	var v faults
	v.add("version", FaultRequired, "an epoch or number above 0", "is missing")
	return v.err("offer")
}

func maxVersion(a, b Version) Version {
	if a.Less(b) {
		return b
	}
	return a
}

// OfferDocument offers a fetched document set. The document is returned only with Accepted. It shares memory with
// later documents and must not be modified.
func (a *Acceptor) OfferDocument(m Manifest, values map[string][]byte) (Document, Decision, error) {
	var d Document
	var parts decodedParts
	decision, err := a.Offer(m.Version, m.Hash(), func() (err error) {
		if d, parts, err = assembleWithCache(m, values, a.parts); err != nil {
			return err
		}
		return d.Validate()
	})
	if decision != Accepted {
		return Document{}, decision, err
	}
	a.parts = parts
	return d, decision, nil
}

// OfferCatalogue offers a fetched catalogue. The catalogue is returned only with Accepted.
func (a *Acceptor) OfferCatalogue(data []byte) (Catalogue, Decision, error) {
	c, err := DecodeCatalogue(data)
	if err != nil {
		return Catalogue{}, Invalid, err
	}
	decision, err := a.Offer(c.Version, contentHash(data), c.Validate)
	if decision != Accepted {
		return Catalogue{}, decision, err
	}
	return c, decision, nil
}
