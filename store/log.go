// Package store keeps records on disk through a crash. A replica (package consensus) stores its votes, log entries and
// snapshots in it.
//
// A Log is one file: a magic, then each record with its length and checksum (record.go). Append is durable when it
// returns. Replace writes another file and renames it over the first, so that either all old or all new records are
// there.
//
// A file that ends amid a record lost the end of an Append that never returned, and is truncated there. Anything else
// that does not fit is ErrCorrupt, and nothing of the file is used: a replica that forgot a vote it has cast could cast
// it twice.
package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// ErrCorrupt says that a file is not as this package writes it. The file has been renamed to PATH.damaged.
var ErrCorrupt = errors.New("log is corrupt")

// ErrLocked says that another process has the file open. Over an upgrade the caller tries again once that process has
// ended.
var ErrLocked = errors.New("log is locked by another process")

// file is what Log needs of an os.File. Tests put a failing one in its place.
type file interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// Log is an open file of records. Its methods must not be called concurrently. Another process can't open the file
// before Close.
type Log struct {
	path string
	file file
	lock *os.File // PATH.lock, under an exclusive flock until Close

	endOffset     int64 // where the last durable record ends, in bytes
	hasTail       bool  // bytes may stand behind endOffset, left by a failed write or sync or by a crash
	isNameUnsure  bool  // the file's name in its directory may not be durable yet
	syncDirectory func(path string) error
}

// Open opens the file at path, or creates it, and returns the records in it.
//
// It returns ErrLocked where another process has the file. With ErrCorrupt it returns an empty log all the same, and
// what was there remains as PATH.damaged; the caller either goes on with the empty log or closes it. Other errors come
// from the file system.
func Open(path string) (*Log, [][]byte, error) {
	lock, err := lockFile(path + ".lock")
	if err != nil {
		return nil, nil, err
	}
	l := &Log{path: path, lock: lock, syncDirectory: syncDirectory}
	records, err := l.load()
	if err != nil && !errors.Is(err, ErrCorrupt) {
		l.Close()
		return nil, nil, err
	}
	return l, records, err
}

// lockFile opens or creates a file and takes an exclusive lock on it, which the kernel releases when the file is closed
// or the process ends, however it ends. It does not wait: a lock that another process has is ErrLocked.
func lockFile(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open lock of log: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrLocked
	}
	return lock, nil
}

// load reads the records and makes the file ready to be appended to. After ErrCorrupt it is ready too, and empty.
func (l *Log) load() ([][]byte, error) {
	content, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("read log: %w", err)
	}
	records, validSize, damage := parseFile(content)
	if damage != nil {
		if err := os.Rename(l.path, l.path+".damaged"); err != nil {
			return nil, fmt.Errorf("put damaged log aside: %w", err)
		}
	}
	opened, err := os.OpenFile(l.path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	l.file = opened
	if validSize == 0 { // Damaged, or created just now, or its creation was interrupted.
		if err := l.Replace(nil); err != nil {
			return nil, err
		}
		return nil, damage
	}
	l.endOffset, l.hasTail = int64(validSize), true
	if err := l.dropTail(); err != nil {
		return nil, err
	}
	// Guards against a crash of the process before this one between its write and its sync: the records that were read
	// may be in the system's memory alone, and the caller will act on them.
	if err := l.file.Sync(); err != nil {
		return nil, fmt.Errorf("sync log: %w", err)
	}
	return records, nil
}

// Append adds records in one write and waits until they are on the disk. After an error none of them counts, and Append
// may be called again. A record must have 1 byte to 4 MiB.
func (l *Log) Append(records [][]byte) error {
	content, err := appendRecords(nil, records)
	if err != nil {
		return err
	}
	if err := l.prepareAppend(); err != nil {
		return err
	}
	l.hasTail = true
	if _, err := l.file.Write(content); err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	// Guards against a sync that fails once: the system may then take the unwritten pages for written, and a second
	// sync succeeds without them. The tail is marked, so the next Append truncates it and writes its own records,
	// instead of syncing again.
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	l.endOffset += int64(len(content))
	l.hasTail = false
	return nil
}

// prepareAppend makes the file's name durable and drops what a failed Append left, where either is needed. Until both
// have succeeded nothing new may be acknowledged: it would stand behind a torn record, or in a file whose rename a
// crash can undo.
func (l *Log) prepareAppend() error {
	if l.isNameUnsure {
		if err := l.syncDirectory(filepath.Dir(l.path)); err != nil {
			return fmt.Errorf("sync directory of log: %w", err)
		}
		l.isNameUnsure = false
	}
	return l.dropTail()
}

// dropTail truncates the file at the end of the last durable record and goes there, if anything may stand behind it.
func (l *Log) dropTail() error {
	if !l.hasTail {
		return nil
	}
	if err := l.file.Truncate(l.endOffset); err != nil {
		return fmt.Errorf("truncate log: %w", err)
	}
	if _, err := l.file.Seek(l.endOffset, io.SeekStart); err != nil {
		return fmt.Errorf("seek end of log: %w", err)
	}
	l.hasTail = false
	return nil
}

// Replace puts records in the place of all that are there, and waits until that is on the disk. After an error either
// the old or the new records are there; nothing is acknowledged by a later Append before it is sure which.
func (l *Log) Replace(records [][]byte) error {
	content, err := appendRecords([]byte(fileMagic), records)
	if err != nil {
		return err
	}
	replacement, err := writeFile(l.path+".new", content)
	if err != nil {
		return err
	}
	if err := os.Rename(l.path+".new", l.path); err != nil {
		replacement.Close()
		return fmt.Errorf("put new log in place: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.endOffset, l.hasTail, l.isNameUnsure = replacement, int64(len(content)), false, true
	return l.prepareAppend()
}

// writeFile writes content to a file, syncs it, and returns it open at its end.
func writeFile(path string, content []byte) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("create new log: %w", err)
	}
	if _, err := f.Write(content); err != nil {
		f.Close()
		return nil, fmt.Errorf("write new log: %w", err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return nil, fmt.Errorf("sync new log: %w", err)
	}
	return f, nil
}

// syncDirectory makes the names of the files in a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

// Close closes the file and lets another process open it. All acknowledged records are on the disk already, so there is
// no error to return.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
}
