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

// faultyFile fails as a disk does: writes that end short, syncs after which nobody knows what is on the disk.
type faultyFile struct {
	file
	short     int // so many bytes of the next write go through, then ENOSPC; -1: all
	failsSync bool
	noCut     bool // truncating fails too
}

func (f *faultyFile) Write(text []byte) (int, error) {
	if f.short < 0 || f.short >= len(text) {
		return f.file.Write(text)
	}
	n, _ := f.file.Write(text[:f.short])
	return n, syscall.ENOSPC
}

func (f *faultyFile) Sync() error {
	if f.failsSync {
		return syscall.EIO
	}
	return f.file.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if f.noCut {
		return syscall.EIO
	}
	return f.file.Truncate(size)
}

func opened(t *testing.T, path string, want ...string) *Log {
	t.Helper()
	l, records, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range records {
		got = append(got, string(r))
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("the records are %q, want %q", got, want)
	}
	return l
}

func add(t *testing.T, l *Log, record string) {
	t.Helper()
	if err := l.Append([][]byte{[]byte(record)}); err != nil {
		t.Fatal(err)
	}
}

// A write or a sync fails for a while: what was acknowledged stays, also what comes after it, and what was not does not stand in between.
func TestFoldersThatFailForAWhile(t *testing.T) {
	for name, fail := range map[string]func(f *faultyFile){
		"a write that ends short": func(f *faultyFile) { f.short = 7 },
		"a write of nothing":      func(f *faultyFile) { f.short = 0 },
		"a sync":                  func(f *faultyFile) { f.failsSync = true },
		"a write that ends short, and can't be cut off": func(f *faultyFile) { f.short, f.noCut = 11, true },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			l := opened(t, path)
			add(t, l, "first")
			faulty := &faultyFile{file: l.file, short: -1}
			l.file = faulty
			fail(faulty)
			for range 2 {
				if err := l.Append([][]byte{[]byte("not acknowledged")}); err == nil {
					t.Fatal("it is acknowledged")
				}
			}
			*faulty = faultyFile{file: faulty.file, short: -1}
			add(t, l, "second")
			add(t, l, "third")
			l.Close()
			opened(t, path, "first", "second", "third").Close()
		})
	}
}

// A crash can leave zeros behind the last record: they are no records, and no damage.
func TestZerosAreNoRecords(t *testing.T) {
	for _, zeros := range []int{1, 7, 8, 24, 4096} {
		path := filepath.Join(t.TempDir(), "log")
		l := opened(t, path)
		add(t, l, "first")
		l.Close()
		at, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		at.Write(make([]byte, zeros))
		at.Close()
		l = opened(t, path, "first")
		add(t, l, "second")
		l.Close()
		opened(t, path, "first", "second").Close()
	}
	path := filepath.Join(t.TempDir(), "log")
	l := opened(t, path)
	add(t, l, "first")
	if err := l.Append([][]byte{{}}); err == nil {
		t.Error("an empty record is taken")
	}
	l.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = append(append(text, make([]byte, headOf)...), 1) // Zeros and more behind them.
	os.WriteFile(path, text, 0o600)
	if l, _, err := Open(path); !errors.Is(err, ErrCorrupt) {
		t.Errorf("zeros amid the file: %v", err)
	} else {
		l.Close()
	}
}

// A swap whose folder can't be synced may be undone by a crash: until it is, nothing is acknowledged that stands only in the new file.
func TestASwapThatMayBeUndoneAcknowledgesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := opened(t, path)
	add(t, l, "first")
	syncs := true
	l.syncFolder = func(string) error {
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
	add(t, l, "second")
	l.Close()
	text, _ := os.ReadFile(path)
	if !bytes.Contains(text, []byte("second")) || bytes.Contains(text, []byte("lost with")) {
		t.Errorf("%q", text)
	}
}
