package transport

import (
	"testing"
	"time"
)

// A client pipelines commands, over many reads, and some are skipped meanwhile: each byte keeps the time of the read
// that brought it, and memory stays bounded.
func TestEachByteHasTheTimeOfItsRead(t *testing.T) {
	base := time.Now()
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	a := newArrivalTimes(nil, at(0), at(0))
	a.pendingSince = time.Time{}
	a.recordRead(10, true, at(5))
	a.recordRead(10, true, at(6)) // So soon that it counts as the same read.
	a.recordRead(10, true, at(50))
	for n, want := range map[int]int{1: 5, 10: 5, 20: 5, 21: 50, 30: 50} {
		if got := a.arrivedAt(n); !got.Equal(at(want)) {
			t.Errorf("byte %d came at %v, want %d ms", n, got.Sub(base), want)
		}
	}
	a.discard(15)
	for n, want := range map[int]int{5: 5, 6: 50, 15: 50} {
		if got := a.arrivedAt(n); !got.Equal(at(want)) {
			t.Errorf("after a skip byte %d came at %v, want %d ms", n, got.Sub(base), want)
		}
	}
	for n := range 10 * maxReadMarks {
		a.recordRead(1, true, at(100+10*n))
	}
	if len(a.marks) > maxReadMarks {
		t.Errorf("%d reads are kept", len(a.marks))
	}
	last := 100 + 10*(10*maxReadMarks-1)
	if got := a.arrivedAt(15 + 10*maxReadMarks); !got.Equal(at(last)) {
		t.Errorf("the last byte came at %v, want %d ms", got.Sub(base), last)
	}
	a.discard(15 + 10*maxReadMarks)
	if len(a.marks) > 0 {
		t.Errorf("%d reads are kept of nothing", len(a.marks))
	}
}

// A client connects and writes while nothing is accepted. What was there as it was admitted counts from when it may
// have begun to wait; what arrived later does not.
func TestFirstBytesCountFromTheWaitToBeAccepted(t *testing.T) {
	base := time.Now()
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		what                  string
		delayed               int // ms since which nothing was accepted; -1: it was not so
		called, returned      int // the accept
		taken, read, wantRead int
	}{
		{"no delay", -1, 500, 530, 530, 531, 530},
		{"behind a delay", 100, 500, 500, 500, 501, 100},
		{"behind a delay, and it asked later", 100, 500, 500, 500, 700, 700},
		{"after an accept that found nobody", 100, 500, 600, 600, 601, 600},
	} {
		b := &acceptBacklog{kernelEmptyAt: base}
		if c.delayed >= 0 {
			b.recordDelay(at(c.delayed))
		}
		a := newArrivalTimes(nil, b.connectedSince(at(c.called), at(c.returned)), at(c.taken))
		a.recordRead(10, true, at(c.read))
		if got := a.arrivedAt(10); !got.Equal(at(c.wantRead)) {
			t.Errorf("%s: it came at %v, want %d ms", c.what, got.Sub(base), c.wantRead)
		}
	}
}
