package fleet

import "testing"

// What a decision pays for its look at the lease.
func BenchmarkDecides(b *testing.B) {
	f := &Fleet{}
	f.lease.expiry.Store(1 << 62)
	b.ReportAllocs()
	for b.Loop() {
		f.CheckLease()
	}
}

func TestDecidesAllocatesNothing(t *testing.T) {
	f := &Fleet{}
	f.lease.expiry.Store(1 << 62)
	if n := testing.AllocsPerRun(100, func() { f.CheckLease() }); n != 0 || f.lease.decisionsUnderLease.Load() == 0 || f.lease.decisionsWithoutLease.Load() != 0 {
		t.Errorf("%v allocations; %d under a lease, %d alone", n, f.lease.decisionsUnderLease.Load(), f.lease.decisionsWithoutLease.Load())
	}
	f.lease.expiry.Store(1)
	if f.CheckLease() || f.lease.decisionsWithoutLease.Load() != 1 {
		t.Error("a lease that is over counts")
	}
}
