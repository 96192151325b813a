package routing

import (
	"fmt"
	"testing"
)

// If other members do not learn of a drain, they send requests to an endpoint that stops. The drain log must hold all of
// 1,024 endpoints that drain at once, the most recent ones if there are more than its bound, and none that is ready
// again.
func TestDrainLogKeepsLastDrainOfEachEndpoint(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	entries := func(status string, from, to int) (all []string) {
		for n := from; n < to; n++ {
			all = append(all, entryJSON(fmt.Sprint("s-", n), fmt.Sprint("127.0.0.1:", 1000+n), status, 1))
		}
		return all
	}
	b.applyTestList(t, incrementalList(entries("Ready", 0, 1024)...))
	b.applyTestList(t, incrementalList(entries("Terminating", 0, 1024)...))
	if _, _, drains := b.ListState(); len(drains) != 1024 || drains[0].Host != "s-0" || drains[1023].Host != "s-1023" {
		t.Errorf("%d drains, want 1024", len(drains))
	}
	b.applyTestList(t, incrementalList(entries("Ready", 0, 1000)...))
	if _, _, drains := b.ListState(); len(drains) != 24 {
		t.Errorf("%d drains, want 24", len(drains))
	}
	var l drainLog
	for n := range maxEndpoints + 10 {
		l.add(fmt.Sprint(n), uint64(n))
		l.add("again", uint64(n))
	}
	first := Drain{}
	l.each(func(d Drain) {
		if first.Host == "" {
			first = d
		}
	})
	if len(l.byHost) != maxEndpoints || l.order.Len() != maxEndpoints || first.Host != "11" {
		t.Errorf("%d drains are kept, the oldest is %v", len(l.byHost), first)
	}
}
