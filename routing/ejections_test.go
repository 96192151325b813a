package routing

import (
	"errors"
	"fmt"
	"testing"
)

// A list may have more endpoints than the name history holds. An operator must still be able to eject each of them.
func TestEveryListedEndpointCanBeEjected(t *testing.T) {
	b, entries := newTestBalancer(t, 1<<20), []string{}
	for n := range maxEndpoints + 100 {
		entries = append(entries, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	b.applyTestList(t, incrementalList(entries...))
	for _, name := range []string{"s-0", "s-99", fmt.Sprint("s-", maxEndpoints+99)} {
		if err := b.Ban(name, true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := b.Ban("never", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("a name that was never listed: %v", err)
	}
	if len(b.endpoints.everListed.names) != maxEndpoints || len(b.endpoints.everListed.ring) != maxEndpoints {
		t.Errorf("%d names in the history, %d in its ring", len(b.endpoints.everListed.names), len(b.endpoints.everListed.ring))
	}
}
