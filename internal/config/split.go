package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// KeyPartPrefix is the prefix of the key of each part. The rest of the key is the start of the content hash, so a new
// set never overwrites a part of the set in force: a node that holds the old manifest can still read the whole old set.
const KeyPartPrefix = "medlarshunt/parts/"

const (
	hashBytes     = sha256.Size
	keyHashDigits = 32 // hexadecimal digits of the content hash in a key; collisions of 128 bits are negligible

	// maxPublishedBytes keeps a value below 1 MB, whether that means 10^6 or 2^20 bytes.
	maxPublishedBytes = 1_000_000

	// After a change a node reads the manifest and the parts that differ. At the planned size (about 1.1 MB of
	// document, 160 bytes per manifest entry) parts of about 16 KB minimize the bytes read.
	minPartBytes = 8 << 10
	maxPartBytes = 64 << 10
	// boundaryDivisor sets the content-defined boundaries: a part above minPartBytes ends at one item in 32, chosen by
	// the hash of the item. Boundaries thus depend on nearby items only, and an insertion changes one or two parts
	// instead of all that follow.
	boundaryDivisor = 32
)

// item is one element of a document inside a part; exactly one field is set. A service belongs to the group before it.
type item struct {
	Domain  *FailureDomain `json:"domain,omitempty"`
	Group   *Group         `json:"group,omitempty"`
	Service *Service       `json:"service,omitempty"`
	Caller  *Caller        `json:"caller,omitempty"`
}

// Split returns the manifest of a document and its parts by key, each below 1 MB. The output is deterministic.
func Split(d Document) (Manifest, map[string][]byte, error) {
	s := splitter{manifest: Manifest{Version: d.Version, Parts: []PartRef{}}, parts: map[string][]byte{}}
	for i := range d.Domains {
		s.add(item{Domain: &d.Domains[i]})
	}
	for i := range d.Groups {
		header := d.Groups[i]
		header.Services = nil
		s.add(item{Group: &header})
		for j := range d.Groups[i].Services {
			s.add(item{Service: &d.Groups[i].Services[j]})
		}
	}
	for i := range d.Callers {
		s.add(item{Caller: &d.Callers[i]})
	}
	s.flush()
	if _, err := EncodeManifest(s.manifest); err != nil && s.err == nil {
		s.err = err
	}
	if s.err != nil {
		return Manifest{}, nil, s.err
	}
	return s.manifest, s.parts, nil
}

// splitter packs encoded items into parts.
type splitter struct {
	manifest Manifest
	parts    map[string][]byte
	part     []byte // the part being filled, without its closing bracket
	err      error
}

func (s *splitter) add(it item) {
	data, err := json.Marshal(it)
	if err != nil {
		s.err = eris.Wrap(err, "config: encode document")
		return
	}
	if len(s.part)+len(data) > maxPartBytes {
		s.flush()
	}
	if len(s.part) == 0 {
		s.part = append(s.part, '[')
	} else {
		s.part = append(s.part, ',')
	}
	s.part = append(s.part, data...)
	if len(s.part) >= minPartBytes && xxhash.Sum64(data)%boundaryDivisor == 0 {
		s.flush()
	}
}

func (s *splitter) flush() {
	if len(s.part) == 0 {
		return
	}
	data := append(s.part, ']')
	s.part = nil
	hash := contentHash(data)
	key := KeyPartPrefix + hash[:keyHashDigits]
	if len(data) >= maxPublishedBytes {
		var v faults
		v.add(key, FaultSize, fmt.Sprintf("less than %d bytes", maxPublishedBytes), "one item takes %d bytes", len(data))
		s.err = v.err("document")
	}
	s.parts[key] = data
	s.manifest.Parts = append(s.manifest.Parts, PartRef{Key: key, SHA256: hash, Bytes: len(data)})
}

func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// EncodeManifest returns the published bytes. The encoding is deterministic.
func EncodeManifest(m Manifest) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "config: encode manifest")
	}
	if len(data) >= maxPublishedBytes {
		var v faults
		v.add(KeyManifest, FaultSize, fmt.Sprintf("less than %d bytes", maxPublishedBytes), "%d bytes", len(data))
		return nil, v.err("manifest")
	}
	return data, nil
}

// DecodeManifest decodes and validates published bytes, so that a node fetches only parts that a valid manifest names.
func DecodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := decodeValue(KeyManifest, data, &m); err != nil {
		return Manifest{}, err
	}
	return m, m.Validate()
}

// Validate returns every fault of the manifest in one *InvalidError, or nil.
func (m Manifest) Validate() error {
	var v faults
	if m.Version.IsZero() {
		v.add("version", FaultRequired, "an epoch or number above 0", "is missing")
	}
	seen := map[string]string{}
	for i, p := range m.Parts {
		path := fmt.Sprintf("parts[%d]", i)
		if !validHash(p.SHA256) {
			v.add(path+".sha256", FaultFormat, "64 lower-case hexadecimal digits", "%q is not a hash", p.SHA256)
		} else if p.Key != KeyPartPrefix+p.SHA256[:keyHashDigits] {
			v.add(path+".key", FaultFormat, KeyPartPrefix+"<start of the hash>", "%q does not match the hash", p.Key)
		}
		v.checkUnique(seen, path+".key", p.Key)
		v.checkIntRange(path+".bytes", int64(p.Bytes), 1, maxPublishedBytes-1)
	}
	return v.err("manifest")
}

