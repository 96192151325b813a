package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hollylever/policy"
	"hollylever/transport"
)

// An attempt that the policy is not told the end of counts as in flight for ever. One that it decides on while the
// client disconnects is ended too.
func TestAttemptsStartedDuringDisconnectAreEnded(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	left := make(chan struct{})
	close(left)
	for range 40 {
		r := newPendingReply()
		r.delivery <- delivered
		b.handleRequest(requestArguments("c=read,d=1000"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: left})
	}
	ended := 0
	for c, n := range b.counters.sinceStart {
		if strings.HasPrefix(c.name, "trip_") {
			ended += n
		}
	}
	if b.counters.total("trips") == 0 || ended != b.counters.total("trips") || b.requests.indices.InUse() != 0 || b.requests.bytes != 0 {
		t.Fatalf("%v, %d held, %d bytes", b.counters.sinceStart, b.requests.indices.InUse(), b.requests.bytes)
	}
}

// A single-shot request is retried only where it cannot have run. An outcome that says so of one that may have run
// does harm; one that does not say so fails requests for nothing.
func TestOutcomeTellsWhetherAttemptMayHaveRun(t *testing.T) {
	never := map[policy.Outcome]bool{policy.Rejected: true, policy.ConnectFailed: true, policy.NotSent: true, policy.CacheMiss: true}
	for end := transport.Succeeded; end <= transport.Malformed; end++ {
		unrun := end >= transport.Rejected && end <= transport.CancelledBeforeSent
		if how, known := outcomeByEnd[end]; !known || never[how] != unrun {
			t.Errorf("%v is outcome %d, %t", end, how, known)
		}
	}
}

// Clients that retry a rejected request at once make an overload worse: a rejection states when to come back, within
// the settings' bound.
func TestRejectionStatesRetryAfter(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	answer, after := string((<-r.reply).bytes), 0
	fmt.Sscanf(answer, "-BUSY %d\r\n", &after)
	if after < 1 || after > 2000 || b.counters.totalFor("dismissed", 0) != 1 || b.counters.total("trip_refused") == 0 {
		t.Errorf("%q, %v", answer, b.counters.sinceStart)
	}
}
