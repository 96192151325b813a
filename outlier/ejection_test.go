package outlier

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Guards against each balancer having to detect a hanging endpoint through its own failed attempts. With messages, at
// least 7 of 12 balancers must eject it, with at most half as many failed attempts as without messages, and all must
// resume using it soon after it recovers.
func TestFleetEjectsFailingEndpoint(t *testing.T) {
	failures := map[bool]int{}
	for _, blocked := range []bool{true, false} {
		s := newSimulation(t, 1, 12, 24, 3)
		s.messagesBlocked = blocked
		s.run(5000*millisecond, 0.25)
		s.failureRates[3] = 1
		s.run(20000*millisecond, 0.25) // About one attempt per balancer and second at each endpoint.
		failures[blocked] = s.failedAttempts
		if ejected := s.ejectedBy(3); !blocked && ejected < 12-5 {
			t.Errorf("ejected by only %d of 12 balancers, want at least 7", ejected)
		}
		s.failureRates[3] = 0
		s.run(15000*millisecond, 0.25)
		if ejected := s.ejectedBy(3); ejected != 0 {
			t.Errorf("still ejected by %d balancers 15 s after the endpoint recovered", ejected)
		}
	}
	t.Logf("failed attempts: %d without messages, %d with messages", failures[true], failures[false])
	if failures[false] > failures[true]/2 {
		t.Errorf("%d failed attempts with messages, want at most half of the %d without", failures[false], failures[true])
	}
}

// Guards against healthy endpoints being ejected by the whole fleet because a single member or zone reports failures:
// a disconnected member, one that reports false counts, or a partitioned zone.
func TestNoEjectionOnEvidenceOfOneMemberOrZone(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(s *simulation)
	}{
		{"one disconnected member", func(s *simulation) { s.disconnected[4] = true }},
		{"one misreporting member", func(s *simulation) { s.disconnected[4], s.misreportingMember = true, 4 }},
		{"one partitioned zone", func(s *simulation) {
			for n := 0; n < 12; n += 3 {
				s.disconnected[n] = true
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 2, 12, 24, 3)
			s.run(3000*millisecond, 2)
			c.fault(s)
			for range 100 {
				s.run(100*millisecond, 2)
				for n, detector := range s.detectors {
					for _, id := range s.endpoints {
						if !s.disconnected[n] && detector.Penalty(s.now, id) > 0 {
							t.Fatalf("balancer %d ejected endpoint %d", n, id)
						}
					}
				}
			}
		})
	}
}

// Guards against overload of the remaining endpoints when the origin behind all of them fails. No endpoint may stay
// ejected if every attempt fails, and at no time may more than half of the endpoints be ejected.
func TestNoEjectionWhenEverythingFails(t *testing.T) {
	for _, failureRate := range []float64{0.9, 1} {
		s := newSimulation(t, 3, 12, 24, 3)
		for n := range s.failureRates {
			s.failureRates[n] = failureRate
		}
		for tenth := range 100 {
			s.run(100*millisecond, 2)
			for n, detector := range s.detectors {
				ejected := 0
				for _, id := range s.endpoints {
					if detector.Penalty(s.now, id) > 0 {
						ejected++
					}
				}
				// The second condition applies after about 2 s.
				if ejected > len(s.endpoints)/2 || ejected > 0 && failureRate == 1 && tenth > 20 {
					t.Fatalf("failure rate %v: balancer %d ejected %d endpoints", failureRate, n, ejected)
				}
			}
		}
	}
}

