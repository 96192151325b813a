package outlier

import "testing"

// Checks the number of failures required for an ejection at several fleet sizes and failure rates. If chance alone
// reached it, a fleet with many endpoints would eject a healthy one every few minutes; if it were too high, a hanging
// endpoint would be ejected too late.
func TestConsensusNeedsMoreThanChance(t *testing.T) {
	for _, c := range []struct {
		members, endpoints, reporters int
		attempts, failures            int // observed before
		want                          int // failures required of each reporter, or more than maxFailuresPerReporter
	}{
		{12, 24, 1, 0, 0, 5}, // A single reporter is never enough.
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
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

// Guards against ejections on two single failures by a balancer that has observed no failures for hours and estimates a
// failure rate of one in 100,000. The estimate must start at 0.005 and never fall below one in 1,000.
func TestFailureRateHasFloor(t *testing.T) {
	detector := New(Member{1, 0}, 1)
	detector.SetEndpoints([]uint32{1000})
	if rate := detector.failureRate(); rate != 0.005 {
		t.Errorf("initial failure rate is %v, want 0.005", rate)
	}
	for range 100_000 {
		detector.Observe(1e12, 1000, Success)
	}
	if rate := detector.failureRate(); rate != 0.001 {
		t.Errorf("failure rate after 100,000 successes is %v, want 0.001", rate)
	}
}
