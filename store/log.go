// Package store keeps records over a crash: one file, each record with its length and checksum. What Add was given is on the disk when it
// returns; Swap writes a new file aside and renames it. A file that ends amid a record lost the end of an Add that never returned, and is cut
// there; anything else that does not fit is damage, and is said so: nothing of it may be trusted.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	magic      = "hlkeep1\n"
	headOf     = 8
	mostRecord = 4 << 20
	mostFile   = 256 << 20
)

// ErrDamaged: the file is not what this package wrote.
var ErrCorrupt = errors.New("damaged: nothing of it is taken")

// ErrHeld: another process has the file.
var ErrLocked = errors.New("held by another process")

var table = crc32.MakeTable(crc32.Castagnoli)

// file is what the log needs of one.
type file interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// Log is an open file of records. One caller at a time.
type Log struct {
	path string
	file file
	lock *os.File

	end        int64 // of the last record that is on the disk
	isDirty    bool  // something stands behind the end, or may: a write or its sync has failed
	isUnnamed  bool  // the folder does not hold the file's name for sure
	syncFolder func(string) error
}

// Open opens or makes a file and gives the records in it. With ErrDamaged it gives a log all the same: its first Swap or Add begins anew, and
// what was there is kept aside.
func Open(path string) (*Log, [][]byte, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, ErrLocked
	}
	l := &Log{path: path, lock: lock, syncFolder: syncFolder}
	bytes, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		l.Close()
		return nil, nil, err
	}
	records, whole, bad := parse(bytes)
	if bad != nil {
		if err := os.Rename(path, path+".damaged"); err != nil {
			l.Close()
			return nil, nil, err
		}
		bytes, whole = nil, 0
	}
	at, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	l.file = at
	if whole == 0 {
		if err = l.Replace(nil); err != nil {
			l.Close()
			return nil, nil, err
		}
		return l, nil, bad
	}
	l.end, l.isDirty = int64(whole), true
	if err = l.clean(); err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, records, bad
}

// parse gives the records, and up to where the file is whole.
func parse(bytes []byte) (records [][]byte, whole int, bad error) {
	if len(bytes) < len(magic) {
		if string(bytes) != magic[:len(bytes)] {
			return nil, 0, ErrCorrupt
		}
		return nil, 0, nil // Its making was cut short.
	}
	if string(bytes[:len(magic)]) != magic || len(bytes) > mostFile {
		return nil, 0, ErrCorrupt
	}
	for at := len(magic); ; {
		whole = at
		if len(bytes)-at < headOf {
			return records, whole, nil
		}
		size := int(binary.LittleEndian.Uint32(bytes[at:]))
		if size == 0 { // No record is empty: a crash can leave a file longer than what was written to it, with zeros there.
			if len(strings.Trim(string(bytes[at:]), "\x00")) > 0 {
				return nil, 0, ErrCorrupt
			}
			return records, whole, nil
		}
		if size > mostRecord {
			return nil, 0, ErrCorrupt
		}
		if len(bytes)-at-headOf < size {
			return records, whole, nil
		}
		body := bytes[at+headOf : at+headOf+size]
		if crc32.Checksum(body, table) != binary.LittleEndian.Uint32(bytes[at+4:]) {
			return nil, 0, ErrCorrupt
		}
		records = append(records, body)
		at += headOf + size
	}
}

func frame(out []byte, records [][]byte) ([]byte, error) {
	for _, r := range records {
		if len(r) == 0 || len(r) > mostRecord {
			return nil, fmt.Errorf("a record of %d bytes", len(r))
		}
		out = binary.LittleEndian.AppendUint32(out, uint32(len(r)))
		out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(r, table))
		out = append(out, r...)
	}
	return out, nil
}

// Add puts records at the end, in one write, and waits for the disk. After an error none of them counts; the next call begins where the
// last good one ended.
func (l *Log) Append(records [][]byte) error {
	bytes, err := frame(nil, records)
	if err != nil {
		return err
	}
	if err := l.clean(); err != nil {
		return err
	}
	l.isDirty = true
	if _, err := l.file.Write(bytes); err != nil {
		return err
	}
	// After a sync that failed the system may hold pages for written that are not: they are written again, not synced again.
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.end += int64(len(bytes))
	l.isDirty = false
	return nil
}

// clean takes off what stands behind the last good record, and makes the file's name durable, where that is not sure.
func (l *Log) clean() error {
	if l.isUnnamed {
		if err := l.syncFolder(filepath.Dir(l.path)); err != nil {
			return err
		}
		l.isUnnamed = false
	}
	if !l.isDirty {
		return nil
	}
	if err := l.file.Truncate(l.end); err != nil {
		return err
	}
	if _, err := l.file.Seek(l.end, io.SeekStart); err != nil {
		return err
	}
	l.isDirty = false
	return nil
}

// Swap puts records in the place of all that were there.
func (l *Log) Replace(records [][]byte) error {
	bytes, err := frame([]byte(magic), records)
	if err != nil {
		return err
	}
	aside, err := os.OpenFile(l.path+".new", os.O_CREATE|os.O_RDWR|os.O_TRUNC|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return err
	}
	if _, err = aside.Write(bytes); err == nil {
		err = aside.Sync()
	}
	if err == nil {
		err = os.Rename(l.path+".new", l.path)
	}
	if err != nil {
		aside.Close()
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.end, l.isDirty, l.isUnnamed = aside, int64(len(bytes)), false, true
	return l.clean()
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Close lets another process have the file.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
}
