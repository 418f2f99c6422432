package snapshot

import (
	"fmt"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
)

// ErrorKind classifies an invalid catalogue.
type ErrorKind string

// Kinds of invalid catalogues.
const (
	KindInvalidMap   ErrorKind = "invalid_map"   // a partition map is invalid; Err says why
	KindDuplicateMap ErrorKind = "duplicate_map" // two partition maps have the same version
	KindUnknownMap   ErrorKind = "unknown_map"   // an index version refers to a map that is not listed
	KindOrder        ErrorKind = "order"         // index versions are not in ascending order
)

// Error is an invalid group catalogue. Version is the index or map version concerned.
type Error struct {
	Kind    ErrorKind
	Group   string
	Version uint64
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := fmt.Sprintf("snapshot: catalogue of group %q: %s %d", e.Group, e.Kind, e.Version)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// indexMaps validates a catalogue and returns the index of each of its maps by map version.
func indexMaps(c config.GroupCatalogue) (map[uint64]*coverage.Index, error) {
	maps := make(map[uint64]*coverage.Index, len(c.Maps))
	for _, m := range c.Maps {
		if _, duplicate := maps[m.Version]; duplicate {
			return nil, &Error{Kind: KindDuplicateMap, Group: c.Group, Version: m.Version}
		}
		if err := coverage.ValidateMap(m); err != nil {
			return nil, &Error{Kind: KindInvalidMap, Group: c.Group, Version: m.Version, Err: err}
		}
		maps[m.Version] = coverage.NewIndex(m)
	}
	for i, v := range c.Versions {
		if _, ok := maps[v.Map]; !ok {
			return nil, &Error{Kind: KindUnknownMap, Group: c.Group, Version: v.Map}
		}
		if i > 0 && v.Index <= c.Versions[i-1].Index {
			return nil, &Error{Kind: KindOrder, Group: c.Group, Version: v.Index}
		}
	}
	return maps, nil
}
