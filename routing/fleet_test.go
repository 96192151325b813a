package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hollylever/policy"
)

// A member that ignored an ejection or a limit of the fleet, or kept one that is withdrawn, would serve by rules of
// its own. The fleet's configuration is overlaid on the list and the settings, and taken off again; the smaller limit
// counts.
func TestFleetConfigIsOverlaidAndSmallerLimitCounts(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	looks := 0
	b.SetLeaseCheck(func() { looks++ })
	b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1)))
	here := func() string { return fmt.Sprint(b.ejections.all["one"], b.requests.maxHeldByFleet) }
	b.ApplyFleetConfig([]string{"one"}, map[string]int64{"held": 1}, "", 0)
	if here() != "true 1" {
		t.Error("ejected and limited:", here())
	}
	b.mu.Lock()
	b.requests.allocate()
	b.mu.Unlock()
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=100"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if answer := string((<-r.reply).bytes); answer != "-BUSY\r\n" || looks != 0 {
		t.Errorf("%q over what is agreed on, after %d checks", answer, looks)
	}
	b.setEjections(manualEjections, []string{"one"})
	if b.ApplyFleetConfig(nil, map[string]int64{"held": 99}, "", 0); here() != "true 3" {
		t.Error("by hand, and more than the settings:", here())
	}
	b.setEjections(manualEjections, nil)
	if b.ApplyFleetConfig(nil, nil, "", 0); here() != "false 3" {
		t.Error("nothing:", here())
	}
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if <-r.reply; looks == 0 {
		t.Error("decided without a check of the lease")
	}
	if b.ApplyPeerDrains([]string{"one"}); !b.ejections.all["one"] {
		t.Error("a peer's drain is not applied")
	}
	b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1)))
	if index, digest, drains := b.ListState(); index != 9 || digest == 0 || len(drains) != 1 || drains[0] != (Drain{"one", 9}) {
		t.Error(index, digest, drains)
	}
}

// Two members that follow different lists would move requests to different endpoints. Of a list that the fleet does
// not follow drains are applied and nothing else.
func TestListOutsideFleetConfigAppliesOnlyDrains(t *testing.T) {
	for why, c := range map[string]struct {
		of   string
		from uint64
	}{"too old": {"", 10}, "another's": {"127.0.0.1:2", 0}} {
		b := newTestBalancer(t, 1<<20)
		b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1), entryJSON("two", "127.0.0.1:8", "Ready", 1)))
		b.ApplyFleetConfig(nil, nil, c.of, c.from)
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1), entryJSON("new", "127.0.0.1:7", "Ready", 1)), "false", "true", 1))
		if _, came := b.endpoints.byName["new"]; came || b.endpoints.all[b.endpoints.byName["one"]].health != policy.Draining || b.endpoints.all[b.endpoints.byName["two"]].health != policy.Ready {
			t.Errorf("%s: %+v", why, b.endpoints.all)
		}
		b.ApplyFleetConfig(nil, nil, "", 0)
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("new", "127.0.0.1:7", "Ready", 1)), "false", "true", 1))
		if _, came := b.endpoints.byName["new"]; !came || len(b.endpoints.byName) != 1 {
			t.Errorf("%s, and counts again: %v", why, b.endpoints.byName)
		}
	}
}
