package outlier

import "testing"

const thousand = 1024

// thousands is a board of one among 1,024 members, each in a zone of its own, with 1,024 hosts.
func thousands() *Detector {
	b := New(Member{1, 0}, 1)
	var members []Member
	var hosts []uint32
	for n := range uint32(thousand) {
		zone := uint16(n)
		if zone >= UnknownZone {
			zone++
		}
		members, hosts = append(members, Member{n + 1, zone}), append(hosts, 5000+n)
	}
	b.SetMembers(members)
	b.SetEndpoints(hosts)
	return b
}

// Of 400 of 1,024 hosts that fail at once, and of as many that settle again, all are told within as many messages as they take, 50 ms apart.
func TestAllOfManyHostsAreTold(t *testing.T) {
	b, now := thousands(), int64(1e15)
	const failing = 400
	tells := func(what Sign, fails bool) {
		t.Helper()
		for n := range uint32(failing) {
			b.Observe(now, 5000+n, what)
			b.Observe(now, 5000+n, what)
		}
		told := map[uint32]bool{}
		for range (failing + mostWords - 1) / mostWords {
			now += betweenWords
			m := b.NextMessage(now)
			if m == nil {
				break
			}
			if bytes := len(m.Encode()); bytes > MaxMessageBytes {
				t.Fatalf("a message of %d bytes", bytes)
			}
			for _, w := range m.Words {
				if w.Run > 0 == fails {
					told[w.Host] = true
				}
			}
		}
		if len(told) != failing {
			t.Errorf("%d hosts of %d are told", len(told), failing)
		}
	}
	tells(Fails, true)
	now += betweenWords
	if b.NextMessage(now); b.urgent {
		t.Error("more is due at once, though all was told")
	}
	tells(Settles, false)
}

// What 1,024 members say of a host is kept, each in a zone of its own; of all hosts no more words than are meant to be.
func TestAllWitnessesAreHeard(t *testing.T) {
	b, now := thousands(), int64(1e15)
	says := func(from int, hosts ...uint32) {
		m := &Message{From: uint32(from), Life: 1, Seq: b.spoke[uint32(from)].seq + 1, Zone: 60000}
		for _, host := range hosts {
			m.Words = append(m.Words, Word{Host: host, Run: 2, Age: 10})
		}
		m, err := DecodeMessage(m.Encode())
		if err != nil {
			t.Fatal(err)
		}
		b.HandleMessage(now, m)
	}
	for from := 2; from <= thousand; from++ {
		says(from, 5000)
	}
	if e := b.said(now, b.hosts[5000], freshFor); e.witnesses != thousand-1 || e.zones != thousand-1 {
		t.Errorf("%d witnesses of %d zones are kept", e.witnesses, e.zones)
	}
	for from := 2; from <= thousand; from++ {
		for n := uint32(1); n < 181; n += mostWords {
			var hosts []uint32
			for h := n; h < n+mostWords; h++ {
				hosts = append(hosts, 5000+h)
			}
			says(from, hosts...)
		}
	}
	kept := 0
	for _, h := range b.hosts {
		kept += len(h.words)
		if h.words != nil && len(h.words) < sureHeard {
			t.Errorf("%d words are kept of a host of which all speak", len(h.words))
		}
	}
	if kept > maxHeard+181*sureHeard || kept != b.kept {
		t.Errorf("%d words are kept, %d by the count", kept, b.kept)
	}
}

// The largest message there can be is within its bound.
func TestTheLargestMessage(t *testing.T) {
	m := &Message{From: 1<<32 - 1, Life: 1<<64 - 1, Seq: 1<<32 - 1, Zone: 1<<16 - 1, Miss: 100}
	for n := range uint32(mostWords) {
		m.Words = append(m.Words, Word{Host: 1<<32 - 1 - n, Run: mostRun, Age: 1<<16 - 1})
	}
	if bytes := len(m.Encode()); bytes > MaxMessageBytes {
		t.Errorf("%d bytes", bytes)
	}
}
