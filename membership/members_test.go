package membership

import (
	"fmt"
	"testing"
	"time"
)

// Relayed states come late and out of order. Were an old one taken, a member that has restarted would seem to be what
// it was before, and its drains would come and go.
func TestOutdatedStatesAreIgnored(t *testing.T) {
	var table memberTable
	now := time.Now()
	for _, test := range []struct {
		incarnation, seq uint64
		after            time.Duration
		isNews           bool
	}{
		{5, 1, 0, true}, {5, 1, 0, false}, {5, 3, 0, true}, {5, 2, 0, false}, {4, 9, 0, false}, {6, 1, 0, true},
		{5, 99, 2 * goneTimeout, true}, // It was gone, and may have lost its files.
	} {
		if table.update(MemberState{Name: "p", Incarnation: test.incarnation, Seq: test.seq}, now.Add(test.after)) != test.isNews {
			t.Errorf("%+v", test)
		}
	}
	for n := range 2 * MaxMembers {
		table.update(MemberState{Name: fmt.Sprint("m", n), Incarnation: 1}, now)
	}
	if len(table.members) != MaxMembers {
		t.Errorf("%d members are kept", len(table.members))
	}
}

// Complete lists stay with a member while its states have the same ones, or they would be asked for every second; they
// are kept of few members, or those of a large fleet would fill the memory.
func TestCompleteListsAreKeptOfFewMembers(t *testing.T) {
	var table memberTable
	now := time.Now()
	memberNamed := func(name string) Member {
		for _, m := range table.list(now) {
			if m.Name == name {
				return m
			}
		}
		return Member{}
	}
	for n := range maxCompleteLists + 2 {
		state := stateWithLongLists(fmt.Sprint("p", n), 20, 8)
		table.update(state.truncate(maxDatagramBytes-1, true), now)
		if m := memberNamed(state.Name); !m.IsPartial() {
			t.Fatalf("%s has complete lists before they came", state.Name)
		}
		isNews := table.update(state, now)
		if m := memberNamed(state.Name); !isNews || m.IsPartial() || len(m.Drains) != longListLength {
			t.Fatalf("%s: %d drains, partial %t, news %t", state.Name, len(m.Drains), m.IsPartial(), isNews)
		}
	}
	last := fmt.Sprint("p", maxCompleteLists+1)
	if m := memberNamed("p0"); !m.IsPartial() || len(m.Drains) != 0 {
		t.Errorf("%d drains are kept of the first", len(m.Drains))
	}
	state := stateWithLongLists(last, 20, 8)
	state.Seq = 2
	table.update(state.truncate(maxDatagramBytes-1, true), now)
	if m := memberNamed(last); m.IsPartial() || len(m.Drains) != longListLength {
		t.Error("complete lists are lost with the next state")
	}
	state.Seq, state.Drains = 3, state.Drains[1:]
	if table.update(state.truncate(maxDatagramBytes-1, true), now); !memberNamed(last).IsPartial() {
		t.Error("the lists of an older state are taken for complete")
	}
}

// A fleet whose processes get new names at each start fills the member table with names that are gone. A new member
// takes the place of the one gone longest, and of none that is there.
func TestNewMemberReplacesTheOneGoneLongest(t *testing.T) {
	var table memberTable
	now := time.Now()
	for n := range MaxMembers {
		if !table.update(MemberState{Name: fmt.Sprint("p", n), Incarnation: 1}, now.Add(time.Duration(n)*time.Millisecond)) {
			t.Fatalf("member %d is not taken", n)
		}
	}
	if table.update(MemberState{Name: "new", Incarnation: 1}, now) {
		t.Error("a member more than the bound is taken while all are there")
	}
	now = now.Add(goneTimeout + 10*time.Millisecond)
	if !table.update(MemberState{Name: "new", Incarnation: 1}, now) || len(table.members) != MaxMembers {
		t.Error("a new member is not taken though others are gone")
	}
	if _, stays := table.members["p0"]; stays {
		t.Error("the one gone longest stays")
	}
}
