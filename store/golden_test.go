package store

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the fixtures in testdata anew")

// fixtureRecords are what the fixtures hold: of one byte, with zeros in it, and longer than a page.
func fixtureRecords() [][]byte {
	return [][]byte{{1}, []byte("term 3, vote b1"), {0, 0, 7, 0}, bytes.Repeat([]byte("entry "), 900), []byte("last")}
}

// A replica is upgraded and its log is unreadable, or read as damaged: it comes back without its vote and its entries.
// The fixtures are files that version 860147b wrote; each is opened, shows the same records, and is written the same to
// the byte.
func TestStoredLogsStayReadable(t *testing.T) {
	written := filepath.Join(t.TempDir(), "log")
	l, _, err := Open(written)
	if err != nil {
		t.Fatal(err)
	}
	records := fixtureRecords()
	if err := errors.Join(l.Replace(records[:2]), l.Append(records[2:4]), l.Append(records[4:])); err != nil {
		t.Fatal(err)
	}
	l.Close()
	whole, err := os.ReadFile(written)
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(whole)
	flipped[len(flipped)-3] ^= 4
	for _, c := range []struct {
		fixture string
		bytes   []byte
		records [][]byte
		err     error
	}{
		{"whole.log", whole, records, nil},
		{"torn-tail.log", whole[:len(whole)-2], records[:4], nil},
		{"zero-tail.log", append(bytes.Clone(whole[:len(whole)-12]), make([]byte, 40)...), records[:4], nil},
		{"torn-header.log", whole[:5], nil, nil},
		{"damaged.log", flipped, nil, ErrCorrupt},
	} {
		t.Run(c.fixture, func(t *testing.T) {
			path := filepath.Join("testdata", c.fixture)
			if *update {
				if err := os.WriteFile(path, c.bytes, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			stored, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(stored, c.bytes) {
				t.Errorf("the same records are written otherwise: %d bytes, stored %d", len(c.bytes), len(stored))
			}
			opensAs(t, stored, c.records, c.err)
		})
	}
}

// opensAs opens a copy of a stored file, adds a record, and opens it again.
func opensAs(t *testing.T, stored []byte, want [][]byte, wantErr error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	l, got, err := Open(path)
	if !errors.Is(err, wantErr) || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%d records and %v, want %d and %v", len(got), err, len(want), wantErr)
	}
	if err := l.Append([][]byte{[]byte("after")}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	kept, err := os.ReadFile(path + ".damaged")
	if isKept := err == nil && bytes.Equal(kept, stored); isKept != (wantErr != nil) {
		t.Errorf("kept aside: %t", isKept)
	}
	l, got, err = Open(path)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(append(want[:len(want):len(want)], []byte("after"))) {
		t.Fatalf("after one more: %d records, %v", len(got), err)
	}
	l.Close()
}
