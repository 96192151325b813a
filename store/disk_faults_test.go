package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// faultyFile injects disk faults: short writes, failed syncs and failed truncates.
type faultyFile struct {
	file
	writeLimit   int // bytes that a write stores before it returns ENOSPC; -1: no limit
	failSync     bool
	failTruncate bool
}

func (f *faultyFile) Write(content []byte) (int, error) {
	if f.writeLimit < 0 || f.writeLimit >= len(content) {
		return f.file.Write(content)
	}
	n, _ := f.file.Write(content[:f.writeLimit])
	return n, syscall.ENOSPC
}

func (f *faultyFile) Sync() error {
	if f.failSync {
		return syscall.EIO
	}
	return f.file.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if f.failTruncate {
		return syscall.EIO
	}
	return f.file.Truncate(size)
}

// openAndCheck opens a log and fails the test unless it holds exactly these records.
func openAndCheck(t *testing.T, path string, want ...string) *Log {
	t.Helper()
	l, records, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, record := range records {
		got = append(got, string(record))
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("records %q, want %q", got, want)
	}
	return l
}

// appendRecord appends one record and fails the test on an error.
func appendRecord(t *testing.T, l *Log, record string) {
	t.Helper()
	if err := l.Append([][]byte{[]byte(record)}); err != nil {
		t.Fatal(err)
	}
}

// The disk is full or fails temporarily, then recovers. An incomplete record written meanwhile must not remain before
// later ones: the next Open would stop reading at it and lose the acknowledged records that follow.
func TestTransientDiskFaultLosesNoAcknowledgedRecord(t *testing.T) {
	for name, fail := range map[string]func(f *faultyFile){
		"short write":                         func(f *faultyFile) { f.writeLimit = 7 },
		"write of no bytes":                   func(f *faultyFile) { f.writeLimit = 0 },
		"failed sync":                         func(f *faultyFile) { f.failSync = true },
		"short write that can't be truncated": func(f *faultyFile) { f.writeLimit, f.failTruncate = 11, true },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			l := openAndCheck(t, path)
			appendRecord(t, l, "first")
			faulty := &faultyFile{file: l.file, writeLimit: -1}
			l.file = faulty
			fail(faulty)
			for range 2 {
				if err := l.Append([][]byte{[]byte("not acknowledged")}); err == nil {
					t.Fatal("a failed append returned no error")
				}
			}
			*faulty = faultyFile{file: faulty.file, writeLimit: -1}
			appendRecord(t, l, "second")
			appendRecord(t, l, "third")
			l.Close()
			openAndCheck(t, path, "first", "second", "third").Close()
		})
	}
}

// After a crash a file can have its new length without the new bytes, and then ends in zeros. If these were treated as
// corruption, the replica would lose all it has stored; so they are ignored, unless other bytes follow them.
func TestZerosAfterTheLastRecordAreIgnored(t *testing.T) {
	for _, zeros := range []int{1, 7, 8, 24, 4096} {
		path := filepath.Join(t.TempDir(), "log")
		l := openAndCheck(t, path)
		appendRecord(t, l, "first")
		l.Close()
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.Write(make([]byte, zeros))
		f.Close()
		l = openAndCheck(t, path, "first")
		appendRecord(t, l, "second")
		l.Close()
		openAndCheck(t, path, "first", "second").Close()
	}
	path := filepath.Join(t.TempDir(), "log")
	l := openAndCheck(t, path)
	appendRecord(t, l, "first")
	if err := l.Append([][]byte{{}}); err == nil {
		t.Error("an empty record is accepted")
	}
	l.Close()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content = append(append(content, make([]byte, recordHeaderSize)...), 1) // A header of zeros, followed by another byte.
	os.WriteFile(path, content, 0o600)
	if l, _, err := Open(path); !errors.Is(err, ErrCorrupt) {
		t.Errorf("zeros followed by other bytes: error %v, want ErrCorrupt", err)
	} else {
		l.Close()
	}
}

// If syncing the directory fails after Replace, a crash may restore the old file, and records acknowledged in the new
// one would be lost. So nothing may be acknowledged until the directory has been synced.
func TestAppendIsNotAcknowledgedBeforeRenameIsDurable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := openAndCheck(t, path)
	appendRecord(t, l, "first")
	syncSucceeds := true
	l.syncDirectory = func(string) error {
		if syncSucceeds {
			return nil
		}
		return syscall.EIO
	}
	syncSucceeds = false
	if err := l.Replace([][]byte{[]byte("replacement")}); err == nil {
		t.Error("Replace returned no error although its rename may be undone")
	}
	if err := l.Append([][]byte{[]byte("lost with the new file")}); err == nil {
		t.Error("Append returned no error although the file's rename may be undone")
	}
	syncSucceeds = true
	appendRecord(t, l, "second")
	l.Close()
	content, _ := os.ReadFile(path)
	if !bytes.Contains(content, []byte("second")) || bytes.Contains(content, []byte("lost with")) {
		t.Errorf("content of the log is %q", content)
	}
}
