package query

import (
	"bytes"
	"slices"
)

// topRecords returns the k greatest records of the bodies in descending order, as one body. Duplicates are kept. A
// trailing remainder shorter than a record is ignored.
func topRecords(k int, bodies [][]byte) []byte {
	var records [][]byte
	for _, body := range bodies {
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			records = append(records, body[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(k, len(records))], nil)
}
