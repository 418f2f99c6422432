package ticket

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// CommandHash identifies a command. Two commands with the same hash are the same request.
type CommandHash [sha256.Size]byte

// HashCommand hashes the fields that identify a command: caller, group, kind, key and body. The request id is left
// out, because it differs when the same command is sent again. The caller is included, so that a ticket leaked to
// another caller does not reveal the recorded outcome.
func HashCommand(c api.Command) CommandHash {
	h := sha256.New()
	field := func(data []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(data)))
		h.Write(size[:])
		h.Write(data)
	}
	field([]byte(c.Caller))
	field([]byte(c.Group))
	field([]byte(c.Kind))
	field(binary.BigEndian.AppendUint64(nil, c.Key))
	field(c.Body)
	return CommandHash(h.Sum(nil))
}
