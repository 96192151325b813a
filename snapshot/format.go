package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	fileMagic = "hlvlerns"
	// formatVersion changes with the meaning of what is stored; a file of another version is refused.
	formatVersion = 2
	// headerSize is the size of the magic and of the version, the length and the CRC-32C of the body (32 bits each,
	// little-endian), in bytes.
	headerSize = len(fileMagic) + 3*4
	// maxFileSize bounds a file, in bytes: a damaged or foreign file must not fill the memory of a process that starts.
	// 5,000 cache hosts and all keys that the decision module remembers take 1.2 MB.
	maxFileSize = 8 << 20

	// maxArrayElements, maxMapPairs and maxNestedLevels bound what a body may state before memory is taken for it. The
	// longest array holds the remembered keys or the cache hosts; the one map is the Snapshot itself.
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = mustMode(cbor.EncOptions{}.EncMode())
	decoder    = mustMode(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

// mustMode panics on options that contradict each other. They are constants, so that any start and any test would show
// it.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// encode appends the snapshot in the file's format to content.
func encode(content []byte, s *Snapshot) ([]byte, error) {
	body, err := encoder.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(body)+headerSize > maxFileSize {
		return nil, fmt.Errorf("%d bytes, more than %d", len(body)+headerSize, maxFileSize)
	}
	content = append(content, fileMagic...)
	content = binary.LittleEndian.AppendUint32(content, formatVersion)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
	content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(body, castagnoli))
	return append(content, body...), nil
}

// decode returns the snapshot in a file's content. Nothing of the body is decoded before its checksum is right. All
// errors are ErrInvalid.
func decode(content []byte) (*Snapshot, error) {
	if len(content) < headerSize || string(content[:len(fileMagic)]) != fileMagic {
		return nil, fmt.Errorf("%w: not a snapshot, or truncated", ErrInvalid)
	}
	header, body := content[len(fileMagic):headerSize], content[headerSize:]
	if version := binary.LittleEndian.Uint32(header); version != formatVersion {
		return nil, fmt.Errorf("%w: version %d, not %d", ErrInvalid, version, formatVersion)
	}
	if size := binary.LittleEndian.Uint32(header[4:]); len(content) > maxFileSize || int(size) != len(body) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrInvalid, len(body), size)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrInvalid)
	}
	s := &Snapshot{}
	if err := decoder.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	// Guards against a body that is intact and makes no sense, written by a defect: no index or number of it may lead
	// the decision module out of bounds.
	if err := s.BalancerState.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, nil
}
