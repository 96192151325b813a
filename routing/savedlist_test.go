package routing

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/fakes"
	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/settings"
	"hollylever/snapshot"
	"hollylever/transport"
)

const (
	testDiscovery  = "127.0.0.1:1"
	otherDiscovery = "127.0.0.1:2"
)

// newListBalancer returns a balancer that was started with a configured list and what other processes left.
func newListBalancer(t *testing.T, configured string, previous Previous, values map[string]any) *Balancer {
	t.Helper()
	all := settings.Flatten(gjson.Parse(testSettings))
	for name, value := range values {
		all[name] = value
	}
	pool := transport.NewPool(8, time.Minute, time.Second)
	b, err := New(all, []byte(configured), testDiscovery, 1, pool, 1<<20, "", previous, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// savedBy returns the list that a process saves which was started with a configured list.
func savedBy(t *testing.T, configured, discovery string, generation, index uint64, entries ...string) *snapshot.EndpointList {
	t.Helper()
	list, err := protocol.ParseEndpointList([]byte(configured))
	if err != nil {
		t.Fatal(err)
	}
	return &snapshot.EndpointList{DiscoveryServer: discovery, Generation: generation, Index: index, ConfiguredDigest: listDigest(list),
		ToldAt: int64(index), Endpoints: []byte(fakes.List(int(index), true, entries...))}
}

func longAgo(list *snapshot.EndpointList) *snapshot.EndpointList {
	list.Age = maxIndexAge + 1
	return list
}

// readyEndpoints returns the names of the endpoints that may be sent to.
func (b *Balancer) readyEndpoints() (names []string) {
	for _, e := range b.endpoints.all {
		if e.name != "" && b.effectiveHealth(&e) == policy.Ready {
			names = append(names, e.name)
		}
	}
	slices.Sort(names)
	return names
}

func readyEntry(name string) string { return fakes.Entry(name, "127.0.0.1:9"+name, "Ready") }

func drainingEntry(name string) string { return fakes.Entry(name, "127.0.0.1:9"+name, "Terminating") }

// A saved list is as long valid as discovery has told nothing else. Guards against a drain that is lost because the
// saved list is refused, and against an old list that replaces a newer one, or hides the lists of a server that was
// rebuilt: each combination of a configured and saved lists has the endpoints, the index to ask discovery for changes
// after, and the generation that are stated here.
func TestWhichSavedListIsRestored(t *testing.T) {
	abc := []string{readyEntry("1"), readyEntry("2"), readyEntry("3")}
	configured, refreshed := fakes.List(10, true, abc...), fakes.List(12, true, abc...)
	replaced := fakes.List(3, true, readyEntry("7"), readyEntry("8"))
	drains2 := []string{readyEntry("1"), drainingEntry("2"), readyEntry("3")}
	drains3 := []string{readyEntry("1"), readyEntry("2"), drainingEntry("3")}
	moved := []string{readyEntry("4"), readyEntry("5"), readyEntry("6"), readyEntry("1")}
	for name, c := range map[string]struct {
		configured     string
		lists          []*snapshot.EndpointList
		want           []string
		wantIndex      uint64
		wantGeneration uint64
	}{
		"none": {configured, nil, []string{"1", "2", "3"}, 10, 1},
		"a drain after the same configured list": {configured,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 11, drains2...)}, []string{"1", "3"}, 11, 1},
		"the newest of several, whoever wrote last": {configured,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 12, drains2...), savedBy(t, configured, testDiscovery, 1, 11, drains3...)}, []string{"1", "3"}, 12, 1},
		"the later generation, with a lower index": {configured,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 50, drains2...), savedBy(t, configured, testDiscovery, 2, 4, drains3...)}, []string{"1", "2"}, 4, 2},
		"a configured list that is as new": {refreshed,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 12, drains2...)}, []string{"1", "2", "3"}, 12, 1},
		"another configured list that is older": {refreshed,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 13, drains2...)}, []string{"1", "3"}, 13, 1},
		"most endpoints replaced since the same configured list": {configured,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 90, moved...)}, []string{"1", "4", "5", "6"}, 90, 1},
		"a rebuilt server with other endpoints": {replaced,
			[]*snapshot.EndpointList{savedBy(t, configured, testDiscovery, 1, 11, drains2...)}, []string{"7", "8"}, 3, 2},
		"another server, after the same configured list": {configured,
			[]*snapshot.EndpointList{savedBy(t, configured, otherDiscovery, 1, 70, drains2...)}, []string{"1", "3"}, 0, 2},
		"another server and another configured list": {refreshed,
			[]*snapshot.EndpointList{savedBy(t, configured, otherDiscovery, 1, 70, drains2...)}, []string{"1", "2", "3"}, 12, 2},
		"this server rather than another": {configured,
			[]*snapshot.EndpointList{savedBy(t, configured, otherDiscovery, 1, 70, drains2...), savedBy(t, configured, testDiscovery, 1, 11, drains3...)}, []string{"1", "2"}, 11, 1},
		"told long ago, by a server that may have been rebuilt": {configured,
			[]*snapshot.EndpointList{longAgo(savedBy(t, configured, testDiscovery, 1, 11, drains2...))}, []string{"1", "3"}, 0, 2},
		"not a list": {configured, []*snapshot.EndpointList{{DiscoveryServer: testDiscovery, Generation: 1, Index: 11, Endpoints: []byte("{")}}, []string{"1", "2", "3"}, 10, 2},
	} {
		b := newListBalancer(t, c.configured, Previous{Lists: c.lists}, nil)
		if got := b.readyEndpoints(); !slices.Equal(got, c.want) || b.list.index != c.wantIndex || b.list.generation != c.wantGeneration {
			t.Errorf("%s: ready %v, index %d, generation %d; want %v, %d, %d", name, got, b.list.index, b.list.generation, c.want, c.wantIndex, c.wantGeneration)
		}
	}
}

