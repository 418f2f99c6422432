package ownership

// MaxCandidates bounds the relays of a failure domain that may own one group. With two incarnations each and one
// connection per incarnation, 12 candidates hold 24 connections, below 25, the lowest connection limit in use.
const MaxCandidates = 12

// OrdinalSpaceOf returns the ordinal space of a failure domain from its published maximum number of relays.
func OrdinalSpaceOf(maxRelays int) OrdinalSpace {
	return OrdinalSpace{Ordinals: maxRelays, Candidates: min(maxRelays, MaxCandidates)}
}
