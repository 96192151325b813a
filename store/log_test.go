package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Cut at every byte, a file comes back with all records that were whole, and goes on.
func TestCutAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log")
	l, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	ends := []int{len(magic)}
	for n := range 12 {
		r := []byte(fmt.Sprint("record-", n, "-", make([]byte, n*3)))
		if err := l.Append([][]byte{r}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, ends[n]+headOf+len(r))
	}
	l.Close()
	bytes, _ := os.ReadFile(path)
	for cut := range len(bytes) + 1 {
		os.WriteFile(path, bytes[:cut], 0o600)
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

// A bit that is not what was written is damage: it is said, nothing is taken, and what was there is kept aside.
func TestDamageIsSaid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l, _, _ := Open(path)
	l.Replace([][]byte{[]byte("one"), []byte("two"), []byte("three")})
	if _, _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	l.Close()
	bytes, _ := os.ReadFile(path)
	for at := range bytes {
		odd := append([]byte{}, bytes...)
		odd[at] ^= 0x40
		os.WriteFile(path, odd, 0o600)
		l, records, err := Open(path)
		if err == nil && len(records) == 3 {
			t.Fatalf("byte %d is changed, and all is taken", at)
		}
		for n, r := range records { // A length that grew looks like a cut: what stands before it is whole.
			if string(r) != []string{"one", "two", "three"}[n] {
				t.Fatalf("byte %d is changed: record %d is %q", at, n, r)
			}
		}
		if errors.Is(err, ErrCorrupt) {
			if aside, err := os.ReadFile(path + ".damaged"); err != nil || len(aside) != len(bytes) {
				t.Fatalf("byte %d: nothing is kept aside", at)
			}
		}
		l.Close()
	}
}
