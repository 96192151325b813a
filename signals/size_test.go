package signals

import "testing"

const largeFleet = 1024

// thousands is a board of one among 1,024 members, each in a zone of its own, with 1,024 hosts.
func newLargeFleetDetector() *Board {
	b := New(Member{1, 0}, 1)
	var members []Member
	var hosts []uint32
	for n := range uint32(largeFleet) {
		zone := uint16(n)
		if zone >= NoZone {
			zone++
		}
		members, hosts = append(members, Member{n + 1, zone}), append(hosts, 5000+n)
	}
	b.Members(members)
	b.Hosts(hosts)
	return b
}

// Of 400 of 1,024 hosts that fail at once, and of as many that settle again, all are told within as many messages as they take, 50 millisecond apart.
func TestAllOfManyHostsAreTold(t *testing.T) {
	b, now := newLargeFleetDetector(), int64(1e15)
	const failing = 400
	tells := func(what Observation, fails bool) {
		t.Helper()
		for n := range uint32(failing) {
			b.Saw(now, 5000+n, what)
			b.Saw(now, 5000+n, what)
		}
		told := map[uint32]bool{}
		for range (failing + maxReportsPerMessage - 1) / maxReportsPerMessage {
			now += minMessageInterval
			m := b.Tell(now)
			if m == nil {
				break
			}
			if bytes := len(m.Pack()); bytes > MostBytes {
				t.Fatalf("a message of %d bytes", bytes)
			}
			for _, w := range m.Reports {
				if w.ConsecutiveFailures > 0 == fails {
					told[w.Endpoint] = true
				}
			}
		}
		if len(told) != failing {
			t.Errorf("%d hosts of %d are told", len(told), failing)
		}
	}
	tells(Failure, true)
	now += minMessageInterval
	if b.Tell(now); b.urgent {
		t.Error("more is due at once, though all was told")
	}
	tells(Success, false)
}

// What 1,024 members say of a host is kept, each in a zone of its own; of all hosts no more words than are meant to be.
func TestAllWitnessesAreHeard(t *testing.T) {
	b, now := newLargeFleetDetector(), int64(1e15)
	says := func(from int, hosts ...uint32) {
		m := &Message{From: uint32(from), Incarnation: 1, Seq: b.senders[uint32(from)].seq + 1, Zone: 60000}
		for _, host := range hosts {
			m.Reports = append(m.Reports, Report{Endpoint: host, ConsecutiveFailures: 2, AgeMillis: 10})
		}
		m, err := Unpack(m.Pack())
		if err != nil {
			t.Fatal(err)
		}
		b.Hear(now, m)
	}
	for from := 2; from <= largeFleet; from++ {
		says(from, 5000)
	}
	if e := b.collectEvidence(now, b.endpoints[5000], ejectionWindow); e.witnesses != largeFleet-1 || e.zones != largeFleet-1 {
		t.Errorf("%d witnesses of %d zones are kept", e.witnesses, e.zones)
	}
	for from := 2; from <= largeFleet; from++ {
		for n := uint32(1); n < 181; n += maxReportsPerMessage {
			var hosts []uint32
			for h := n; h < n+maxReportsPerMessage; h++ {
				hosts = append(hosts, 5000+h)
			}
			says(from, hosts...)
		}
	}
	kept := 0
	for _, h := range b.endpoints {
		kept += len(h.reports)
		if h.reports != nil && len(h.reports) < minReportsPerEndpoint {
			t.Errorf("%d words are kept of a host of which all speak", len(h.reports))
		}
	}
	if kept > maxStoredReports+181*minReportsPerEndpoint || kept != b.storedReports {
		t.Errorf("%d words are kept, %d by the count", kept, b.storedReports)
	}
}

// The largest message there can be is within its bound.
func TestTheLargestMessage(t *testing.T) {
	m := &Message{From: 1<<32 - 1, Incarnation: 1<<64 - 1, Seq: 1<<32 - 1, Zone: 1<<16 - 1, MissPercent: 100}
	for n := range uint32(maxReportsPerMessage) {
		m.Reports = append(m.Reports, Report{Endpoint: 1<<32 - 1 - n, ConsecutiveFailures: maxReportedFailures, AgeMillis: 1<<16 - 1})
	}
	if bytes := len(m.Pack()); bytes > MostBytes {
		t.Errorf("%d bytes", bytes)
	}
}
