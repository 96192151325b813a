package snapshot

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"
)

func fixtureList() *EndpointList {
	return &EndpointList{DiscoveryServer: "127.0.0.1:7000", Generation: 3, Index: 99, ConfiguredDigest: 0x1122334455667788, ToldAt: now.UnixNano(),
		BootID: "another start", SinceBoot: 77, Endpoints: []byte(`{"index":99}`)}
}

// listFiles returns the files of three processes, as the process with a number sees them.
func listFiles(directory string, own int) *EndpointListFiles {
	return NewEndpointListFiles(filepath.Join(directory, "list"), 3, own)
}

// expectLists reads what has changed and compares the indices of the lists in it.
func expectLists(t *testing.T, what string, f *EndpointListFiles, want ...uint64) {
	t.Helper()
	lists, err := f.ReadChanged(now)
	var got []uint64
	for _, list := range lists {
		got = append(got, list.Index)
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: lists %v, %v; want %v", what, got, err, want)
	}
}

// Processes save their lists at the same time and in any order. Guards against one that overwrites another's list, and
// against a list that a running process reads again and again or not at all.
func TestEachProcessSavesAndReadsLists(t *testing.T) {
	directory := t.TempDir()
	first, second := listFiles(directory, 0), listFiles(directory, 2)
	expectLists(t, "no files", first)
	list := fixtureList()
	for index := range uint64(3) {
		list.Index = 10 + index
		if err := first.Write(list); err != nil {
			t.Fatal(err)
		}
	}
	expectLists(t, "another's file", second, 12)
	expectLists(t, "an unchanged file", second)
	list.Index = 5
	if err := second.Write(list); err != nil {
		t.Fatal(err)
	}
	expectLists(t, "the own file, while running", second)
	expectLists(t, "another's older list", first, 5)
	expectLists(t, "both, by the next process", listFiles(directory, 0), 12, 5)
}

// If the file format changed with a renamed field, an upgraded process would not know of the drains that the process
// before it was told of. Writing this content must produce the bytes of the fixture, and reading them the same content.
func TestStoredEndpointListStaysReadable(t *testing.T) {
	path := filepath.Join("testdata", "list-v1")
	directory := t.TempDir()
	if err := listFiles(directory, 0).Write(fixtureList()); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(directory, "list.0"))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, written, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(written, stored) {
		t.Errorf("the bytes written differ from the fixture: %x, fixture has %x, %v", written, stored, err)
	}
	lists, err := listFiles(directory, 1).ReadChanged(now.Add(2 * time.Second))
	want := fixtureList()
	want.Age = 2 * time.Second
	if err != nil || len(lists) != 1 || !reflect.DeepEqual(lists[0], want) {
		t.Errorf("read as %+v, %v; want %+v", lists, err, want)
	}
}

// A full disk, a killed process or another user can leave a list that is truncated, damaged or foreign. Applying it
// would send requests to whatever it names. Each is refused, once, and the other processes' lists are read all the same.
func TestUnusableEndpointListIsRefused(t *testing.T) {
	directory := t.TempDir()
	if err := listFiles(directory, 1).Write(fixtureList()); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(directory, "list.1"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(directory, "list.0")
	refused := func(what string, put func() error) {
		t.Helper()
		os.Remove(path)
		if err := put(); err != nil {
			t.Fatal(err)
		}
		f := listFiles(directory, 2)
		lists, err := f.ReadChanged(now)
		if len(lists) != 1 || lists[0].Index != 99 || err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %d lists, %v; want the other process's list and an error for this one", what, len(lists), err)
		}
		expectLists(t, what+", read again", f)
	}
	write := func(content []byte) func() error {
		return func() error { return os.WriteFile(path, content, 0o600) }
	}
	for n := range content {
		refused("truncated", write(content[:n]))
		changed := append([]byte(nil), content...)
		changed[n] ^= 1 << (n % 8)
		refused("damaged", write(changed))
	}
	refused("too long", write(append(content, 0)))
	refused("over the limit", write(make([]byte, maxFileSize+2)))
	noGeneration := fixtureList()
	noGeneration.Generation = 0
	encoded, err := listFormat.encode(nil, noGeneration)
	if err != nil {
		t.Fatal(err)
	}
	refused("without a generation", write(encoded))
	snapshot, err := snapshotFormat.encode(nil, sampleSnapshot(1))
	if err != nil {
		t.Fatal(err)
	}
	refused("a snapshot", write(snapshot))
	refused("a link", func() error { return os.Symlink(filepath.Join(directory, "list.1"), path) })
	refused("a pipe", func() error { return syscall.Mkfifo(path, 0o600) })
	refused("a directory", func() error { return os.Mkdir(path, 0o700) })
	if os.Geteuid() == 0 {
		refused("another user's", func() error { return errors.Join(os.WriteFile(path, content, 0o600), os.Chown(path, 12345, 12345)) })
	}
}