// The previous version saves its list with what it learned, and nowhere else. Guards against a drain that is lost, or
// undone, by an upgrade from that version, or by one back to it and forth again.
func TestListOfPreviousVersionIsRestoredIfNewer(t *testing.T) {
	configured := fakes.List(10, true, readyEntry("1"), readyEntry("2"))
	learned := func(index, generation uint64, entries ...string) *snapshot.Snapshot {
		return &snapshot.Snapshot{DiscoveryServer: testDiscovery, ListIndex: index, ListGeneration: generation, EndpointList: []byte(fakes.List(int(index), true, entries...))}
	}
	drained := savedBy(t, configured, testDiscovery, 2, 20, readyEntry("1"), drainingEntry("2"))
	for name, c := range map[string]struct {
		list *snapshot.EndpointList
		from *snapshot.Snapshot
		want []string
	}{
		"no saved list":                {nil, learned(11, 0, readyEntry("1"), drainingEntry("2")), []string{"1"}},
		"newer than the saved list":    {drained, learned(21, 0, drainingEntry("1"), readyEntry("2")), []string{"2"}},
		"older than the saved list":    {drained, learned(19, 0, drainingEntry("1"), readyEntry("2")), []string{"1"}},
		"of an earlier generation":     {drained, learned(40, 1, drainingEntry("1"), readyEntry("2")), []string{"1"}},
		"as new as the saved list":     {drained, learned(20, 2, drainingEntry("1"), readyEntry("2")), []string{"1"}},
		"newer, of the own generation": {drained, learned(21, 2, drainingEntry("1"), readyEntry("2")), []string{"2"}},
	} {
		previous := Previous{Snapshot: c.from}
		if c.list != nil {
			previous.Lists = append(previous.Lists, c.list)
		}
		if got := newListBalancer(t, configured, previous, nil).readyEndpoints(); !slices.Equal(got, c.want) {
			t.Errorf("%s: ready %v, want %v", name, got, c.want)
		}
	}
}

// Discovery tells of a drain in a quiet time, and an operator goes back to the version before, which reads the snapshot
// only. Guards against a snapshot that is not written for want of requests.
func TestSnapshotIsDueWhenListChanges(t *testing.T) {
	b := newListBalancer(t, fakes.List(10, true, readyEntry("1"), readyEntry("2")), Previous{}, nil)
	path := filepath.Join(t.TempDir(), "learnt")
	writer := b.NewSnapshotWriter(path, "n1")
	write := func() {
		t.Helper()
		if err := writer.Write(); err != nil {
			t.Fatal(err)
		}
	}
	if write(); writer.LockHeld != 0 {
		t.Error("a snapshot is written before any request or change")
	}
	b.applyTestList(t, fakes.List(11, false, drainingEntry("2")))
	write()
	read, err := (&snapshot.File{Path: path}).Read("n1", Fingerprint(b.settings), time.Now(), time.Minute)
	if err != nil || read == nil || read.ListIndex != 11 {
		t.Fatalf("the snapshot is %+v, %v; want one with the list of index 11", read, err)
	}
	writer.LockHeld = 0
	if write(); writer.LockHeld != 0 {
		t.Error("another snapshot is written without a request or a change")
	}
}

