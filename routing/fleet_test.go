package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hollylever/policy"
)

// A member that ignores an ejection or a limit of the fleet's configuration, or keeps one that was withdrawn, behaves
// differently from the other members. The configuration must be overlaid on the list and the settings, and removed
// again; the smaller limit takes precedence.
func TestFleetConfigIsOverlaidAndSmallerLimitCounts(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	leaseChecks := 0
	b.SetLeaseCheck(func() { leaseChecks++ })
	b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1)))
	state := func() string { return fmt.Sprint(b.ejections.all["one"], b.requests.maxHeldByFleet) }
	b.ApplyFleetConfig([]string{"one"}, map[string]int64{"held": 1}, "", 0)
	if state() != "true 1" {
		t.Error("ejected and limited by the fleet:", state())
	}
	b.mu.Lock()
	b.requests.allocate()
	b.mu.Unlock()
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=100"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if answer := string((<-r.reply).bytes); answer != "-BUSY\r\n" || leaseChecks != 0 {
		t.Errorf("%q over the fleet's limit, after %d lease checks", answer, leaseChecks)
	}
	b.setEjections(manualEjections, []string{"one"})
	if b.ApplyFleetConfig(nil, map[string]int64{"held": 99}, "", 0); state() != "true 3" {
		t.Error("ejected by hand, and a fleet limit above that of the settings:", state())
	}
	b.setEjections(manualEjections, nil)
	if b.ApplyFleetConfig(nil, nil, "", 0); state() != "false 3" {
		t.Error("no ejection and no fleet limit:", state())
	}
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if <-r.reply; leaseChecks == 0 {
		t.Error("decision without a lease check")
	}
	if b.ApplyPeerDrains([]string{"one"}); !b.ejections.all["one"] {
		t.Error("a peer's drain is not applied")
	}
	b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1)))
	if index, digest, drains := b.ListState(); index != 9 || digest == 0 || len(drains) != 1 || drains[0] != (Drain{"one", 9}) {
		t.Error(index, digest, drains)
	}
}

// Members with different lists route the same keys to different endpoints. Of a list that the fleet's configuration
// excludes, only drains are applied.
func TestListOutsideFleetConfigAppliesOnlyDrains(t *testing.T) {
	for name, c := range map[string]struct {
		discovery string
		minIndex  uint64
	}{"index too low": {"", 10}, "other discovery": {"127.0.0.1:2", 0}} {
		b := newTestBalancer(t, 1<<20)
		b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1), entryJSON("two", "127.0.0.1:8", "Ready", 1)))
		b.ApplyFleetConfig(nil, nil, c.discovery, c.minIndex)
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1), entryJSON("new", "127.0.0.1:7", "Ready", 1)), "false", "true", 1))
		if _, isListed := b.endpoints.byName["new"]; isListed || b.endpoints.all[b.endpoints.byName["one"]].health != policy.Draining || b.endpoints.all[b.endpoints.byName["two"]].health != policy.Ready {
			t.Errorf("%s: %+v", name, b.endpoints.all)
		}
		b.ApplyFleetConfig(nil, nil, "", 0)
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("new", "127.0.0.1:7", "Ready", 1)), "false", "true", 1))
		if _, isListed := b.endpoints.byName["new"]; !isListed || len(b.endpoints.byName) != 1 {
			t.Errorf("%s, then allowed again: %v", name, b.endpoints.byName)
		}
	}
}
