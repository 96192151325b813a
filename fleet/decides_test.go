package fleet

import "testing"

// What a decision pays for its look at the lease.
func BenchmarkDecides(b *testing.B) {
	f := &Fleet{}
	f.until.Store(1 << 62)
	b.ReportAllocs()
	for b.Loop() {
		f.CheckLease()
	}
}

func TestDecidesAllocatesNothing(t *testing.T) {
	f := &Fleet{}
	f.until.Store(1 << 62)
	if n := testing.AllocsPerRun(100, func() { f.CheckLease() }); n != 0 || f.under.Load() == 0 || f.alone.Load() != 0 {
		t.Errorf("%v allocations; %d under a lease, %d alone", n, f.under.Load(), f.alone.Load())
	}
	f.until.Store(1)
	if f.CheckLease() || f.alone.Load() != 1 {
		t.Error("a lease that is over counts")
	}
}
