package fleet

import "testing"

// BenchmarkCheckLease measures what each decision of the balancer pays for the look at its lease.
func BenchmarkCheckLease(b *testing.B) {
	f := &Fleet{}
	f.lease.expiry.Store(1 << 62)
	b.ReportAllocs()
	for b.Loop() {
		f.CheckLease()
	}
}

// The lease is looked at in each decision, some ten thousand a second: an allocation there would be paid as often.
// And a decision after the lease's end that counted as one under it would be made on a configuration that the fleet
// has changed.
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
		t.Error("an expired lease counts")
	}
}