// Both processes of an upgrade watch discovery, and one may be told later than the other. Guards against a list that
// the late watch delivers and that undoes what the other process was told since, and against an adopted list that hides
// one of a rebuilt server.
func TestAdoptedListIsNotUndoneByLateWatch(t *testing.T) {
	configured := fakes.List(10, true, readyEntry("1"), readyEntry("2"))
	b := newListBalancer(t, configured, Previous{}, nil)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := &listWatch{balancer: b, ctx: ctx, cancel: cancel, index: 10}
	deliver := func(index int, isFull bool, entries ...string) {
		t.Helper()
		if err := b.applyWatchedList(watch, []byte(fakes.List(index, isFull, entries...))); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(what string, index, generation uint64, want ...string) {
		t.Helper()
		if got := b.readyEndpoints(); !slices.Equal(got, want) || b.list.index != index || b.list.generation != generation {
			t.Errorf("%s: ready %v, index %d, generation %d; want %v, %d, %d", what, got, b.list.index, b.list.generation, want, index, generation)
		}
	}
	adopt := func(list *snapshot.EndpointList) {
		t.Helper()
		if err := b.adoptList(list); err != nil {
			t.Fatal(err)
		}
	}
	adopt(savedBy(t, configured, testDiscovery, 1, 13, readyEntry("1"), drainingEntry("2")))
	expect("adopted", 13, 1, "1")
	deliver(12, false, readyEntry("2"))
	expect("a late change", 13, 1, "1")
	deliver(12, true, readyEntry("1"), readyEntry("2"))
	expect("a late full list", 13, 1, "1")
	adopt(savedBy(t, configured, testDiscovery, 1, 12, drainingEntry("1"), readyEntry("2")))
	expect("an older list of another process", 13, 1, "1")
	adopt(savedBy(t, configured, otherDiscovery, 1, 99, drainingEntry("1"), readyEntry("2")))
	expect("a list of another server", 13, 1, "1")
	deliver(14, false, readyEntry("2"))
	expect("taken back", 14, 1, "1", "2")
	deliver(2, true, drainingEntry("1"), readyEntry("2"))
	expect("a rebuilt server", 2, 2, "2")
	adopt(savedBy(t, configured, testDiscovery, 1, 15, readyEntry("1"), drainingEntry("2")))
	expect("a list of the server before", 2, 2, "2")
	deliver(3, false, readyEntry("1"))
	expect("and its next list", 3, 2, "1", "2")
}

// The next process has other settings, with a zone and a machine type that this one's do not name. Guards against a saved
// list that has lost them: discovery is asked for later changes only, so the next process would never learn them.
func TestSavedListKeepsNamesThatSettingsLack(t *testing.T) {
	configured := fakes.List(10, true, readyEntry("1"))
	files := func() *snapshot.EndpointListFiles {
		return snapshot.NewEndpointListFiles(filepath.Join(t.TempDir(), "list"), 1, 0)
	}()
	old := newListBalancer(t, configured, Previous{}, nil)
	old.applyTestList(t, fakes.List(11, false, fakes.EntryIn("z9", "2", "127.0.0.1:92", "type9", "Ready", 1, 0)))
	if err := (&listKeeper{balancer: old, files: files}).write(); err != nil {
		t.Fatal(err)
	}
	lists, err := files.ReadChanged(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(`"hostTypes":["std"]`, `"hostTypes":["std","type9"]`, `"zones":["z"]`, `"zones":["z","z9"]`).Replace(testSettings)
	young := newListBalancer(t, configured, Previous{Lists: lists}, settings.Flatten(gjson.Parse(changed)))
	i, isListed := young.endpoints.byName["2"]
	if !isListed || young.endpoints.all[i].zone != young.catalog.zone("z9") || young.endpoints.all[i].machineType != young.catalog.machineType("type9") {
		t.Errorf("listed %t, as %+v; want zone %d, type %d", isListed, young.endpoints.all[i], young.catalog.zone("z9"), young.catalog.machineType("type9"))
	}
}

// A change may come while the list is being saved, or shortly after that. Guards against a change that no save has: what
// is saved in the end is the last list, and it names only endpoints that drained as gone.
func TestLastChangeIsSaved(t *testing.T) {
	directory := t.TempDir()
	files := func(own int) *snapshot.EndpointListFiles {
		return snapshot.NewEndpointListFiles(filepath.Join(directory, "list"), 2, own)
	}
	configured := fakes.List(1, true, readyEntry("1"), readyEntry("2"), readyEntry("3"), readyEntry("4"))
	b := newListBalancer(t, configured, Previous{}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.KeepList(ctx, files(0), true); close(done) }()
	defer func() { cancel(); <-done }()
	for n := range 200 {
		status := []string{"Ready", "Terminating"}[n%2]
		b.applyTestList(t, fakes.List(2+n, false, fakes.Entry("2", "127.0.0.1:92", status), fakes.Entry("3", "127.0.0.1:93", "Terminating")))
	}
	b.applyTestList(t, fakes.List(500, false, fakes.Entry("3", "127.0.0.1:93", "Gone"), fakes.Entry("4", "127.0.0.1:94", "Gone")))
	var last *snapshot.EndpointList
	for end := time.Now().Add(eventTimeout); last == nil || last.Index != 500; time.Sleep(time.Millisecond) {
		lists, err := files(1).ReadChanged(time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if len(lists) > 0 {
			last = lists[0]
		}
		if time.Now().After(end) {
			t.Fatalf("the last list is not saved; saved is %+v", last)
		}
	}
	list, err := protocol.ParseEndpointList(last.Endpoints)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]protocol.EndpointStatus{}
	for _, e := range list.Endpoints {
		got[e.Name] = e.Status
	}
	want := map[string]protocol.EndpointStatus{"1": protocol.EndpointReady, "2": protocol.EndpointDraining, "3": protocol.EndpointGone}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("saved is %v, want %v", got, want)
	}
	entries, _ := os.ReadDir(directory)
	if len(entries) != 1 {
		t.Errorf("%v are left, want one file", entries)
	}
}
