package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// The machine loses power amid an append, and the file ends anywhere. A replica that then refused its log would need a
// person to come back, and one that took half a record would act on what nobody wrote: all complete records are there,
// and appending goes on.
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
			t.Fatalf("cut at %d: %d records, not %d, %v", cut, len(records), want, err)
		}
		if err := l.Append([][]byte{[]byte("more")}); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if l, records, err = Open(path); err != nil || len(records) != want+1 || string(records[want]) != "more" {
			t.Fatalf("cut at %d, then one more: %d records, %v", cut, len(records), err)
		}
		l.Close()
	}
}

// A disk returns another byte than was written. A replica that went on with what is left could vote twice in a term:
// nothing of the file is used, the caller is told so, and the file stays for whoever looks into it.
func TestDamagedLogIsReportedAndPutAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l, _, _ := Open(path)
	l.Replace([][]byte{[]byte("one"), []byte("two"), []byte("three")})
	if _, _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	l.Close()
	content, _ := os.ReadFile(path)
	for offset := range content {
		damaged := bytes.Clone(content)
		damaged[offset] ^= 0x40
		os.WriteFile(path, damaged, 0o600)
		l, records, err := Open(path)
		if err == nil && len(records) == 3 {
			t.Fatalf("byte %d is changed, and all three records are returned", offset)
		}
		for n, record := range records { // A length that grew looks like a torn tail: the records before it are complete.
			if string(record) != []string{"one", "two", "three"}[n] {
				t.Fatalf("byte %d is changed: record %d is %q", offset, n, record)
			}
		}
		if errors.Is(err, ErrCorrupt) {
			if aside, err := os.ReadFile(path + ".damaged"); err != nil || len(aside) != len(content) {
				t.Fatalf("byte %d: the damaged file is not kept", offset)
			}
		}
		l.Close()
	}
}
