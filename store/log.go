// Package store implements a crash-safe log of records on disk. A replica (package consensus) stores its votes, log
// entries and snapshots in it.
//
// A Log is one file: a magic string, then the records, each with its length and checksum (record.go). Append returns
// once its records are durable. Replace writes a new file and renames it over the old one, so that a crash leaves
// either all old or all new records.
//
// A file that ends in an incomplete record is the result of an Append that was interrupted before it returned; the
// incomplete record is truncated. Any other deviation from the format is reported as ErrCorrupt, and none of the file's
// records are used: a replica that lost a vote it has cast could vote again in the same term.
package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// ErrCorrupt reports that a file does not conform to the log format. The file has been renamed to PATH.damaged.
var ErrCorrupt = errors.New("log is corrupt")

// ErrLocked reports that another process has the log open. During an upgrade the caller retries once that process has
// exited.
var ErrLocked = errors.New("log is locked by another process")

// file is the part of os.File that Log uses. Tests replace it with an implementation that injects faults.
type file interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// Log is an open log file. Its methods must not be called concurrently. No other process can open the log until Close.
type Log struct {
	path string
	file file
	lock *os.File // PATH.lock, held under an exclusive flock until Close

	endOffset          int64 // end of the last durable record, in bytes
	mayHaveTail        bool  // a failed write or sync, or a crash, may have left bytes after endOffset
	needsDirectorySync bool  // the directory entry of the file may not be durable yet
	syncDirectory      func(path string) error
}

// Open opens the log at path, or creates it, and returns its records.
//
// It returns ErrLocked if another process has the log open. Together with ErrCorrupt it returns a usable, empty log and
// preserves the corrupt file as PATH.damaged; the caller either continues with the empty log or closes it. Other errors
// come from the file system.
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

// lockFile opens or creates a file and takes an exclusive lock on it. The kernel releases the lock when the file is
// closed or the process ends, even if it crashes. lockFile does not block: it returns ErrLocked if another process
// holds the lock.
func lockFile(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log's lock file: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrLocked
	}
	return lock, nil
}

// load reads the records and prepares the file for appending. If it returns ErrCorrupt, the log is empty and ready for
// use.
func (l *Log) load() ([][]byte, error) {
	content, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("read log: %w", err)
	}
	records, validSize, corruptErr := parseFile(content)
	if corruptErr != nil {
		if err := os.Rename(l.path, l.path+".damaged"); err != nil {
			return nil, fmt.Errorf("rename corrupt log: %w", err)
		}
	}
	opened, err := os.OpenFile(l.path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	l.file = opened
	if validSize == 0 { // Corrupt, new, or left incomplete by an interrupted creation.
		if err := l.Replace(nil); err != nil {
			return nil, err
		}
		return nil, corruptErr
	}
	l.endOffset, l.mayHaveTail = int64(validSize), true
	if err := l.truncateTail(); err != nil {
		return nil, err
	}
	// The previous process may have crashed between write and sync. The records would then be only in the page cache,
	// and they must be durable before the caller acts on them.
	if err := l.file.Sync(); err != nil {
		return nil, fmt.Errorf("sync log: %w", err)
	}
	return records, nil
}

// Append writes records in a single write and waits until they are on disk. After an error none of them is part of the
// log, and Append may be called again. Each record must be 1 byte to 4 MiB long.
func (l *Log) Append(records [][]byte) error {
	content, err := appendRecords(nil, records)
	if err != nil {
		return err
	}
	if err := l.prepareAppend(); err != nil {
		return err
	}
	l.mayHaveTail = true
	if _, err := l.file.Write(content); err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	// After a failed sync the kernel may mark the unwritten pages clean, so that a second sync succeeds without writing
	// them. Therefore the sync is not retried: mayHaveTail stays set, and the next Append truncates these records
	// before it writes its own.
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	l.endOffset += int64(len(content))
	l.mayHaveTail = false
	return nil
}

// prepareAppend syncs the directory after a rename and truncates what a failed Append left, if needed. No record may be
// acknowledged until both have succeeded: it would follow an incomplete record, or be in a file whose rename a crash
// can undo.
func (l *Log) prepareAppend() error {
	if l.needsDirectorySync {
		if err := l.syncDirectory(filepath.Dir(l.path)); err != nil {
			return fmt.Errorf("sync log's directory: %w", err)
		}
		l.needsDirectorySync = false
	}
	return l.truncateTail()
}

// truncateTail removes any bytes after the last durable record and seeks to its end. It does nothing unless
// mayHaveTail.
func (l *Log) truncateTail() error {
	if !l.mayHaveTail {
		return nil
	}
	if err := l.file.Truncate(l.endOffset); err != nil {
		return fmt.Errorf("truncate log: %w", err)
	}
	if _, err := l.file.Seek(l.endOffset, io.SeekStart); err != nil {
		return fmt.Errorf("seek to end of log: %w", err)
	}
	l.mayHaveTail = false
	return nil
}

// Replace atomically replaces all records of the log and waits until the change is on disk. After an error the log
// holds either the old or the new records; a later Append acknowledges nothing until it is certain which of them a
// crash would leave.
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
		return fmt.Errorf("rename new log over old log: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.endOffset, l.mayHaveTail, l.needsDirectorySync = replacement, int64(len(content)), false, true
	return l.prepareAppend()
}

// writeFile creates or overwrites a file with content, syncs it, and returns it open and positioned at its end.
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

// syncDirectory makes a directory's entries durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

// Close closes the log and releases its lock. It returns no error, as all acknowledged records are already on disk.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
}
