package consensus

import (
	"slices"
	"testing"
	"time"
)

// A process whose discovery is late goes on sending to a host that shuts down, or, worse, takes a peer's word that a
// host is ready which its own list calls draining. Drains beyond one's own list count; that a host is ready never
// does.
func TestCompareListsTakesDrainsOnly(t *testing.T) {
	others := []EndpointListState{{Name: "a", Index: 9, Digest: 1, Drained: []DrainedEndpoint{{"old", 4}, {"h", 8},
		{"odd", 12}}}, {Name: "b", Index: 5, Digest: 3,
		Drained: []DrainedEndpoint{{"k", 5}}}, {Name: "c", Index: 5, Digest: 2, Drained: []DrainedEndpoint{{"own",
		3}}}, {Name: "d", Index: 2, Drained: []DrainedEndpoint{{"past", 2}}}}
	c := CompareLists(5, 2, others)
	if !slices.Equal(c.DrainedEndpoints, []string{"h", "k"}) || c.PeerAhead != "a" || c.LatestIndex != 9 ||
		c.ConflictingPeer != "b" {
		t.Errorf("%+v", c)
	}
	if c = CompareLists(9, 1, others); len(c.DrainedEndpoints) > 0 || c.PeerAhead != "" || c.ConflictingPeer != "" {
		t.Errorf("with the latest list: %+v", c)
	}
}

// Discovery answers from a stale copy and calls a host ready that drains. A list that goes back is held against what
// it was, until it has come past that or has stayed lower for a minute.
func TestListRollbackGuardHoldsUntilPastOrWindow(t *testing.T) {
	var o ListRollbackGuard
	minute := int64(time.Minute)
	for n, c := range []struct {
		at    int64
		index uint64
		held  bool
		went  bool
	}{{1, 5, false, false}, {2, 9, false, false}, {3, 4, true, true}, {4, 6, true, false}, {5, 9, false, false},
		{6, 1, true, true},
		{6 + minute - 1, 2, true, false}, {6 + minute, 3, false, false}, {7 + minute, 4, false, false}} {
		before, went := o.Observe(c.at, EndpointListState{Index: c.index, Drained: []DrainedEndpoint{{"h", c.index}}})
		if len(before) > 0 != c.held || went != c.went {
			t.Errorf("%d: index %d: held against %v, went %v", n, c.index, before, went)
		}
		if c.held {
			if got := CompareLists(c.index, 0, before); !slices.Contains(got.DrainedEndpoints, "h") {
				t.Errorf("%d: what was out is not out: %+v", n, got)
			}
		}
	}
}

// A list that is behind for a moment fills the log with lines that nobody can act on. What passes is not reported;
// what stays is, once.
func TestPersistentConditionReportsOnce(t *testing.T) {
	var l PersistentCondition
	for _, step := range []struct {
		at   int64
		is   bool
		says bool
	}{{0, true, false}, {900 * ms, true, false}, {950 * ms, false, false}, {1000 * ms, true, false}, {1999 * ms, true,
		false}, {2000 * ms, true, true},
		{5000 * ms, true, false}, {5001 * ms, false, false}, {6000 * ms, true, false}, {7000 * ms, true, true}} {
		if says := l.Observe(step.at, step.is, time.Second); says != step.says {
			t.Errorf("at %v: %t", time.Duration(step.at), says)
		}
	}
}
