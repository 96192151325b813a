package outlier

import "testing"

// Guards against the fleet changing how it ranks endpoints because a few members miss all their reads, as after a
// restart. A third of the members, in two zones, must have a high miss rate, and the alarm must end once fewer do.
func TestWidespreadMissAlarmNeedsQuorum(t *testing.T) {
	for _, c := range []struct {
		from []uint32
		own  int // misses among 100 reads of this balancer
		want bool
	}{
		{[]uint32{2}, 10, false},
		{[]uint32{4, 7, 10}, 90, false}, // All in this balancer's zone.
		{[]uint32{2, 3, 4, 5}, 10, true},
		{[]uint32{2, 3}, 10, false},
	} {
		detector := New(Member{1, 0}, 1)
		var members []Member
		for id := range uint32(12) {
			members = append(members, Member{id + 1, uint16(id % 3)})
		}
		detector.SetMembers(members)
		now := int64(1e12)
		for seq := range uint32(2) {
			for _, from := range c.from {
				detector.HandleMessage(now, &Message{From: from, Incarnation: 1, Seq: seq + 1, Zone: uint16((from - 1) % 3), MissPercent: 60})
			}
		}
		if got := detector.UpdateMissRate(now, 100, c.own); got != c.want {
			t.Errorf("reporters %v: alarm is %t, want %t", c.from, got, c.want)
		}
		if detector.UpdateMissRate(now+minAlarmDuration+1, 300, c.own+20) {
			t.Errorf("reporters %v: alarm does not end", c.from)
		}
	}
}

// A message that carries only a miss rate must be sent, and must be small.
func TestMissRateIsReportedWithoutReports(t *testing.T) {
	detector := New(Member{1, 0}, 1)
	detector.UpdateMissRate(1e12, 100, 50)
	if m := detector.NextMessage(1e12); m == nil || m.MissPercent != 50 || len(m.Encode()) > 40 {
		t.Errorf("%+v", m)
	}
}
