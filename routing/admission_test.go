package routing

import (
	"strings"
	"testing"
	"time"
)

// More requests than the memory or the bound on their number allows would have the process killed: such a request is
// rejected before the policy decides on it.
func TestAdmissionBoundsMemoryAndRequests(t *testing.T) {
	for _, c := range []struct {
		most int64
		held int
	}{{10, 0}, {1 << 20, 3}} {
		b := newTestBalancer(t, c.most)
		b.mu.Lock()
		for range c.held {
			b.requests.allocate()
		}
		b.mu.Unlock()
		r := newPendingReply()
		r.delivery <- delivered
		b.handleRequest(requestArguments("c=read,d=100"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
		if answer := string((<-r.reply).bytes); answer != "-BUSY\r\n" || b.counters.total("trips") != 0 {
			t.Errorf("%q after %d attempts", answer, b.counters.total("trips"))
		}
	}
}

// A server takes a second request of an ID that is open for the same as the first, and could answer either: the
// second is an error, and the first stays open.
func TestDuplicateOpenIDIsRejected(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	b.requests.openIDs["id"] = true
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() { t.Error("it counts as a good command") }, disconnected: nil})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-ERR") || b.counters.total("trips") != 0 || !b.requests.openIDs["id"] {
		t.Errorf("%q after %d attempts", answer, b.counters.total("trips"))
	}
	delete(b.requests.openIDs, "id")
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-BUSY") || len(b.requests.openIDs) != 0 {
		t.Errorf("%q, open after its answer: %v", answer, b.requests.openIDs)
	}
}
