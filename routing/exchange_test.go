package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hollylever/policy"
	"hollylever/transport"
)

// An attempt whose end the policy is not told counts as in flight for ever. This guards against that for an attempt that
// the policy starts while the client disconnects.
func TestAttemptsStartedDuringDisconnectAreEnded(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	disconnected := make(chan struct{})
	close(disconnected)
	for range 40 {
		r := newPendingReply()
		r.delivery <- delivered
		b.handleRequest(requestArguments("c=read,d=1000"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: disconnected})
	}
	ended := 0
	for c, n := range b.counters.sinceStart {
		if strings.HasPrefix(c.name, "trip_") {
			ended += n
		}
	}
	if b.counters.total("trips") == 0 || ended != b.counters.total("trips") || b.requests.indices.InUse() != 0 || b.requests.bytes != 0 {
		t.Fatalf("counters %v, %d requests held, %d bytes in use", b.counters.sinceStart, b.requests.indices.InUse(), b.requests.bytes)
	}
}

// A single-shot request is retried only if it cannot have run. If the outcome says so of a request that may have run,
// the request may run twice; if it does not say so of one that cannot have run, the request fails without need.
func TestOutcomeTellsWhetherAttemptMayHaveRun(t *testing.T) {
	notRunOutcomes := map[policy.Outcome]bool{policy.Rejected: true, policy.ConnectFailed: true, policy.NotSent: true, policy.CacheMiss: true}
	for end := transport.Succeeded; end <= transport.Malformed; end++ {
		isNotRun := end >= transport.Rejected && end <= transport.TooLateToRepeat
		if outcome, known := outcomeByEnd[end]; !known || notRunOutcomes[outcome] != isNotRun {
			t.Errorf("%v maps to outcome %d (known: %t), want one that says not run: %t", end, outcome, known, isNotRun)
		}
	}
}

// Clients that retry a rejected request at once make an overload worse. A rejection therefore states when to retry, within
// the bound from the settings.
func TestRejectionStatesRetryAfter(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	answer, after := string((<-r.reply).bytes), 0
	fmt.Sscanf(answer, "-BUSY %d\r\n", &after)
	if after < 1 || after > 2000 || b.counters.totalFor("dismissed", 0) != 1 || b.counters.total("trip_refused") == 0 {
		t.Errorf("reply %q, counters %v", answer, b.counters.sinceStart)
	}
}