// Guards against a recovered endpoint staying ejected because the holder of the probe lease is down. The next member in
// the probe order must probe one stagger interval later, and every ejection must end if no messages arrive at all.
func TestProbeLeasePassesOverDeadMembers(t *testing.T) {
	s := newSimulation(t, 4, 12, 24, 1)
	s.failureRates[5] = 1
	s.run(5000*millisecond, 1)
	if s.ejectedBy(5) == 0 {
		t.Fatal("no balancer ejected the endpoint")
	}
	// The three members with the highest scores, first in its probe order among equally late failures, are down but
	// still listed as members.
	inOrder := slices.Clone(s.detectors)
	slices.SortFunc(inOrder, func(a, b *Detector) int {
		if memberScore(s.endpoints[5], a.self.ID) > memberScore(s.endpoints[5], b.self.ID) {
			return -1
		}
		return 1
	})
	for n, detector := range s.detectors {
		s.alive[n] = !slices.Contains(inOrder[:3], detector)
	}
	s.failureRates[5] = 0
	s.run(maxProbeDelay+4*minProbeStagger+minReturnSpread+1000*millisecond, 1)
	if ejected := s.ejectedBy(5); ejected != 0 {
		t.Errorf("still ejected by %d balancers after the endpoint recovered", ejected)
	}
	// From here on no messages arrive.
	s.failureRates[5] = 1
	s.run(5000*millisecond, 1)
	if s.ejectedBy(5) == 0 {
		t.Fatal("no balancer ejected the endpoint")
	}
	s.failureRates[5], s.messagesBlocked = 0, true
	s.run(evidenceTimeout+2*minReturnSpread+1000*millisecond, 1)
	if ejected := s.ejectedBy(5); ejected != 0 {
		t.Errorf("still ejected by %d balancers after more than %d ns without messages", ejected, evidenceTimeout)
	}
}

// Guards against all balancers returning to a recovered endpoint at once. At most a quarter of the balancers may return
// within one message delay, however long that is.
func TestReturnsAreSpread(t *testing.T) {
	const balancers = 40
	for _, delay := range []int64{0, 200 * millisecond, 1000 * millisecond, 2000 * millisecond} {
		s := newSimulation(t, 6, balancers, 24, 1)
		s.messageDelay = delay
		for _, detector := range s.detectors {
			detector.SetMessageDelay(delay * 3 / 2)
		}
		s.failureRates[7] = 1
		s.run(8000*millisecond+4*delay, 1)
		s.failureRates[7] = 0
		ticksPerDelay, mostReturns := max(1, int(delay/tickInterval)), 0
		var ejected []int
		for range 2000 {
			s.tick(1)
			ejected = append(ejected, s.ejectedBy(7))
			if n := len(ejected); n > ticksPerDelay {
				mostReturns = max(mostReturns, ejected[n-1-ticksPerDelay]-ejected[n-1])
			}
		}
		t.Logf("delay %d ms: at most %d of %d balancers return within one delay", delay/millisecond, mostReturns, balancers)
		if mostReturns > balancers/4+4 { // The 4 allow for rounded positions and probes.
			t.Errorf("delay %d ms: %d of %d balancers return within one delay", delay/millisecond, mostReturns, balancers)
		}
		if last := ejected[len(ejected)-1]; last != 0 {
			t.Errorf("delay %d ms: still ejected by %d balancers after 20 s", delay/millisecond, last)
		}
	}
}

// Checks invariants under seeded random faults: members stop, restart without state or are disconnected, and the
// network loses, delays and duplicates messages. No endpoint may be ejected without enough reporters, stored state must
// stay within its limits, and no endpoint may stay ejected once all faults are over.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	steps := 3000
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		steps = n
	}
	for seed := range uint64(4) {
		s := newSimulation(t, 10+seed, 5+int(seed)*7, 16, 1+int(seed%3))
		for step := range steps {
			if step%50 == 0 {
				s.injectFault()
			}
			var ejectedBefore [64][16]int64
			for n, detector := range s.detectors {
				for at, id := range s.endpoints {
					ejectedBefore[n][at] = detector.endpoints[id].ejectedAt
				}
			}
			s.tick(0.5)
			for n, detector := range s.detectors {
				if len(detector.senders) > len(detector.members) || len(detector.active) > len(s.endpoints) {
					t.Fatalf("seed %d step %d: %d senders, %d endpoints", seed, step, len(detector.senders), len(detector.active))
				}
				for at, id := range s.endpoints {
					endpoint := detector.endpoints[id]
					if endpoint.ejectedAt == s.now && ejectedBefore[n][at] != s.now && s.alive[n] && endpoint.lastSuccess < s.now {
						e := detector.collectEvidence(s.now, endpoint, ejectionWindow+20*millisecond)
						if e.reporters < 2 || e.zones < min(2, detector.zoneCount) {
							t.Fatalf("seed %d step %d: balancer %d ejects endpoint %d on %+v", seed, step, n, at, e)
						}
					}
					penalty := detector.Penalty(s.now, id)
					if penalty < 0 && penalty != ProbePenalty || penalty > ejectedPenalty || len(endpoint.reports) > len(detector.members) {
						t.Fatalf("seed %d step %d: penalty %v, %d reports", seed, step, penalty, len(endpoint.reports))
					}
				}
			}
		}
		for n := range s.detectors {
			s.alive[n], s.disconnected[n] = true, false
		}
		clear(s.failureRates)
		s.lossRate, s.messageDelay = 0, 20*millisecond
		s.run(evidenceTimeout+maxReturnSpread+5000*millisecond, 0.5)
		for at := range s.endpoints {
			if ejected := s.ejectedBy(at); ejected > 0 {
				t.Errorf("seed %d: endpoint %d is still ejected by %d balancers after all faults ended", seed, at, ejected)
			}
		}
	}
}

