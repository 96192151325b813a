package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	// magicSize is the size in bytes of the magic at the start of each file.
	magicSize = 8
	// headerSize is the size of the header in bytes: the magic, then the version, the length of the body and the
	// body's CRC-32C, each as a 32-bit little-endian number.
	headerSize = magicSize + 3*4
	// maxFileSize is the largest size of a file, in bytes, so that a corrupt or foreign file can't exhaust the memory
	// of a process that starts. A snapshot with 5,000 endpoints and all keys that package policy remembers takes 1.2 MB.
	maxFileSize = 8 << 20

	// maxArrayElements, maxMapPairs and maxNestedLevels are limits that the decoder checks before it allocates memory
	// for a body. The longest array holds the remembered keys or the endpoints; the only map is the outermost struct.
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// fileFormat is what tells the files of this package apart. The version is increased whenever the meaning of the stored
// data changes; a file of another version is refused.
type fileFormat struct {
	magic   string // of magicSize bytes
	version uint32
}

var (
	snapshotFormat = fileFormat{magic: "hlvlerns", version: 2}
	listFormat     = fileFormat{magic: "hlvlist\n", version: 1}
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = must(cbor.EncOptions{}.EncMode())
	decoder    = must(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

// must panics on contradictory CBOR options. The options are constants, so any start of the program and any test would
// reveal such a mistake.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// encode appends the content of a file with this value, encoded, to content.
func (f fileFormat) encode(content []byte, value any) ([]byte, error) {
	body, err := encoder.Marshal(value)
	if err != nil {
		return nil, err
	}
	if len(body)+headerSize > maxFileSize {
		return nil, fmt.Errorf("size of %d bytes is over the limit of %d", len(body)+headerSize, maxFileSize)
	}
	content = append(content, f.magic...)
	content = binary.LittleEndian.AppendUint32(content, f.version)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
	content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(body, castagnoli))
	return append(content, body...), nil
}

// decode decodes a file's content into a value. It verifies the checksum before it decodes the body. All errors wrap
// ErrInvalid.
func (f fileFormat) decode(content []byte, into any) error {
	if len(content) < headerSize || string(content[:magicSize]) != f.magic {
		return fmt.Errorf("%w: not a file of this kind, or truncated", ErrInvalid)
	}
	header, body := content[magicSize:headerSize], content[headerSize:]
	if version := binary.LittleEndian.Uint32(header); version != f.version {
		return fmt.Errorf("%w: format version %d, want %d", ErrInvalid, version, f.version)
	}
	if size := binary.LittleEndian.Uint32(header[4:]); len(content) > maxFileSize || int(size) != len(body) {
		return fmt.Errorf("%w: body has %d bytes, header states %d", ErrInvalid, len(body), size)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return fmt.Errorf("%w: wrong checksum", ErrInvalid)
	}
	if err := decoder.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// decodeSnapshot returns the snapshot in a file's content. All errors wrap ErrInvalid.
func decodeSnapshot(content []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := snapshotFormat.decode(content, s); err != nil {
		return nil, err
	}
	// A defect in the writer can produce a body with a correct checksum but inconsistent values. No index or number in
	// it may lead package policy out of bounds.
	if err := s.BalancerState.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, nil
}
