package fleet

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"hollylever/budgets"
)

// openTrace opens the file to which each decision is traced; it returns nil if path is empty. Tests merge the traces of
// all processes and check that no decisions contradict each other.
func openTrace(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fleet.trace: %w", err)
	}
	return file, nil
}

// unscaledTime returns the time by the machine's clock, which tests do not scale.
func unscaledTime() int64 {
	var at unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) // Fails only for an unknown clock; Now reads the same one.
	return at.Nano()
}

// writeTrace writes the inputs of a decision: the time and that of the look at the lease, both by unscaledTime, the name, the min
// and latest revisions, whether there is a lease, the budget share and the digest of the latest revision. Write errors are
// ignored: a missing line is noticed by the test that reads the trace, and must not affect the balancer.
func (f *Fleet) writeTrace(leased bool, lookedAt int64) {
	f.mu.Lock()
	effective := f.effective
	digest := ""
	if revisions := f.holder.Revisions(); len(revisions) > 0 {
		digest = revisions[len(revisions)-1].Digest()
	}
	f.mu.Unlock()
	if !leased && f.leaseTiming.MaxMembers > 0 {
		effective.BudgetShare = budgets.ShareWithoutLease(f.leaseTiming.MaxMembers)
	}
	fmt.Fprintf(f.trace, "%d %d %s %d %d %t %g %s\n", unscaledTime(), lookedAt, f.name, effective.MinRevision, effective.LatestRevision,
		leased, effective.BudgetShare, digest)
}