// injectFault introduces or ends one randomly chosen fault.
func (s *simulation) injectFault() {
	endpoint, balancer := s.random.IntN(len(s.endpoints)), s.random.IntN(len(s.detectors))
	switch s.random.IntN(8) {
	case 0, 1:
		s.failureRates[endpoint] = s.random.Float64()
	case 2, 3:
		s.failureRates[endpoint] = 0
	case 4:
		s.disconnected[balancer] = !s.disconnected[balancer]
	case 5:
		s.lossRate, s.repeatRate = s.random.Float64()*0.6, s.random.Float64()*0.5
		s.messageDelay = 1 + s.random.Int64N(2000*millisecond)
	case 6:
		s.alive[balancer] = !s.alive[balancer]
	case 7: // Restart: a new process of the same member, without state.
		previous := s.detectors[balancer]
		s.detectors[balancer] = New(previous.self, previous.incarnation+1)
		s.detectors[balancer].SetMembers(previous.members)
		s.detectors[balancer].SetEndpoints(s.endpoints)
	}
}

// TestSizes is a measurement that CI does not run: how many failed attempts messages prevent and how much traffic they
// cause in fleets too large to run as processes. HOLLYLEVER_SIZES is a comma-separated list of numbers of balancers.
func TestSizes(t *testing.T) {
	sizes := os.Getenv("HOLLYLEVER_SIZES")
	if sizes == "" {
		t.Skip("HOLLYLEVER_SIZES is not set")
	}
	for _, size := range strings.Split(sizes, ",") {
		balancers, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		var failures, bytes [2]int
		for connected := range 2 {
			s := newSimulation(t, 1, balancers, 2*balancers, 3)
			s.messagesBlocked = connected == 0
			s.run(2000*millisecond, 0.5)
			s.failureRates[3] = 1
			s.bytesSent = 0
			s.run(20000*millisecond, 0.5)
			failures[connected], bytes[connected] = s.failedAttempts, s.bytesSent
		}
		t.Logf("%d balancers, %d endpoints, 50 attempts per second each, one endpoint fails for 20 s: %d failures "+
			"without messages, %d with messages; %.0f bytes sent per balancer and second", balancers, 2*balancers,
			failures[0], failures[1], float64(bytes[1])/20/float64(balancers))
	}
}

// Guards against an endpoint that fails only under load being put back into use equally fast each time. An ejection
// within 20 s of the recovery counts as a relapse, which slows down the next return; a later one resets the count.
func TestEjectionSoonAfterRecoveryIsRelapse(t *testing.T) {
	for _, c := range []struct {
		sinceRecovery int64
		want          int
	}{
		{19_999 * millisecond, 4},
		{20_000 * millisecond, 0},
	} {
		const now = int64(1e12)
		endpoint := &endpointState{relapses: 3, ejectionEndedAt: now - c.sinceRecovery}
		New(Member{1, 0}, 1).eject(now, 1000, endpoint)
		if endpoint.relapses != c.want {
			t.Errorf("%d ms after the recovery: %d relapses, want %d", c.sinceRecovery/millisecond, endpoint.relapses, c.want)
		}
	}
}
