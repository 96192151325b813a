package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// After a power loss during an append the file can end at any byte. All complete records must be read and appending
// must work: a replica that refused its log would need an operator to recover it, and one that used an incomplete
// record would act on data that was never written.
func TestLogTruncatedAtAnyByteKeepsCompleteRecords(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log")
	l, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	ends := []int{len(fileMagic)}
	for n := range 12 {
		record := fmt.Appendf(nil, "record-%d-%v", n, make([]byte, n*3))
		if err := l.Append([][]byte{record}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, ends[n]+recordHeaderSize+len(record))
	}
	l.Close()
	content, _ := os.ReadFile(path)
	for cut := range len(content) + 1 {
		os.WriteFile(path, content[:cut], 0o600)
		want := 0
		for want < 12 && ends[want+1] <= cut {
			want++
		}
		l, records, err := Open(path)
		if err != nil || len(records) != want {
			t.Fatalf("truncated at byte %d: %d records, want %d; error %v", cut, len(records), want, err)
		}
		if err := l.Append([][]byte{[]byte("more")}); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if l, records, err = Open(path); err != nil || len(records) != want+1 || string(records[want]) != "more" {
			t.Fatalf("truncated at byte %d, then one record appended: %d records, error %v", cut, len(records), err)
		}
		l.Close()
	}
}

// A disk can return a byte that differs from the one written. A replica that used the remaining records could vote
// twice in a term, so no record of the file may be used. Open must report the corruption and preserve the file for
// inspection.
func TestCorruptLogIsReportedAndRenamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l, _, _ := Open(path)
	l.Replace([][]byte{[]byte("one"), []byte("two"), []byte("three")})
	if _, _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("opened while locked: error %v, want ErrLocked", err)
	}
	l.Close()
	content, _ := os.ReadFile(path)
	for offset := range content {
		corrupted := bytes.Clone(content)
		corrupted[offset] ^= 0x40
		os.WriteFile(path, corrupted, 0o600)
		l, records, err := Open(path)
		if err == nil && len(records) == 3 {
			t.Fatalf("byte %d changed: all three records are returned", offset)
		}
		for n, record := range records { // An increased length looks like an incomplete last record: those before it are complete.
			if string(record) != []string{"one", "two", "three"}[n] {
				t.Fatalf("byte %d changed: record %d is %q", offset, n, record)
			}
		}
		if errors.Is(err, ErrCorrupt) {
			if renamed, err := os.ReadFile(path + ".damaged"); err != nil || len(renamed) != len(content) {
				t.Fatalf("byte %d changed: the corrupt file is not preserved", offset)
			}
		}
		l.Close()
	}
}
