package routing

import (
	"errors"
	"fmt"
	"testing"
)

// In a large fleet more endpoints are listed than names are remembered: an operator can eject each of them all the
// same.
func TestEveryListedEndpointCanBeEjected(t *testing.T) {
	b, rows := newTestBalancer(t, 1<<20), []string{}
	for n := range maxEndpoints + 100 {
		rows = append(rows, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	b.applyTestList(t, incrementalList(rows...))
	for _, name := range []string{"s-0", "s-99", fmt.Sprint("s-", maxEndpoints+99)} {
		if err := b.Ban(name, true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := b.Ban("never", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("a name that was never listed: %v", err)
	}
	if len(b.endpoints.everListed.names) != maxEndpoints || len(b.endpoints.everListed.ring) != maxEndpoints {
		t.Errorf("%d names are remembered, %d in the ring", len(b.endpoints.everListed.names), len(b.endpoints.everListed.ring))
	}
}
