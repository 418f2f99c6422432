package coverage

import (
	"fmt"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// ErrorKind classifies an invalid partition map.
type ErrorKind string

// Kinds of invalid partition maps.
const (
	KindEmptyRange    ErrorKind = "empty_range"     // the range of an assignment contains no key
	KindOutOfKeySpace ErrorKind = "out_of_keyspace" // an assignment reaches beyond the key space
	KindOverlap       ErrorKind = "overlap"         // the ranges of two assignments overlap
	KindNoService     ErrorKind = "no_service"      // an assignment names no service
)

// Error describes an invalid partition map. Map is its version, Index the position of the invalid assignment in it.
type Error struct {
	Kind    ErrorKind
	Map     uint64
	Index   int
	Service string
	Range   api.KeyRange
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("coverage: partition map %d: assignment %d (service %q, range [%d, %d)): %s",
		e.Map, e.Index, e.Service, e.Range.From, e.Range.To, e.Kind)
}
