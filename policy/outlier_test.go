package policy

import "testing"

// An endpoint dies and the list still shows it. Its first failed connections take nearly all of its traffic away, and it is still tried now and then.
func TestFailedConnectMakesOutlier(t *testing.T) {
	w := newHarness(t, 1, 8, nil)
	tried := 0
	for n := range 1200 {
		i := w.request(Safe, w.balancer.random.uint64(), second)
		w.advance(5 * ms)
		for attempt := 0; attempt < len(w.requests[i].attempts); attempt++ {
			if w.requests[i].attempts[attempt].endpoint == 3 && n > 600 {
				w.endAttempt(i, attempt, ConnectFailed)
				tried++
			}
			w.endAttempt(i, attempt, OK)
		}
	}
	if tried > 12 || tried == 0 {
		t.Fatalf("a server that takes no connection any more got %d of 600", tried)
	}
}

// An endpoint fails all it gets, and fast: it never looks busy, and would draw more traffic than the others. It gets a few attempts of 300.
func TestFastErrorsMakeOutlier(t *testing.T) {
	w := newHarness(t, 1, 8, nil)
	for range 300 {
		i := w.request(NonIdempotent, w.balancer.random.uint64(), second)
		w.advance(5 * ms)
		if how := OK; len(w.requests[i].attempts) > 0 {
			if w.requests[i].attempts[0].endpoint == 3 {
				how = Errored
			}
			w.endAttempt(i, 0, how)
		}
	}
	if w.sendCounts[3] > 20 {
		t.Fatalf("a server that only fails got %d of 300", w.sendCounts[3])
	}
}

// The other balancers agree that an endpoint fails. It gets nothing, however many keys it has. The balancer that holds the probe lease tries it, first among a key's
// candidates and though it takes it for an outlier itself: else nobody would find out that the endpoint is well again.
func TestPeerVerdictEjectsAndProbes(t *testing.T) {
	w := newHarness(t, 3, 6, nil)
	if sends, _ := w.sendKeys(300, 1); sends[2] == 0 {
		t.Fatal("it has no keys")
	}
	w.balancer.UpdatePeerVerdict(2, 1)
	if sends, _ := w.sendKeys(300, 1); sends[2] != 0 {
		t.Errorf("%d went there", sends[2])
	}
	for range 20 {
		w.balancer.endpoints[2].outlier.outcomes.failures.Add(w.balancer.clock.evidence, 1)
	}
	w.balancer.UpdatePeerVerdict(2, 0)
	doubted, _ := w.sendKeys(30, 1)
	w.balancer.UpdatePeerVerdict(2, -1)
	if turn, _ := w.sendKeys(30, 1); turn[2] < 10 || doubted[2] > turn[2]/2 {
		t.Errorf("in doubt %d went there, with the turn %d", doubted[2], turn[2])
	}
}

// The probe of an ejected endpoint may be lost with its effect unknown. A request that may run only once is never the probe; another one is.
func TestProbeIsNeverNonIdempotent(t *testing.T) {
	w := newHarness(t, 9, 6, nil)
	w.sendKeys(60, 1)
	w.balancer.UpdatePeerVerdict(2, -1)
	for k := range uint64(200) {
		i := w.request(NonIdempotent, k+1, 1500*ms)
		if w.requests[i].attempts[0].endpoint == 2 {
			t.Fatalf("one-shot %d goes there", i)
		}
		w.endAttempt(i, 0, OK)
	}
	if sends, _ := w.sendKeys(60, 1); sends[2] == 0 {
		t.Error("nothing tries it")
	}
}
