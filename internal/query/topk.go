package query

import (
	"bytes"
	"slices"
)

// greatest returns the k greatest records of the bodies, falling, as one body. Equal records all count. A remainder that
// is shorter than a record is not one.
func greatest(k int, bodies [][]byte) []byte {
	var records [][]byte
	for _, body := range bodies {
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			records = append(records, body[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(k, len(records))], nil)
}
