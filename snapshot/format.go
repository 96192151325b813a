package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	fileMagic = "hlvlerns"
	// formatVersion is increased whenever the meaning of the stored data changes; a file of another version is refused.
	formatVersion = 2
	// headerSize is the size of the header in bytes: the magic, then the version, the length of the body and the
	// body's CRC-32C, each as a 32-bit little-endian number.
	headerSize = len(fileMagic) + 3*4
	// maxFileSize is the largest size of a file, in bytes, so that a corrupt or foreign file can't exhaust the memory
	// of a process that starts. 5,000 endpoints and all keys that package policy remembers take 1.2 MB.
	maxFileSize = 8 << 20

	// maxArrayElements, maxMapPairs and maxNestedLevels are limits that the decoder checks before it allocates memory
	// for a body. The longest array holds the remembered keys or the endpoints; the only map is the Snapshot itself.
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
	maxNestedLevels  = 8
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

// encode appends the snapshot, encoded in the file format, to content.
func encode(content []byte, s *Snapshot) ([]byte, error) {
	body, err := encoder.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(body)+headerSize > maxFileSize {
		return nil, fmt.Errorf("size of %d bytes is over the limit of %d", len(body)+headerSize, maxFileSize)
	}
	content = append(content, fileMagic...)
	content = binary.LittleEndian.AppendUint32(content, formatVersion)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
	content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(body, castagnoli))
	return append(content, body...), nil
}

// decode returns the snapshot in a file's content. It verifies the checksum before it decodes the body. All errors wrap
// ErrInvalid.
func decode(content []byte) (*Snapshot, error) {
	if len(content) < headerSize || string(content[:len(fileMagic)]) != fileMagic {
		return nil, fmt.Errorf("%w: not a snapshot, or truncated", ErrInvalid)
	}
	header, body := content[len(fileMagic):headerSize], content[headerSize:]
	if version := binary.LittleEndian.Uint32(header); version != formatVersion {
		return nil, fmt.Errorf("%w: format version %d, want %d", ErrInvalid, version, formatVersion)
	}
	if size := binary.LittleEndian.Uint32(header[4:]); len(content) > maxFileSize || int(size) != len(body) {
		return nil, fmt.Errorf("%w: body has %d bytes, header states %d", ErrInvalid, len(body), size)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrInvalid)
	}
	s := &Snapshot{}
	if err := decoder.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	// A defect in the writer can produce a body with a correct checksum but inconsistent values. No index or number in
	// it may lead package policy out of bounds.
	if err := s.BalancerState.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, nil
}
