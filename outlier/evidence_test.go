package outlier

import "testing"

// With a bound that chance reaches, a fleet that watches many endpoints would eject a healthy one every few minutes;
// with one too strict, an endpoint that hangs is left too late. So many failures it takes, by what is rare for this
// balancer.
func TestConsensusNeedsMoreThanChance(t *testing.T) {
	for _, c := range []struct {
		members, endpoints, reporters int
		attempts, failures            int // seen before
		want                          int // failures of each witness that it takes, or more than maxFailuresPerWitness
	}{
		{12, 24, 1, 0, 0, 5}, // One alone is never enough.
		{12, 24, 2, 0, 0, 2},
		{12, 24, 2, 50_000, 0, 2},
		{100, 50, 2, 50_000, 0, 2},
		{1000, 5000, 2, 50_000, 0, 3},
		{12, 24, 2, 2000, 200, 4},
		{12, 24, 3, 2000, 200, 3},
		{12, 24, 2, 2000, 600, 5},
	} {
		detector := New(Member{1, 0}, 1)
		var members []Member
		var endpoints []uint32
		for n := range c.members {
			members = append(members, Member{uint32(n + 1), uint16(n % 3)})
		}
		for n := range c.endpoints {
			endpoints = append(endpoints, uint32(1000+n))
		}
		detector.SetMembers(members)
		detector.SetEndpoints(endpoints)
		for n := range c.attempts {
			observation := Success
			if c.failures > 0 && n%(c.attempts/c.failures) == 0 {
				observation = Failure
			}
			detector.Observe(1e12, endpoints[1], observation)
		}
		got := 1
		for ; got <= maxFailuresPerReporter; got++ {
			if detector.hasConsensus(evidence{reporters: c.reporters, zones: min(3, c.reporters), failures: got * c.reporters}) {
				break
			}
		}
		if got != c.want {
			t.Errorf("%+v: it takes %d", c, got)
		}
	}
}

// A balancer that believed to know rates of one in 100,000 after a quiet night would eject on two single failures.
// Rates begin at 0.005 and are never taken for lower than one in 1,000.
func TestFailureRateHasFloor(t *testing.T) {
	detector := New(Member{1, 0}, 1)
	detector.SetEndpoints([]uint32{1000})
	if rate := detector.failureRate(); rate != 0.005 {
		t.Errorf("it begins at %v", rate)
	}
	for range 100_000 {
		detector.Observe(1e12, 1000, Success)
	}
	if rate := detector.failureRate(); rate != 0.001 {
		t.Errorf("after 100,000 successes it is %v", rate)
	}
}
