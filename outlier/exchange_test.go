package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Two balancers that received the same messages in another order decided otherwise. Whatever the order, and with
// repeats and losses, the last report of each member is what counts.
func TestMergeIsOrderIndependent(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	endpoints := []uint32{1000, 1001, 1002, 1003, 1004}
	ejectedAfter := func(messages []*Message) (ejected []bool) {
		var members []Member
		for id := range 8 {
			members = append(members, Member{uint32(id + 1), uint16(id % 2)})
		}
		detector := New(members[0], 1)
		detector.SetMembers(members)
		detector.SetEndpoints(endpoints)
		for _, m := range messages {
			detector.HandleMessage(1e12, m)
		}
		detector.Tick(1e12)
		for _, id := range endpoints {
			ejected = append(ejected, detector.endpoints[id].isEjected())
		}
		return ejected
	}
	for range 200 {
		var messages []*Message
		for from := range 6 {
			for seq := range 4 {
				m := &Message{From: uint32(from + 2), Incarnation: 1, Seq: uint32(seq + 1), Zone: uint16(from % 2)}
				for _, id := range endpoints { // All in each message: the later one replaces the earlier one whole.
					failures, age := uint8(random.IntN(5)), uint16(random.IntN(2000))
					m.Reports = append(m.Reports, Report{Endpoint: id, ConsecutiveFailures: failures, AgeMillis: age})
				}
				messages = append(messages, m)
			}
		}
		want := ejectedAfter(messages)
		shuffled := append(slices.Clone(messages), messages[:8]...)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if got := ejectedAfter(shuffled); !slices.Equal(got, want) {
			t.Fatalf("%v in order, %v shuffled", want, got)
		}
	}
}

// A late message of a process that is over spoke for the one that came after it, with failures of before its start.
func TestStaleIncarnationIsIgnored(t *testing.T) {
	detector := New(Member{1, 0}, 1)
	detector.SetMembers([]Member{{2, 0}, {3, 0}})
	detector.SetEndpoints([]uint32{1000})
	success, failure := []Report{{Endpoint: 1000}}, []Report{{Endpoint: 1000, ConsecutiveFailures: 9}}
	detector.HandleMessage(1e12, &Message{From: 2, Incarnation: 5, Seq: 1, Reports: success})
	detector.HandleMessage(1e12, &Message{From: 2, Incarnation: 4, Seq: 9, Reports: failure})
	detector.HandleMessage(1e12, &Message{From: 9, Incarnation: 4, Seq: 9, Reports: failure})
	detector.HandleMessage(1e12, &Message{From: 1, Incarnation: 4, Seq: 9, Reports: failure})
	if detector.MessagesAccepted != 1 || detector.MessagesStale != 1 || detector.MessagesFromUnknown != 2 {
		t.Errorf("%d accepted, %d stale, %d from unknown senders", detector.MessagesAccepted, detector.MessagesStale, detector.MessagesFromUnknown)
	}
}

const largeFleet = 1024

// newLargeFleetDetector returns the detector of one of 1,024 members, each in a zone of its own, with 1,024 endpoints.
func newLargeFleetDetector() *Detector {
	detector := New(Member{1, 0}, 1)
	var members []Member
	var endpoints []uint32
	for n := range uint32(largeFleet) {
		zone := uint16(n)
		if zone >= UnknownZone {
			zone++
		}
		members, endpoints = append(members, Member{n + 1, zone}), append(endpoints, 5000+n)
	}
	detector.SetMembers(members)
	detector.SetEndpoints(endpoints)
	return detector
}

