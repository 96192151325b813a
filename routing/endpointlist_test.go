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

// Over long days new endpoints keep coming: memory must not grow with them, and an index must not become another
// endpoint's while an attempt is held against it.
func TestRemovedEndpointReleasesItsIndex(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	for n := range 500 {
		name := fmt.Sprint("new-", n)
		b.applyTestList(t, incrementalList(entryJSON(name, fmt.Sprint("127.0.0.1:", 1000+n), "Ready", 1)))
		s := b.endpoints.byName[name]
		if n == 7 {
			b.endpoints.all[s].attempts = 1 // One is held.
		}
		b.applyTestList(t, incrementalList(entryJSON(name, fmt.Sprint("127.0.0.1:", 1000+n), "Gone", 1)))
		if b.endpoints.all[s].name == "" == (n == 7) {
			t.Fatalf("%d: the place of an endpoint that is removed is %+v", n, b.endpoints.all[s])
		}
	}
	if len(b.endpoints.all) != 3 || len(b.endpoints.byName) != 2 {
		t.Fatalf("%d places, %d names", len(b.endpoints.all), len(b.endpoints.byName))
	}
	fullListWithoutFirst := strings.Replace(incrementalList(entryJSON("last", "127.0.0.1:9", "Ready", 1)), "false", "true", 1)
	b.applyTestList(t, fullListWithoutFirst)
	if len(b.endpoints.byName) != 2 || b.endpoints.all[0].name == "s" {
		t.Fatalf("%v", b.endpoints.byName)
	}
}

// A list that is late still has an endpoint whose address a new one has taken over. The new one must not get what is
// meant for the old one.
func TestSharedAddressBelongsToLastStarted(t *testing.T) {
	for _, rows := range [][]string{
		{entryJSON("old", "127.0.0.1:9", "Ready", 5), entryJSON("new", "127.0.0.1:9", "Ready", 8)},
		{entryJSON("new", "127.0.0.1:9", "Ready", 8), entryJSON("old", "127.0.0.1:9", "Ready", 5)},
	} {
		b := newTestBalancer(t, 1<<20)
		b.applyTestList(t, incrementalList(rows[0]))
		b.applyTestList(t, incrementalList(rows[1]))
		if _, stays := b.endpoints.byName["new"]; !stays || len(b.endpoints.byName) != 2 {
			t.Errorf("after %v: %v", rows, b.endpoints.byName)
		}
	}
}

// A list may lose endpoints that serve well. Where only draining binds, an endpoint that the list removes is retained
// and used; one that drained, is ejected or has lost its address is not, and none is retained for ever.
func TestRemovedEndpointIsRetainedWhereOnlyDrainingBinds(t *testing.T) {
	begun := func() *Balancer {
		stated := settings.Flatten(gjson.Parse(testSettings))
		stated["invariants.onlyDrainingBinds"] = true
		b := newTestBalancerWith(t, 1<<20, stated)
		b.setEjections(manualEjections, []string{"s"})
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1)), "false", "true", 1))
		return b
	}
	tries := func(b *Balancer) int {
		for range 20 {
			r := newPendingReply()
			r.delivery <- delivered
			b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
		}
		return b.counters.total("trips")
	}
	gone := func(b *Balancer) { b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Gone", 1))) }
	b := begun()
	if gone(b); tries(b) == 0 {
		t.Error("one that did not drain is not used")
	}
	b.endpoints.all[b.endpoints.byName["one"]].removedAt -= removedRetention
	if b.applyTestList(t, incrementalList()); b.endpoints.byName["one"] != 0 {
		t.Error("it is retained for ever")
	}
	b = begun()
	gone(b)
	if b.setEjections(manualEjections, []string{"s", "one"}); tries(b) > 0 {
		t.Error("one that is removed and then ejected is used")
	}
	for why, before := range map[string]func(b *Balancer){
		"drained": func(b *Balancer) {
			b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1)))
		},
		"is ejected": func(b *Balancer) { b.setEjections(manualEjections, []string{"s", "one"}) },
		"lost its address": func(b *Balancer) {
			b.applyTestList(t, incrementalList(entryJSON("two", "127.0.0.1:9", "Ready", 5)))
			b.setEjections(manualEjections, []string{"s", "two"})
		},
	} {
		b = begun()
		before(b)
		if gone(b); tries(b) > 0 {
			t.Errorf("one that %s is used", why)
		}
	}
}

// A cold server that counts as warm is overloaded. The wall clock is stepped while the process runs, and a server
// comes back cold: it counts as cold, by whichever clock its start is stamped.
func TestSlowStartIgnoresWallClockSteps(t *testing.T) {
	const long = 30 * time.Minute
	for _, c := range []struct {
		name              string
		step              time.Duration // of the wall clock, while the process runs
		stampedBeforeStep bool
	}{
		{"no step", 0, false},
		{"an hour back, stamped after it", -time.Hour, false},
		{"an hour back, stamped before it", -time.Hour, true},
		{"an hour on, stamped after it", time.Hour, false},
		{"an hour on, stamped before it", time.Hour, true},
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
			b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", h.Address, "Ready", began.Add(-long).UnixMilli())))
			b.applyTestList(t, fakes.List(3, true, fakes.Entry("s", h.Address, "Ready", stamp.UnixMilli())))
			b.mu.Lock()
			defer b.mu.Unlock()
			warmUp := int64(20 * time.Second)
			age := b.now() - b.endpoints.all[b.endpoints.byName["s"]].startedAt
			if age > warmUp/10 {
				t.Errorf("it counts as started %v ago", time.Duration(age))
			}
		})
	}
}
