package policy

import "testing"

// An endpoint dies and the list still shows it. Its first failed connections take nearly all of its traffic away, and
// it is still tried now and then.
func TestFailedConnectMakesOutlier(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	tried := 0
	for n := range 1200 {
		i := h.request(Safe, h.balancer.random.uint64(), second)
		h.advance(5 * ms)
		for attempt := 0; attempt < len(h.requests[i].attempts); attempt++ {
			if h.requests[i].attempts[attempt].endpoint == 3 && n > 600 {
				h.endAttempt(i, attempt, ConnectFailed)
				tried++
			}
			h.endAttempt(i, attempt, OK)
		}
	}
	if tried > 12 || tried == 0 {
		t.Fatalf("an endpoint that takes no connection any more got %d of 600", tried)
	}
}

// An endpoint fails all it gets, and fast: it never looks busy, and would draw more traffic than the others. It gets a
// few attempts of 300.
func TestFastErrorsMakeOutlier(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	for range 300 {
		i := h.request(NonIdempotent, h.balancer.random.uint64(), second)
		h.advance(5 * ms)
		if outcome := OK; len(h.requests[i].attempts) > 0 {
			if h.requests[i].attempts[0].endpoint == 3 {
				outcome = Errored
			}
			h.endAttempt(i, 0, outcome)
		}
	}
	if h.sendCounts[3] > 20 {
		t.Fatalf("an endpoint that only fails got %d of 300", h.sendCounts[3])
	}
}

// The other balancers agree that an endpoint fails. It gets nothing, however many keys it has. The balancer that holds
// the probe lease tries it, first among a key's candidates and though it takes it for an outlier itself: else nobody
// would find out that the endpoint is well again.
func TestPeerVerdictEjectsAndProbes(t *testing.T) {
	h := newHarness(t, 3, 6, nil)
	if sends, _ := h.sendKeys(300, 1); sends[2] == 0 {
		t.Fatal("the endpoint has no keys")
	}
	h.balancer.UpdatePeerVerdict(2, 1)
	if sends, _ := h.sendKeys(300, 1); sends[2] != 0 {
		t.Errorf("%d attempts went to an ejected endpoint", sends[2])
	}
	for range 20 {
		h.balancer.endpoints[2].outlier.outcomes.failures.Add(h.balancer.clock.evidence, 1)
	}
	h.balancer.UpdatePeerVerdict(2, 0)
	suspected, _ := h.sendKeys(30, 1)
	h.balancer.UpdatePeerVerdict(2, -1)
	if probed, _ := h.sendKeys(30, 1); probed[2] < 10 || suspected[2] > probed[2]/2 {
		t.Errorf("%d attempts while it is an outlier, %d with the probe lease", suspected[2], probed[2])
	}
}

// The probe of an ejected endpoint may be lost with its effect unknown. A request that may run only once is never the
// probe; another one is.
func TestProbeIsNeverNonIdempotent(t *testing.T) {
	h := newHarness(t, 9, 6, nil)
	h.sendKeys(60, 1)
	h.balancer.UpdatePeerVerdict(2, -1)
	for key := uint64(1); key <= 200; key++ {
		i := h.request(NonIdempotent, key, 1500*ms)
		if h.requests[i].attempts[0].endpoint == 2 {
			t.Fatalf("non-idempotent request %d is the probe", i)
		}
		h.endAttempt(i, 0, OK)
	}
	if sends, _ := h.sendKeys(60, 1); sends[2] == 0 {
		t.Error("nothing probes it")
	}
}

// The chance that an endpoint is passed over, by what speaks against it: its failures against those of all, a failed
// connection that fades, the verdict of the other balancers. Each draw is set here, so that the chances stand by
// themselves. An endpoint of which little is known, or for which the probe lease is held, is not passed over.
func TestIsOutlierFollowsEvidence(t *testing.T) {
	const index = 1
	for name, c := range map[string]struct {
		prepare func(b *Balancer, state *outlierState)
		draw    float64 // each one
		want    bool
	}{
		"nothing known": {func(*Balancer, *outlierState) {}, 0, false},
		"half a failure": {func(_ *Balancer, s *outlierState) {
			s.outcomes.failures.Value = 0.4
		}, 0, false},
		"failures while others succeed": {func(b *Balancer, s *outlierState) {
			b.outcomes.successes.Value, s.outcomes.failures.Value = 100, 20
		}, likelyDraw, true},
		"failures while all fail": {func(b *Balancer, s *outlierState) {
			b.outcomes.failures.Value, s.outcomes.failures.Value = 100, 20
		}, likelyDraw, false},
		"few failures among successes": {func(b *Balancer, s *outlierState) {
			b.outcomes.successes.Value, s.outcomes.successes.Value, s.outcomes.failures.Value = 100, 20, 2
		}, likelyDraw, false},
		"failures, with the probe lease": {func(b *Balancer, s *outlierState) {
			b.outcomes.successes.Value, s.outcomes.failures.Value, s.peerVerdict = 100, 20, -1
		}, likelyDraw, false},
		"a connection just failed": {func(b *Balancer, s *outlierState) {
			s.silentSince = b.clock.now
		}, 0.99, true},
		"a connection failed a time constant ago, a low draw": {func(b *Balancer, s *outlierState) {
			s.silentSince = b.clock.now - timeConstant
		}, 0.36, true},
		"a connection failed a time constant ago, a high draw": {func(b *Balancer, s *outlierState) {
			s.silentSince = b.clock.now - timeConstant
		}, 0.37, false},
		"a verdict of 0.4, a low draw":  {func(_ *Balancer, s *outlierState) { s.peerVerdict = 0.4 }, 0.39, true},
		"a verdict of 0.4, a high draw": {func(_ *Balancer, s *outlierState) { s.peerVerdict = 0.4 }, 0.41, false},
	} {
		b, _ := newSnapshotBalancer(unixStart, 0, 0, 0)
		c.prepare(b, &b.endpoints[index].outlier)
		if got := b.isOutlier(index, func() float64 { return c.draw }); got != c.want {
			t.Errorf("%s: an outlier %t", name, got)
		}
	}
}
