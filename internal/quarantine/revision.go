package quarantine

// Revision returns a number that grows with each change of the record.
func (r Record) Revision() uint64 { return uint64(r.latest()) }

// Aged returns the record with its remaining lifetimes reduced to the moment when leftMS is left before it expires.
func (r Record) Aged(leftMS int64) Record {
	if age := r.LeftMS - leftMS; age > 0 {
		r.LeftMS = leftMS
		r.ConfirmLeftMS = max(0, r.ConfirmLeftMS-age)
	}
	return r
}