// Hash identifies the content of the set that the manifest names: its version and the hash of each part, in order.
func (m Manifest) Hash() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d.%d\n", m.Version.Epoch, m.Version.Number)
	for _, p := range m.Parts {
		fmt.Fprintf(h, "%s %d\n", p.SHA256, p.Bytes)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Assemble checks the size and hash of each part and joins the parts. It does not validate the document.
func Assemble(m Manifest, values map[string][]byte) (Document, error) {
	d, _, err := assembleWithCache(m, values, nil)
	return d, err
}

// Assembler assembles successive document sets and reuses the decoded parts of the previous one. It is not safe for
// concurrent use.
type Assembler struct{ parts decodedParts }

// Assemble is like the function Assemble. The document shares memory with later ones and must not be modified.
func (a *Assembler) Assemble(m Manifest, values map[string][]byte) (Document, error) {
	d, parts, err := assembleWithCache(m, values, a.parts)
	if err == nil {
		a.parts = parts
	}
	return d, err
}

// decodedParts caches the items of decoded parts by content hash. A change replaces one or two parts of a set, while
// decoding all parts is most of the work of an offer.
type decodedParts map[string][]item

// assembleWithCache assembles a document set and decodes only parts that are not in cached. It also returns the decoded
// items of all parts of the manifest.
func assembleWithCache(m Manifest, values map[string][]byte, cached decodedParts) (Document, decodedParts, error) {
	if err := m.Validate(); err != nil {
		return Document{}, nil, err
	}
	var v faults
	v.checkPartValues(m, values)
	if err := v.err("parts"); err != nil {
		return Document{}, nil, err // joining the other parts would only add faults about services without their group
	}
	d, used := Document{Version: m.Version}, decodedParts{}
	for i, ref := range m.Parts {
		path := fmt.Sprintf("parts[%d]", i)
		items, ok := cached[ref.SHA256]
		if !ok {
			if err := decodeValue(path, values[ref.Key], &items); err != nil {
				v.add(path, FaultDecode, "a list of items", "%v", err)
				continue
			}
		}
		used[ref.SHA256] = items
		v.appendItems(&d, path, items)
	}
	if err := v.err("document"); err != nil {
		return Document{}, nil, err
	}
	return d, used, nil
}

// checkPartValues checks the presence, size and hash of each part's value against the manifest.
func (fs *faults) checkPartValues(m Manifest, values map[string][]byte) {
	for i, ref := range m.Parts {
		path := fmt.Sprintf("parts[%d]", i)
		data, ok := values[ref.Key]
		switch {
		case !ok:
			fs.add(path, FaultMissing, "the value of "+ref.Key, "was not read")
		case len(data) != ref.Bytes:
			fs.add(path, FaultSize, fmt.Sprintf("%d bytes", ref.Bytes), "%s has %d bytes", ref.Key, len(data))
		case contentHash(data) != ref.SHA256:
			fs.add(path, FaultHash, ref.SHA256, "%s has another hash", ref.Key)
		}
	}
}

// appendItems appends the items of one part to the document.
func (fs *faults) appendItems(d *Document, path string, items []item) {
	for i, it := range items {
		switch {
		case it.Domain != nil:
			d.Domains = append(d.Domains, *it.Domain)
		case it.Group != nil:
			d.Groups = append(d.Groups, *it.Group)
		case it.Service != nil && len(d.Groups) > 0:
			g := &d.Groups[len(d.Groups)-1]
			g.Services = append(g.Services, *it.Service)
		case it.Caller != nil:
			d.Callers = append(d.Callers, *it.Caller)
		default:
			fs.add(fmt.Sprintf("%s[%d]", path, i), FaultDecode, "a domain, group, service after its group, or caller",
				"holds none of these")
		}
	}
}

// decodeValue decodes one JSON value. Unknown fields are ignored, so that an older node can read the documents of a
// newer generator.
func decodeValue(path string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		var v faults
		v.add(path, FaultDecode, "one JSON value", "%v", err)
		return v.err("value")
	}
	return nil
}

// IsIncomplete reports whether all faults in err are parts that are missing, truncated or altered in transit. Another
// read may succeed, so such an offer does not reject the version.
func IsIncomplete(err error) bool {
	var invalid *InvalidError
	if !eris.As(err, &invalid) {
		return false
	}
	for _, f := range invalid.Faults {
		if f.Code != FaultMissing && f.Code != FaultSize && f.Code != FaultHash {
			return false
		}
	}
	return true
}
