package routing

import (
	"strings"
	"testing"
	"time"
)

// Requests beyond the bound on their memory or number could get the process killed for its memory use. They are rejected
// before the policy decides on them.
func TestAdmissionBoundsMemoryAndRequests(t *testing.T) {
	for _, c := range []struct {
		maxBytes int64
		held     int
	}{{10, 0}, {1 << 20, 3}} {
		b := newTestBalancer(t, c.maxBytes)
		b.mu.Lock()
		for range c.held {
			b.requests.allocate()
		}
		b.mu.Unlock()
		r := newPendingReply()
		r.delivery <- delivered
		b.handleRequest(requestArguments("c=read,d=100"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
		if answer := string((<-r.reply).bytes); answer != "-BUSY\r\n" || b.counters.total("trips") != 0 {
			t.Errorf("reply %q after %d attempts, want -BUSY after none", answer, b.counters.total("trips"))
		}
	}
}

// A server treats a second request with the ID of an open one as the same request and could answer either of them. The
// second gets an error, and the first stays open.
func TestDuplicateOpenIDIsRejected(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	b.requests.openIDs["id"] = &exchange{}
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() { t.Error("the duplicate counts as a valid command") }, disconnected: nil})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-ERR") || b.counters.total("trips") != 0 || b.requests.openIDs["id"] == nil {
		t.Errorf("duplicate: reply %q after %d attempts, want -ERR after none; open IDs %v", answer, b.counters.total("trips"), b.requests.openIDs)
	}
	delete(b.requests.openIDs, "id")
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-BUSY") || len(b.requests.openIDs) != 0 {
		t.Errorf("reply %q, want -BUSY; IDs still open after it: %v", answer, b.requests.openIDs)
	}
}

// A client leaves and comes again with the ID of its read before the end of its first connection has been read: it is not refused
// for that.
func TestIDOfAClientThatHasLeftIsFree(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	b.requests.openIDs["id"] = &exchange{client: client{hasEnded: func() bool { return true }}}
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-BUSY") { // No server can be reached.
		t.Errorf("the reply is %q, want -BUSY", answer)
	}
}
