package membership

import (
	"fmt"
	"testing"
	"time"
)

// Relayed states arrive late and out of order. Guards against accepting an outdated state, which would show a restarted
// member as it was before and make its drains appear and disappear.
func TestOutdatedStatesAreIgnored(t *testing.T) {
	var table memberTable
	now := time.Now()
	for _, test := range []struct {
		incarnation, seq uint64
		after            time.Duration
		isNew            bool
	}{
		{5, 1, 0, true}, {5, 1, 0, false}, {5, 3, 0, true}, {5, 2, 0, false}, {4, 9, 0, false}, {6, 1, 0, true},
		{5, 99, 2 * goneTimeout, true}, // Accepted, as the member was gone and may have lost its files.
	} {
		if table.update(MemberState{Name: "p", Incarnation: test.incarnation, Seq: test.seq}, now.Add(test.after)) != test.isNew {
			t.Errorf("update did not return %t for %+v", test.isNew, test)
		}
	}
	for n := range 2 * MaxMembers {
		table.update(MemberState{Name: fmt.Sprint("m", n), Incarnation: 1}, now)
	}
	if len(table.members) != MaxMembers {
		t.Errorf("table holds %d members, want %d", len(table.members), MaxMembers)
	}
}

// The complete lists of a member are kept while its states have the same lists; otherwise they would be requested every
// second. They are kept for only a few members, so that a large fleet does not exhaust memory.
func TestCompleteListsAreKeptForFewMembers(t *testing.T) {
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
			t.Fatalf("%s: not partial before its complete lists were received", state.Name)
		}
		isNew := table.update(state, now)
		if m := memberNamed(state.Name); !isNew || m.IsPartial() || len(m.Drains) != longListLength {
			t.Fatalf("%s: %d drains, partial %t, update returned %t", state.Name, len(m.Drains), m.IsPartial(), isNew)
		}
	}
	last := fmt.Sprint("p", maxCompleteLists+1)
	if m := memberNamed("p0"); !m.IsPartial() || len(m.Drains) != 0 {
		t.Errorf("%d drains of the first member are still kept", len(m.Drains))
	}
	state := stateWithLongLists(last, 20, 8)
	state.Seq = 2
	table.update(state.truncate(maxDatagramBytes-1, true), now)
	if m := memberNamed(last); m.IsPartial() || len(m.Drains) != longListLength {
		t.Error("complete lists were dropped by the next state with the same lists")
	}
	state.Seq, state.Drains = 3, state.Drains[1:]
	if table.update(state.truncate(maxDatagramBytes-1, true), now); !memberNamed(last).IsPartial() {
		t.Error("member with changed lists is not partial")
	}
}

// If processes get a new name at each start, members that are gone fill the table. A new member must replace the one
// that has been gone for the longest time, and never one that is still present.
func TestNewMemberReplacesTheOneGoneLongest(t *testing.T) {
	var table memberTable
	now := time.Now()
	for n := range MaxMembers {
		if !table.update(MemberState{Name: fmt.Sprint("p", n), Incarnation: 1}, now.Add(time.Duration(n)*time.Millisecond)) {
			t.Fatalf("member %d was not accepted", n)
		}
	}
	if table.update(MemberState{Name: "new", Incarnation: 1}, now) {
		t.Error("accepted a member beyond MaxMembers while no other was gone")
	}
	now = now.Add(goneTimeout + 10*time.Millisecond)
	if !table.update(MemberState{Name: "new", Incarnation: 1}, now) || len(table.members) != MaxMembers {
		t.Error("new member was not accepted although others were gone")
	}
	if _, isKept := table.members["p0"]; isKept {
		t.Error("the member gone for the longest time was not replaced")
	}
}
