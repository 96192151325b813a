package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against balancers reaching different decisions because they received the same messages in different orders.
// With reordered and duplicated messages, only the latest report of each member may count.
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
				for _, id := range endpoints { // Later messages replace all reports of earlier ones.
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
			t.Fatalf("ejected: %v in order, %v shuffled", want, got)
		}
	}
}

// Guards against a delayed message from an ended process being attributed to its successor, which would count failures
// from before the successor's start.
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

// newLargeFleetDetector returns the detector of one of 1,024 members, each in its own zone, with 1,024 endpoints.
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

// Guards against endpoints never being reported when more of them fail than fit into one message. When 400 of 1,024
// endpoints fail or recover at once, all must be reported within the minimum number of messages.
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
				t.Fatalf("message has %d bytes, limit %d", size, MaxMessageBytes)
			}
			for _, r := range m.Reports {
				if r.ConsecutiveFailures > 0 == fails {
					reported[r.Endpoint] = true
				}
			}
		}
		if len(reported) != failing {
			t.Errorf("%d of %d endpoints are reported", len(reported), failing)
		}
	}
	expectAllReported(Failure, true)
	now += minMessageInterval
	if detector.NextMessage(now); detector.urgent {
		t.Error("next message is urgent although everything was reported")
	}
	expectAllReported(Success, false)
}

// Guards against a limit on stored reports per endpoint that is too low for the consensus of a large fleet. The reports
// of all 1,024 members on one endpoint must be stored, and the total must stay within its limit.
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
		t.Errorf("%d reporters in %d zones are stored", e.reporters, e.zones)
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
			t.Errorf("only %d reports are stored of an endpoint that all members report on", len(endpoint.reports))
		}
	}
	if stored > evictionThreshold+181*minReportsPerEndpoint || stored != detector.storedReports {
		t.Errorf("%d reports are stored, but storedReports is %d", stored, detector.storedReports)
	}
}

// Guards against reports of members that no longer send messages being stored indefinitely. A report must be dropped
// once both its observation and its receipt are more than 30 s old; until then the probe order may depend on it.
func TestReportsExpire(t *testing.T) {
	const now, old = int64(1e12), 30_000 * millisecond
	for _, c := range []struct {
		observed, received int64 // age
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
