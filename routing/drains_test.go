package routing

import (
	"fmt"
	"testing"
)

// A drain that other members are not told of has them send requests to an endpoint that stops. All of 1,024 endpoints
// that drain at once are in the log, the last ones of more than the bound, and none that is ready again.
func TestDrainLogKeepsLastDrainOfEachEndpoint(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	entries := func(status string, from, to int) (rows []string) {
		for n := from; n < to; n++ {
			rows = append(rows, entryJSON(fmt.Sprint("s-", n), fmt.Sprint("127.0.0.1:", 1000+n), status, 1))
		}
		return rows
	}
	b.applyTestList(t, incrementalList(entries("Ready", 0, 1024)...))
	b.applyTestList(t, incrementalList(entries("Terminating", 0, 1024)...))
	if _, _, drains := b.ListState(); len(drains) != 1024 || drains[0].Host != "s-0" || drains[1023].Host != "s-1023" {
		t.Errorf("%d drains of 1024", len(drains))
	}
	b.applyTestList(t, incrementalList(entries("Ready", 0, 1000)...))
	if _, _, drains := b.ListState(); len(drains) != 24 {
		t.Errorf("%d drains of 24", len(drains))
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
		t.Errorf("%d drains are kept, from %v on", len(l.byHost), first)
	}
}
