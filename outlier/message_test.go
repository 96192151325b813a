package outlier

import "testing"

// Receivers reject messages that exceed MaxMessageBytes, so the largest possible message must stay within it.
func TestLargestMessageFits(t *testing.T) {
	m := &Message{From: 1<<32 - 1, Incarnation: 1<<64 - 1, Seq: 1<<32 - 1, Zone: 1<<16 - 1, MissPercent: 100}
	for n := range uint32(maxReportsPerMessage) {
		m.Reports = append(m.Reports, Report{Endpoint: 1<<32 - 1 - n, ConsecutiveFailures: maxReportedFailures, AgeMillis: 1<<16 - 1})
	}
	if size := len(m.Encode()); size > MaxMessageBytes {
		t.Errorf("message has %d bytes, limit %d", size, MaxMessageBytes)
	}
}

// Arbitrary bytes from a peer must not cause a panic.
func FuzzDecodeMessage(f *testing.F) {
	reports := []Report{{Endpoint: 9, ConsecutiveFailures: 2, AgeMillis: 40}}
	f.Add((&Message{From: 7, Incarnation: 1 << 40, Seq: 3, Zone: 2, Reports: reports}).Encode())
	f.Add([]byte{0x85, 0xff})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		m, err := DecodeMessage(encoded)
		if err != nil {
			return
		}
		detector := New(Member{1, 0}, 1)
		detector.SetMembers([]Member{{m.From, 0}})
		for _, r := range m.Reports {
			detector.SetEndpoints([]uint32{r.Endpoint})
		}
		detector.HandleMessage(1e12, m)
		detector.Tick(1e12)
		detector.Status(1e12)
	})
}
