package policy

import "testing"

// An endpoint dies and the endpoint list still shows it as ready. After its first failed connections it must lose
// nearly all of its traffic, but still be tried now and then.
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
		t.Fatalf("an endpoint that refuses connections was tried %d times in 600 requests, want 1 to 12", tried)
	}
}

// An endpoint answers every attempt with a fast error. It never looks busy, so without outlier detection it would
// attract more traffic than the others.
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
		t.Fatalf("an endpoint that fails every attempt received %d of 300, want at most 20", h.sendCounts[3])
	}
}

// The other balancers agree that an endpoint fails. It must get no attempts, however many keys it is a candidate for.
// The balancer that holds the probe lease must prefer it among a key's candidates, even if its own observations make
// the endpoint an outlier: otherwise no balancer would notice its recovery.
func TestPeerVerdictEjectsAndProbes(t *testing.T) {
	h := newHarness(t, 3, 6, nil)
	if sends, _ := h.sendKeys(300, 1); sends[2] == 0 {
		t.Fatal("no attempt was sent to the endpoint before its ejection")
	}
	h.balancer.UpdatePeerVerdict(2, 1)
	if sends, _ := h.sendKeys(300, 1); sends[2] != 0 {
		t.Errorf("%d attempts were sent to an ejected endpoint, want none", sends[2])
	}
	for range 20 {
		h.balancer.endpoints[2].outlier.outcomes.failures.Add(h.balancer.clock.activityTime, 1)
	}
	h.balancer.UpdatePeerVerdict(2, 0)
	suspected, _ := h.sendKeys(30, 1)
	h.balancer.UpdatePeerVerdict(2, -1)
	if probed, _ := h.sendKeys(30, 1); probed[2] < 10 || suspected[2] > probed[2]/2 {
		t.Errorf("%d attempts at the outlier without the probe lease, %d with it, want at least 10 and twice as many as without", suspected[2], probed[2])
	}
}

// The probe of an ejected endpoint may be lost with its effect unknown. A non-idempotent request must never be used as
// the probe; other requests must be.
func TestProbeIsNeverNonIdempotent(t *testing.T) {
	h := newHarness(t, 9, 6, nil)
	h.sendKeys(60, 1)
	h.balancer.UpdatePeerVerdict(2, -1)
	for key := uint64(1); key <= 200; key++ {
		i := h.request(NonIdempotent, key, 1500*ms)
		if h.requests[i].attempts[0].endpoint == 2 {
			t.Fatalf("non-idempotent request %d was sent as a probe", i)
		}
		h.endAttempt(i, 0, OK)
	}
	if sends, _ := h.sendKeys(60, 1); sends[2] == 0 {
		t.Error("no safe request was sent as a probe")
	}
}

// The probability that an endpoint is passed over must follow from its failures relative to those of all endpoints,
// from the age of a failed connection, and from the verdict of the other balancers. All draws are fixed here, so that
// the probabilities can be checked exactly. An endpoint with too few failures, or with the probe lease held by this
// balancer, must not be passed over for its failures.
func TestIsOutlierFollowsEvidence(t *testing.T) {
	const index = 1
	for name, c := range map[string]struct {
		prepare func(b *Balancer, state *outlierState)
		draw    float64 // result of every draw
		want    bool
	}{
		"no observations": {func(*Balancer, *outlierState) {}, 0, false},
		"less than half a failure": {func(_ *Balancer, s *outlierState) {
			s.outcomes.failures.Value = 0.4
		}, 0, false},
		"failures while others succeed": {func(b *Balancer, s *outlierState) {
			b.outcomes.successes.Value, s.outcomes.failures.Value = 100, 20
		}, medianDraw, true},
		"failures while all fail": {func(b *Balancer, s *outlierState) {
			b.outcomes.failures.Value, s.outcomes.failures.Value = 100, 20
		}, medianDraw, false},
		"few failures among successes": {func(b *Balancer, s *outlierState) {
			b.outcomes.successes.Value, s.outcomes.successes.Value, s.outcomes.failures.Value = 100, 20, 2
		}, medianDraw, false},
		"failures, with the probe lease": {func(b *Balancer, s *outlierState) {
			b.outcomes.successes.Value, s.outcomes.failures.Value, s.peerVerdict = 100, 20, -1
		}, medianDraw, false},
		"a connection just failed": {func(b *Balancer, s *outlierState) {
			s.lastUnresponsiveAt = b.clock.now
		}, 0.99, true},
		"a connection failed a time constant ago, a low draw": {func(b *Balancer, s *outlierState) {
			s.lastUnresponsiveAt = b.clock.now - timeConstant
		}, 0.36, true},
		"a connection failed a time constant ago, a high draw": {func(b *Balancer, s *outlierState) {
			s.lastUnresponsiveAt = b.clock.now - timeConstant
		}, 0.37, false},
		"a verdict of 0.4, a low draw":  {func(_ *Balancer, s *outlierState) { s.peerVerdict = 0.4 }, 0.39, true},
		"a verdict of 0.4, a high draw": {func(_ *Balancer, s *outlierState) { s.peerVerdict = 0.4 }, 0.41, false},
	} {
		b, _ := newSnapshotBalancer(unixStart, 0, 0, 0)
		c.prepare(b, &b.endpoints[index].outlier)
		if got := b.isOutlier(index, func() float64 { return c.draw }); got != c.want {
			t.Errorf("%s: isOutlier = %t, want %t", name, got, c.want)
		}
	}
}