// With more failing endpoints than a message holds, some were never reported. Of 400 of 1,024 that fail at once, and
// that succeed again, all are reported in as many messages as they fill.
func TestAllFailingEndpointsAreReported(t *testing.T) {
	detector, now := newLargeFleetDetector(), int64(1e15)
	const failing = 400
	expectAllReported := func(observation Observation, fails bool) {
		t.Helper()
		for n := range uint32(failing) {
			detector.Observe(now, 5000+n, observation)
			detector.Observe(now, 5000+n, observation)
		}
		reported := map[uint32]bool{}
		for range (failing + maxReportsPerMessage - 1) / maxReportsPerMessage {
			now += minMessageInterval
			m := detector.NextMessage(now)
			if m == nil {
				break
			}
			if size := len(m.Encode()); size > MaxMessageBytes {
				t.Fatalf("a message has %d bytes", size)
			}
			for _, r := range m.Reports {
				if r.ConsecutiveFailures > 0 == fails {
					reported[r.Endpoint] = true
				}
			}
		}
		if len(reported) != failing {
			t.Errorf("%d endpoints of %d are reported", len(reported), failing)
		}
	}
	expectAllReported(Failure, true)
	now += minMessageInterval
	if detector.NextMessage(now); detector.urgent {
		t.Error("another message is due at once, though all was reported")
	}
	expectAllReported(Success, false)
}

// A table that kept too few reports per endpoint never reached a large fleet's consensus. All of 1,024 members' reports
// of one endpoint are kept; of all endpoints together no more than the bound.
func TestAllReportersAreStored(t *testing.T) {
	detector, now := newLargeFleetDetector(), int64(1e15)
	report := func(from int, endpoints ...uint32) {
		m := &Message{From: uint32(from), Incarnation: 1, Seq: detector.senders[uint32(from)].seq + 1, Zone: 60000}
		for _, id := range endpoints {
			m.Reports = append(m.Reports, Report{Endpoint: id, ConsecutiveFailures: 2, AgeMillis: 10})
		}
		m, err := DecodeMessage(m.Encode())
		if err != nil {
			t.Fatal(err)
		}
		detector.HandleMessage(now, m)
	}
	for from := 2; from <= largeFleet; from++ {
		report(from, 5000)
	}
	e := detector.collectEvidence(now, detector.endpoints[5000], ejectionWindow)
	if e.reporters != largeFleet-1 || e.zones != largeFleet-1 {
		t.Errorf("%d witnesses of %d zones are kept", e.reporters, e.zones)
	}
	for from := 2; from <= largeFleet; from++ {
		for first := uint32(1); first < 181; first += maxReportsPerMessage {
			var endpoints []uint32
			for n := first; n < first+maxReportsPerMessage; n++ {
				endpoints = append(endpoints, 5000+n)
			}
			report(from, endpoints...)
		}
	}
	stored := 0
	for _, endpoint := range detector.endpoints {
		stored += len(endpoint.reports)
		if endpoint.reports != nil && len(endpoint.reports) < minReportsPerEndpoint {
			t.Errorf("%d reports are kept of an endpoint that all report on", len(endpoint.reports))
		}
	}
	if stored > maxStoredReports+181*minReportsPerEndpoint || stored != detector.storedReports {
		t.Errorf("%d reports are kept, %d by the count", stored, detector.storedReports)
	}
}

// Reports of members that fell silent filled the table for ever. A report is dropped once it is 30 s old, both by its
// sender's word and since it was received; until then the order of probes may depend on it.
func TestReportsExpire(t *testing.T) {
	const now, old = int64(1e12), 30_000 * millisecond
	for _, c := range []struct {
		observed, received int64 // ago
		want               int
	}{
		{old, old, 1},
		{old + 1, old, 1},
		{old, old + 1, 1},
		{old + 1, old + 1, 0},
	} {
		endpoint := &endpointState{reports: []storedReport{{observedAt: now - c.observed, receivedAt: now - c.received}}}
		endpoint.dropExpiredReports(now)
		if len(endpoint.reports) != c.want {
			t.Errorf("observed %d ns ago, received %d ns ago: %d reports", c.observed, c.received, len(endpoint.reports))
		}
	}
}
