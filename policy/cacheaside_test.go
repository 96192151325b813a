package policy

import "testing"

// Two reads of one key miss at the same time. The origin is asked once; the read that waited goes to the cache that holds the key by then. When a fetch hangs, the reads
// that wait for it still get their answer in time. Writes go to the origin.
func TestOriginFetchesAreCoalesced(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	w.balancer.BeginEndpointUpdate(FullList)
	for s := range 5 {
		w.health[s] = Ready
		w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, MachineType: s / 4})
	}
	w.balancer.CommitEndpointUpdate(w.now)
	a, b := w.request(Safe, 9, second), w.request(Safe, 9, second)
	w.endAttempt(a, 0, CacheMiss)
	w.endAttempt(b, 0, CacheMiss)
	if w.sendCounts[4] != 1 || len(w.requests[b].attempts) != 1 {
		t.Fatal("two reads of one key must fetch once")
	}
	first := w.requests[a].attempts[0].endpoint
	w.endAttempt(a, 1, OK)
	if got := w.requests[b].attempts; len(got) != 2 || got[1].endpoint != first {
		t.Fatal("the waiting read must go to the cache that holds the key now")
	}
	w.endAttempt(w.request(Safe, 8, second), 0, CacheMiss)
	w.endAttempt(w.request(Safe, 8, second/5), 0, CacheMiss)
	w.advance(second) // The fetch hangs: the read that waits must have its answer in time all the same.
	if c := w.request(Idempotent, 9, second); w.requests[c].attempts[0].endpoint != 4 {
		t.Fatal("a write goes to the origin")
	}
}

// A read loses its attempts to caches that take no connection, or has no tokens for a retry. One more cache could miss, with no attempt left for the fetch: the last attempt
// goes to the origin.
func TestLastAttemptGoesToOrigin(t *testing.T) {
	for _, c := range []struct {
		attempts float64
		credit   float64
		first    int // the attempt that goes to the origin
	}{{3, maxRetryTokens, 2}, {2, maxRetryTokens, 1}, {5, 0, 1}} {
		w := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "allowed.mostTrips": c.attempts})
		w.balancer.BeginEndpointUpdate(FullList)
		for s := range 9 {
			w.health[s] = Ready
			w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, MachineType: s / 8})
		}
		w.balancer.CommitEndpointUpdate(w.now)
		w.balancer.retries.tokens = c.credit
		i := w.request(Safe, 9, second)
		for attempt := range c.first {
			w.endAttempt(i, attempt, ConnectFailed)
		}
		if attempts := w.requests[i].attempts; len(attempts) != c.first+1 || attempts[c.first].endpoint != 8 {
			t.Errorf("%+v: %+v", c, attempts)
		}
	}
}

// All caches are overloaded and answer nothing, while the origin has room. Reads go to the origin before they are rejected, no more at a time than its limit. Writes pass
// the caches' overload by, and one that finds no connection to the origin waits and is retried there.
func TestOverloadedReadsGoToOrigin(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	w.balancer.BeginEndpointUpdate(FullList)
	for s := range 9 {
		w.health[s] = Ready
		w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, MachineType: s / 8})
	}
	w.balancer.CommitEndpointUpdate(w.now)
	most := 0
	for range 600 { // The caches answer nothing, the origin all.
		i := w.request(Safe, w.balancer.random.uint64(), 3*second)
		most = max(most, w.balancer.endpoints[8].load.inFlight)
		w.advance(2 * ms)
		if attempts := w.requests[i].attempts; len(attempts) > 0 && attempts[0].endpoint == 8 {
			w.endAttempt(i, 0, OK)
		}
	}
	if w.sendCounts[8] < 300 || most > 40 || w.rejected > 100 {
		t.Fatalf("%d of 600 sent to the origin, %d at once, %d rejected", w.sendCounts[8], most, w.rejected)
	}
	for range 50 { // Writes go by the caches, and to an origin with its table full as to one that is busy.
		i := w.request(Idempotent, w.balancer.random.uint64(), 3*second)
		if len(w.requests[i].attempts) != 1 || w.requests[i].attempts[0].endpoint != 8 {
			t.Fatalf("a write while caches are crowded: %+v", w.requests[i])
		}
		w.endAttempt(i, 0, ConnectFailed)
		if w.advance(40 * ms); len(w.requests[i].attempts) != 2 || w.requests[i].attempts[1].endpoint != 8 {
			t.Fatalf("a write that found no connection: %+v", w.requests[i])
		}
		w.endAttempt(i, 1, OK)
	}
}
