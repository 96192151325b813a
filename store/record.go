package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// fileMagic opens each file. Its digit is the version of the format.
const fileMagic = "hlkeep1\n"

// recordHeaderSize is the size of what stands before each record, in bytes: its length and its checksum, both 32 bits,
// little-endian.
const recordHeaderSize = 8

// maxRecordSize bounds one record, in bytes. The largest one is a replica's snapshot of the fleet's configuration; a
// greater length can only be damage, and is not followed.
const maxRecordSize = 4 << 20

// maxFileSize bounds a file, in bytes. A replica replaces its log by a snapshot long before; a larger file is not this
// program's.
const maxFileSize = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// parseFile returns the records in a file's content and the length of the part that holds them, magic included: 0 where
// not even the magic is complete. A record that the content ends in is no error, as a crash during Append leaves that;
// what can't come from such a crash is ErrCorrupt. The records share the content's memory.
func parseFile(content []byte) (records [][]byte, validSize int, err error) {
	if len(content) < len(fileMagic) {
		if string(content) != fileMagic[:len(content)] {
			return nil, 0, ErrCorrupt
		}
		return nil, 0, nil // The process ended while it created the file.
	}
	if string(content[:len(fileMagic)]) != fileMagic || len(content) > maxFileSize {
		return nil, 0, ErrCorrupt
	}
	validSize = len(fileMagic)
	for {
		record, isComplete, err := parseRecord(content[validSize:])
		if err != nil {
			return nil, 0, err
		}
		if !isComplete {
			return records, validSize, nil
		}
		records = append(records, record)
		validSize += recordHeaderSize + len(record)
	}
}

// parseRecord returns the record that content begins with. It is incomplete where content ends before the record does.
func parseRecord(content []byte) (record []byte, isComplete bool, err error) {
	if len(content) < recordHeaderSize {
		return nil, false, nil
	}
	size := int(binary.LittleEndian.Uint32(content))
	checksum := binary.LittleEndian.Uint32(content[4:])
	switch body := content[recordHeaderSize:]; {
	case size == 0:
		// Guards against a crash after which the file has its new length and none of the new bytes: it ends in zeros.
		// No record is empty, so a length of zero with only zeros behind it is such an end, and anything else behind it
		// is damage.
		if len(bytes.Trim(content, "\x00")) > 0 {
			return nil, false, ErrCorrupt
		}
		return nil, false, nil
	case size > maxRecordSize:
		return nil, false, ErrCorrupt
	case size > len(body):
		return nil, false, nil
	case crc32.Checksum(body[:size], castagnoli) != checksum:
		return nil, false, ErrCorrupt
	default:
		return body[:size], true, nil
	}
}

// appendRecords appends the records with their headers to content. A record that is empty or over maxRecordSize is an
// error, as parseFile would not return it.
func appendRecords(content []byte, records [][]byte) ([]byte, error) {
	for _, record := range records {
		if len(record) == 0 || len(record) > maxRecordSize {
			return nil, fmt.Errorf("record of %d bytes, not 1 to %d", len(record), maxRecordSize)
		}
		content = binary.LittleEndian.AppendUint32(content, uint32(len(record)))
		content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(record, castagnoli))
		content = append(content, record...)
	}
	return content, nil
}
