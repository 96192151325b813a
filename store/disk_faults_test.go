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

// faultyFile fails as a disk does: short writes, and syncs after which nobody knows what is on the disk.
type faultyFile struct {
	file
	writeLimit    int // bytes of the next write that go through before ENOSPC; -1: all
	failsSync     bool
	failsTruncate bool
}

func (f *faultyFile) Write(content []byte) (int, error) {
	if f.writeLimit < 0 || f.writeLimit >= len(content) {
		return f.file.Write(content)
	}
	n, _ := f.file.Write(content[:f.writeLimit])
	return n, syscall.ENOSPC
}

func (f *faultyFile) Sync() error {
	if f.failsSync {
		return syscall.EIO
	}
	return f.file.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if f.failsTruncate {
		return syscall.EIO
	}
	return f.file.Truncate(size)
}

// openExpecting opens a log that has to hold these records.
func openExpecting(t *testing.T, path string, want ...string) *Log {
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
		t.Fatalf("the records are %q, want %q", got, want)
	}
	return l
}

// appendRecord appends one record that has to be acknowledged.
func appendRecord(t *testing.T, l *Log, record string) {
	t.Helper()
	if err := l.Append([][]byte{[]byte(record)}); err != nil {
		t.Fatal(err)
	}
}

// The disk is full or fails for a while, and works again. A record that was torn then must not stand before later ones:
// the next start would end there, and lose what was acknowledged after it.
func TestTransientDiskFaultLosesNothingAcknowledged(t *testing.T) {
	for name, fail := range map[string]func(f *faultyFile){
		"short write":                         func(f *faultyFile) { f.writeLimit = 7 },
		"write of nothing":                    func(f *faultyFile) { f.writeLimit = 0 },
		"failed sync":                         func(f *faultyFile) { f.failsSync = true },
		"short write that can't be truncated": func(f *faultyFile) { f.writeLimit, f.failsTruncate = 11, true },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			l := openExpecting(t, path)
			appendRecord(t, l, "first")
			faulty := &faultyFile{file: l.file, writeLimit: -1}
			l.file = faulty
			fail(faulty)
			for range 2 {
				if err := l.Append([][]byte{[]byte("not acknowledged")}); err == nil {
					t.Fatal("the append is acknowledged")
				}
			}
			*faulty = faultyFile{file: faulty.file, writeLimit: -1}
			appendRecord(t, l, "second")
			appendRecord(t, l, "third")
			l.Close()
			openExpecting(t, path, "first", "second", "third").Close()
		})
	}
}

// After a crash the file can have its new length without the new bytes, and ends in zeros. Taken for damage, they would
// cost a replica all it has stored: they are no records and no damage, unless something stands behind them.
func TestZerosAfterTheLastRecordAreIgnored(t *testing.T) {
	for _, zeros := range []int{1, 7, 8, 24, 4096} {
		path := filepath.Join(t.TempDir(), "log")
		l := openExpecting(t, path)
		appendRecord(t, l, "first")
		l.Close()
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.Write(make([]byte, zeros))
		f.Close()
		l = openExpecting(t, path, "first")
		appendRecord(t, l, "second")
		l.Close()
		openExpecting(t, path, "first", "second").Close()
	}
	path := filepath.Join(t.TempDir(), "log")
	l := openExpecting(t, path)
	appendRecord(t, l, "first")
	if err := l.Append([][]byte{{}}); err == nil {
		t.Error("an empty record is taken")
	}
	l.Close()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content = append(append(content, make([]byte, recordHeaderSize)...), 1) // Zeros and more behind them.
	os.WriteFile(path, content, 0o600)
	if l, _, err := Open(path); !errors.Is(err, ErrCorrupt) {
		t.Errorf("zeros amid the file: %v", err)
	} else {
		l.Close()
	}
}

// The log has been replaced, and syncing its directory fails: a crash may bring the old file back. What is acknowledged
// meanwhile would be lost with the new file, so nothing is until the directory has been synced.
func TestNothingIsAcknowledgedWhileARenameMayBeUndone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := openExpecting(t, path)
	appendRecord(t, l, "first")
	syncs := true
	l.syncDirectory = func(string) error {
		if syncs {
			return nil
		}
		return syscall.EIO
	}
	syncs = false
	if err := l.Replace([][]byte{[]byte("swapped")}); err == nil {
		t.Error("the swap is acknowledged")
	}
	if err := l.Append([][]byte{[]byte("lost with the new file")}); err == nil {
		t.Error("what stands only in the new file is acknowledged")
	}
	syncs = true
	appendRecord(t, l, "second")
	l.Close()
	content, _ := os.ReadFile(path)
	if !bytes.Contains(content, []byte("second")) || bytes.Contains(content, []byte("lost with")) {
		t.Errorf("%q", content)
	}
}
