package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Validity is how long a ticket may be presented after its issue.
const Validity = 60 * time.Second

// Sizes of the token, in bytes.
const (
	// MaxNodeIDBytes bounds the node id in a token, so that every token fits in one header of MaxTokenBytes.
	MaxNodeIDBytes = 64
	// KeyBytes is the size of the HMAC key.
	KeyBytes = 32

	formatVersion   = 1
	uuidBytes       = 16
	expiryBytes     = 8
	hmacBytes       = sha256.Size
	headerBytes     = 1 + 2*uuidBytes + expiryBytes + 1 // format version, incarnation, ticket id, expiry, length of the node id
	minDecodedBytes = headerBytes + 1 + hmacBytes
	maxDecodedBytes = headerBytes + MaxNodeIDBytes + hmacBytes
	minTokenBytes   = (minDecodedBytes*8 + 5) / 6
	nodeIDOffset    = headerBytes
	idOffset        = 1 + uuidBytes
	expiryOffset    = 1 + 2*uuidBytes
	nodeIDLenOffset = headerBytes - 1
)

// MaxTokenBytes is the length of the longest token.
const MaxTokenBytes = (maxDecodedBytes*8 + 5) / 6

// encoding rejects non-zero padding bits (strict mode), so that a token has only one text form.
var encoding = base64.RawURLEncoding.Strict()

// Ticket is the content of a token. Expires is measured on the issuer's Clock and has no meaning on another node.
type Ticket struct {
	NodeID      string
	Incarnation uuid.UUID
	ID          uuid.UUID
	Expires     time.Duration
}

// Parse decodes a token without checking its HMAC, so that a node can forward it to its issuer. The content is
// unauthenticated: a forwarding node uses it only to find the issuer. Errors are *Error of KindMalformed.
func Parse(token string) (Ticket, error) {
	t, _, _, err := decode(token)
	return t, err
}

// decode returns the ticket with the signed bytes and the HMAC, which it does not check.
func decode(token string) (t Ticket, signed, mac []byte, err error) {
	if len(token) < minTokenBytes || len(token) > MaxTokenBytes {
		return t, nil, nil, newMalformedError("token length is out of bounds")
	}
	raw, err := encoding.DecodeString(token)
	if err != nil {
		return t, nil, nil, newMalformedError("token is not base64url")
	}
	// DecodeString skips line breaks, which would allow several text forms of one token.
	if encoding.EncodedLen(len(raw)) != len(token) || len(raw) < minDecodedBytes || raw[0] != formatVersion {
		return t, nil, nil, newMalformedError("unknown token format")
	}
	if len(raw) != headerBytes+int(raw[nodeIDLenOffset])+hmacBytes || raw[nodeIDLenOffset] > MaxNodeIDBytes {
		return t, nil, nil, newMalformedError("node id has the wrong length")
	}
	signed, mac = raw[:len(raw)-hmacBytes], raw[len(raw)-hmacBytes:]
	expires := binary.BigEndian.Uint64(raw[expiryOffset:])
	if expires > uint64(maxExpiry) {
		return t, nil, nil, newMalformedError("expiry is out of bounds")
	}
	t = Ticket{
		NodeID:      string(signed[nodeIDOffset:]),
		Incarnation: uuid.UUID(raw[1:idOffset]),
		ID:          uuid.UUID(raw[idOffset:expiryOffset]),
		Expires:     time.Duration(expires),
	}
	return t, signed, mac, nil
}

// maxExpiry is the largest expiry that decode accepts. Adding Retention to it does not overflow.
const maxExpiry = time.Duration(1<<63 - 1 - int64(24*time.Hour))

// encode returns the bytes of a ticket over which the HMAC is computed.
func encode(t Ticket) []byte {
	raw := make([]byte, 0, maxDecodedBytes)
	raw = append(raw, formatVersion)
	raw = append(raw, t.Incarnation[:]...)
	raw = append(raw, t.ID[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Expires))
	raw = append(raw, byte(len(t.NodeID)))
	return append(raw, t.NodeID...)
}

// Issuer issues and verifies the tickets of one incarnation of a node. It is safe for concurrent use if its source of
// randomness is, as crypto/rand.Reader is.
type Issuer struct {
	nodeID      string
	incarnation uuid.UUID
	key         []byte
	random      io.Reader
	clock       *Clock
}

// NewIssuer returns the issuer of an incarnation. It generates an HMAC key that never leaves the issuer: only this
// incarnation can issue or verify its tickets.
func NewIssuer(nodeID string, incarnation uuid.UUID, random io.Reader, clock *Clock) (*Issuer, error) {
	if nodeID == "" || len(nodeID) > MaxNodeIDBytes {
		return nil, &Error{Kind: KindNodeID, Err: eris.Errorf("node id must have 1 to %d bytes", MaxNodeIDBytes)}
	}
	key := make([]byte, KeyBytes)
	if _, err := io.ReadFull(random, key); err != nil {
		return nil, &Error{Kind: KindRandom, Err: eris.Wrap(err, "read HMAC key")}
	}
	return &Issuer{nodeID: nodeID, incarnation: incarnation, key: key, random: random, clock: clock}, nil
}

// Issue returns a new token that is valid for Validity. The error is an *Error of KindRandom.
func (i *Issuer) Issue(now time.Time) (string, error) {
	t := Ticket{NodeID: i.nodeID, Incarnation: i.incarnation, Expires: i.clock.Since(now) + Validity}
	if _, err := io.ReadFull(i.random, t.ID[:]); err != nil {
		return "", &Error{Kind: KindRandom, Err: eris.Wrap(err, "read ticket id")}
	}
	signed := encode(t)
	return encoding.EncodeToString(append(signed, i.hmacOf(signed)...)), nil
}

// Verify returns the ticket if this incarnation issued it. It does not check expiry: Table.Begin does, because a
// record takes precedence over it. Errors are *Error: KindMalformed, KindForeign when the ticket names another
// node or incarnation, KindForged when the HMAC is wrong.
func (i *Issuer) Verify(token string) (Ticket, error) {
	t, signed, mac, err := decode(token)
	if err != nil {
		return Ticket{}, err
	}
	if t.NodeID != i.nodeID || t.Incarnation != i.incarnation {
		return t, &Error{Kind: KindForeign, Err: eris.New("another incarnation issued the ticket")}
	}
	if !hmac.Equal(mac, i.hmacOf(signed)) {
		return Ticket{}, &Error{Kind: KindForged, Err: eris.New("HMAC does not match")}
	}
	return t, nil
}

func (i *Issuer) hmacOf(signed []byte) []byte {
	h := hmac.New(sha256.New, i.key)
	h.Write(signed)
	return h.Sum(nil)
}
