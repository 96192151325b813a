package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// fileMagic is the first bytes of each file. Its digit is the version of the format.
const fileMagic = "hlkeep1\n"

// recordHeaderSize is the size in bytes of the header of each record: the record's length and its CRC-32C checksum,
// both as 32-bit little-endian numbers.
const recordHeaderSize = 8

// maxRecordSize is the largest size of one record, in bytes. The largest records are a replica's snapshots of the
// fleet's configuration; a greater length in a header can only be corruption.
const maxRecordSize = 4 << 20

// maxFileSize is the largest size of a file, in bytes. A replica replaces its log with a snapshot long before the log
// is that large, so a larger file was not written by this program.
const maxFileSize = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// parseFile returns the records in a file's content and the length of the part that holds them, including the magic.
// The length is 0 if the magic is incomplete. An incomplete record at the end is not an error, as a crash during Append
// can leave one; anything that such a crash can't leave is ErrCorrupt. The records share the content's memory.
func parseFile(content []byte) (records [][]byte, validSize int, err error) {
	if len(content) < len(fileMagic) {
		if string(content) != fileMagic[:len(content)] {
			return nil, 0, ErrCorrupt
		}
		return nil, 0, nil // The process ended while creating the file.
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

// parseRecord returns the record at the start of content. isComplete is false if content ends before the record does.
func parseRecord(content []byte) (record []byte, isComplete bool, err error) {
	if len(content) < recordHeaderSize {
		return nil, false, nil
	}
	size := int(binary.LittleEndian.Uint32(content))
	checksum := binary.LittleEndian.Uint32(content[4:])
	switch body := content[recordHeaderSize:]; {
	case size == 0:
		// After a crash a file can have its new length without the new bytes, and then ends in zeros. Records are never
		// empty, so a zero length followed only by zeros marks such an end; followed by anything else, it is
		// corruption.
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

// appendRecords appends the records with their headers to content. It returns an error for a record that is empty or
// larger than maxRecordSize, as parseFile would not return it.
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
