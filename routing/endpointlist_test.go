package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hollylever/fakes"
	"hollylever/settings"
)

// While a process runs for long, new endpoints keep appearing: memory must not grow with their number, and an index must
// not be reused for another endpoint while the old one still holds an attempt.
func TestRemovedEndpointReleasesItsIndex(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	for n := range 500 {
		name := fmt.Sprint("new-", n)
		b.applyTestList(t, incrementalList(entryJSON(name, fmt.Sprint("127.0.0.1:", 1000+n), "Ready", 1)))
		s := b.endpoints.byName[name]
		if n == 7 {
			b.endpoints.all[s].attempts = 1 // An attempt is held there.
		}
		b.applyTestList(t, incrementalList(entryJSON(name, fmt.Sprint("127.0.0.1:", 1000+n), "Gone", 1)))
		if b.endpoints.all[s].name == "" == (n == 7) {
			t.Fatalf("%d: entry of a removed endpoint: %+v", n, b.endpoints.all[s])
		}
	}
	if len(b.endpoints.all) != 3 || len(b.endpoints.byName) != 2 {
		t.Fatalf("%d entries, %d names", len(b.endpoints.all), len(b.endpoints.byName))
	}
	fullListWithoutFirst := strings.Replace(incrementalList(entryJSON("last", "127.0.0.1:9", "Ready", 1)), "false", "true", 1)
	b.applyTestList(t, fullListWithoutFirst)
	if len(b.endpoints.byName) != 2 || b.endpoints.all[0].name == "s" {
		t.Fatalf("%v", b.endpoints.byName)
	}
}

// A late list still has an endpoint whose address a new endpoint has taken over. The new endpoint must not get requests
// meant for the old one.
func TestSharedAddressBelongsToLastStarted(t *testing.T) {
	for _, entries := range [][]string{
		{entryJSON("old", "127.0.0.1:9", "Ready", 5), entryJSON("new", "127.0.0.1:9", "Ready", 8)},
		{entryJSON("new", "127.0.0.1:9", "Ready", 8), entryJSON("old", "127.0.0.1:9", "Ready", 5)},
	} {
		b := newTestBalancer(t, 1<<20)
		b.applyTestList(t, incrementalList(entries[0]))
		b.applyTestList(t, incrementalList(entries[1]))
		if _, isListed := b.endpoints.byName["new"]; !isListed || len(b.endpoints.byName) != 2 {
			t.Errorf("after %v: %v", entries, b.endpoints.byName)
		}
	}
}

// A list may wrongly omit healthy endpoints. With invariants.onlyDrainingBinds, an endpoint that the list removes stays
// in use for removedRetention, unless it drained, is ejected or lost its address.
func TestRemovedEndpointIsRetainedWhereOnlyDrainingBinds(t *testing.T) {
	newBalancer := func() *Balancer {
		stated := settings.Flatten(gjson.Parse(testSettings))
		stated["invariants.onlyDrainingBinds"] = true
		b := newTestBalancerWith(t, 1<<20, stated)
		b.setEjections(manualEjections, []string{"s"})
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1)), "false", "true", 1))
		return b
	}
	countAttempts := func(b *Balancer) int {
		for range 20 {
			r := newPendingReply()
			r.delivery <- delivered
			b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
		}
		return b.counters.total("trips")
	}
	remove := func(b *Balancer) { b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Gone", 1))) }
	b := newBalancer()
	if remove(b); countAttempts(b) == 0 {
		t.Error("a removed endpoint that did not drain is not used")
	}
	b.endpoints.all[b.endpoints.byName["one"]].removedAt -= removedRetention
	if b.applyTestList(t, incrementalList()); b.endpoints.byName["one"] != 0 {
		t.Error("a removed endpoint is retained for longer than removedRetention")
	}
	b = newBalancer()
	remove(b)
	if b.setEjections(manualEjections, []string{"s", "one"}); countAttempts(b) > 0 {
		t.Error("an endpoint that was removed and then ejected is used")
	}
	for reason, prepare := range map[string]func(b *Balancer){
		"drained": func(b *Balancer) {
			b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1)))
		},
		"is ejected": func(b *Balancer) { b.setEjections(manualEjections, []string{"s", "one"}) },
		"lost its address": func(b *Balancer) {
			b.applyTestList(t, incrementalList(entryJSON("two", "127.0.0.1:9", "Ready", 5)))
			b.setEjections(manualEjections, []string{"s", "two"})
		},
	} {
		b = newBalancer()
		prepare(b)
		if remove(b); countAttempts(b) > 0 {
			t.Errorf("a removed endpoint that %s is used", reason)
		}
	}
}

// A cold server that is taken for warm gets overloaded. If the wall clock is stepped while the process runs, a server
// that restarts must still count as cold, whether its start was stamped before or after the step.
func TestSlowStartIgnoresWallClockSteps(t *testing.T) {
	const previousUptime = 30 * time.Minute
	for _, c := range []struct {
		name              string
		step              time.Duration // of the wall clock, while the process runs
		stampedBeforeStep bool
	}{
		{"no step", 0, false},
		{"an hour back, stamped after the step", -time.Hour, false},
		{"an hour back, stamped before the step", -time.Hour, true},
		{"an hour forward, stamped after the step", time.Hour, false},
		{"an hour forward, stamped before the step", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := scriptedServer(t)
			b := newBalancerBefore(t, h.Address, nil)
			began := time.Now()
			b.wallClock = func() time.Time { return time.Now().Add(c.step) }
			stamp := began
			if !c.stampedBeforeStep {
				stamp = b.wallClock()
			}
			b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", h.Address, "Ready", began.Add(-previousUptime).UnixMilli())))
			b.applyTestList(t, fakes.List(3, true, fakes.Entry("s", h.Address, "Ready", stamp.UnixMilli())))
			b.mu.Lock()
			defer b.mu.Unlock()
			warmUp := int64(20 * time.Second)
			age := b.now() - b.endpoints.all[b.endpoints.byName["s"]].startedAt
			if age > warmUp/10 {
				t.Errorf("the restarted server counts as started %v ago", time.Duration(age))
			}
		})
	}
}
