package consensus

import (
	"slices"
	"testing"
	"time"
)

// Guards against a process with lagging discovery that goes on sending requests to an endpoint that is shutting down,
// or that believes a peer that an endpoint is ready although its own list has it as draining. Drains from later lists
// are adopted; readiness never is.
func TestCompareListsTakesDrainsOnly(t *testing.T) {
	others := []EndpointListState{
		{Name: "a", Index: 9, Digest: 1, Drained: []DrainedEndpoint{{"old", 4}, {"h", 8}, {"odd", 12}}},
		{Name: "b", Index: 5, Digest: 3, Drained: []DrainedEndpoint{{"k", 5}}},
		{Name: "c", Index: 5, Digest: 2, Drained: []DrainedEndpoint{{"own", 3}}},
		{Name: "d", Index: 2, Drained: []DrainedEndpoint{{"past", 2}}},
	}
	c := CompareLists(5, 2, others)
	if !slices.Equal(c.DrainedEndpoints, []string{"h", "k"}) || c.PeerAhead != "a" || c.LatestIndex != 9 ||
		c.ConflictingPeer != "b" {
		t.Errorf("with an earlier list than a peer's: %+v", c)
	}
	if c = CompareLists(9, 1, others); len(c.DrainedEndpoints) > 0 || c.PeerAhead != "" || c.ConflictingPeer != "" {
		t.Errorf("with the latest list: %+v", c)
	}
}

// Guards against discovery that answers from a stale copy and so presents a draining endpoint as ready. A list that is
// rolled back is compared with the one before, until its index has caught up or has stayed lower for a minute.
func TestListRollbackGuardHoldsUntilPastOrWindow(t *testing.T) {
	var guard ListRollbackGuard
	minute := int64(time.Minute)
	for n, c := range []struct {
		at           int64
		index        uint64
		isRolledBack bool
		isNew        bool
	}{{1, 5, false, false}, {2, 9, false, false}, {3, 4, true, true}, {4, 6, true, false}, {5, 9, false, false},
		{6, 1, true, true},
		{6 + minute - 1, 2, true, false}, {6 + minute, 3, false, false}, {7 + minute, 4, false, false}} {
		list := EndpointListState{Index: c.index, Drained: []DrainedEndpoint{{"h", c.index}}}
		before, isNew := guard.Observe(c.at, list)
		if len(before) > 0 != c.isRolledBack || isNew != c.isNew {
			t.Errorf("step %d, index %d: got list %v from before the rollback, isNew %t", n, c.index, before, isNew)
		}
		if c.isRolledBack {
			if got := CompareLists(c.index, 0, before); !slices.Contains(got.DrainedEndpoints, "h") {
				t.Errorf("step %d: endpoint drained before the rollback is not drained: %+v", n, got)
			}
		}
	}
}

// Guards against log lines that nobody can act on, such as for a list that lags for a moment. A transient condition is
// not reported; a lasting one is reported once.
func TestPersistentConditionReportsOnce(t *testing.T) {
	var condition PersistentCondition
	for _, step := range []struct {
		at    int64
		holds bool
		want  bool
	}{{0, true, false}, {900 * ms, true, false}, {950 * ms, false, false}, {1000 * ms, true, false}, {1999 * ms, true,
		false}, {2000 * ms, true, true},
		{5000 * ms, true, false}, {5001 * ms, false, false}, {6000 * ms, true, false}, {7000 * ms, true, true}} {
		if got := condition.Observe(step.at, step.holds, time.Second); got != step.want {
			t.Errorf("at %v: got %t, want %t", time.Duration(step.at), got, step.want)
		}
	}
}
