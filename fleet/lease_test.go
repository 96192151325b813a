package fleet

import "testing"

// BenchmarkCheckLease measures the cost that the lease check adds to each decision of the balancer.
func BenchmarkCheckLease(b *testing.B) {
	f := &Fleet{}
	f.lease.expiry.Store(1 << 62)
	b.ReportAllocs()
	for b.Loop() {
		f.CheckLease()
	}
}

// CheckLease runs for each decision, about ten thousand times per second, so it must not allocate. It must also not
// accept an expired lease: the decision would use a configuration that the fleet may have changed.
func TestCheckLeaseAllocatesNothing(t *testing.T) {
	f := &Fleet{}
	f.lease.expiry.Store(1 << 62)
	allocations := testing.AllocsPerRun(100, func() { f.CheckLease() })
	under, without := f.lease.decisionsUnderLease.Load(), f.lease.decisionsWithoutLease.Load()
	if allocations != 0 || under == 0 || without != 0 {
		t.Errorf("%v allocations; %d decisions under a lease, %d without", allocations, under, without)
	}
	f.lease.expiry.Store(1)
	if f.CheckLease() || f.lease.decisionsWithoutLease.Load() != 1 {
		t.Error("an expired lease is accepted, or its decision is not counted")
	}
}
