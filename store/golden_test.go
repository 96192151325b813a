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

var update = flag.Bool("update", false, "rewrite the fixtures in testdata")

// fixtureRecords returns the records in the fixtures, among them one of a single byte, one with zeros in it and one
// longer than a page.
func fixtureRecords() [][]byte {
	return [][]byte{{1}, []byte("term 3, vote b1"), {0, 0, 7, 0}, bytes.Repeat([]byte("entry "), 900), []byte("last")}
}

// If an upgraded replica could not read its log, or took it for corrupt, it would restart without its vote and entries.
// The fixtures were written by version 860147b. Each must be read with the same records, and writing these records must
// produce the same bytes.
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
	complete, err := os.ReadFile(written)
	if err != nil {
		t.Fatal(err)
	}
	corrupted := bytes.Clone(complete)
	corrupted[len(corrupted)-3] ^= 4
	for _, c := range []struct {
		fixture string
		bytes   []byte
		records [][]byte
		err     error
	}{
		{"whole.log", complete, records, nil},
		{"torn-tail.log", complete[:len(complete)-2], records[:4], nil},
		{"zero-tail.log", append(bytes.Clone(complete[:len(complete)-12]), make([]byte, 40)...), records[:4], nil},
		{"torn-header.log", complete[:5], nil, nil},
		{"damaged.log", corrupted, nil, ErrCorrupt},
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
				t.Errorf("the bytes written differ from the fixture: %d bytes, fixture has %d", len(c.bytes), len(stored))
			}
			checkReopens(t, stored, c.records, c.err)
		})
	}
}

// checkReopens opens a copy of a stored file, checks its records, appends one, and opens the file again. A corrupt file
// must be preserved.
func checkReopens(t *testing.T, stored []byte, want [][]byte, wantErr error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	l, got, err := Open(path)
	if !errors.Is(err, wantErr) || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%d records and error %v, want %d and %v", len(got), err, len(want), wantErr)
	}
	if err := l.Append([][]byte{[]byte("after")}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	preserved, err := os.ReadFile(path + ".damaged")
	if isPreserved := err == nil && bytes.Equal(preserved, stored); isPreserved != (wantErr != nil) {
		t.Errorf("corrupt file preserved: %t, want %t", isPreserved, wantErr != nil)
	}
	l, got, err = Open(path)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(append(want[:len(want):len(want)], []byte("after"))) {
		t.Fatalf("after one more record: %d records, error %v", len(got), err)
	}
	l.Close()
}
