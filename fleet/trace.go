package fleet

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"hollylever/budgets"
)

// openTrace opens the file that each decision is traced to; none where the setting is empty. It is for tests, which
// merge the traces of all processes and look for two that contradicted each other.
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

// writeTrace writes what a decision was made on: the time by the machine's true clock, the name, the revisions,
// whether under a lease, the share of the budgets and the digest of the latest revision. A line that cannot be
// written is missed by the test, not by the balancer.
func (f *Fleet) writeTrace(leased bool) {
	f.mu.Lock()
	effective := f.effective
	digest := ""
	if revisions := f.holder.Revisions(); len(revisions) > 0 {
		digest = revisions[len(revisions)-1].Digest()
	}
	f.mu.Unlock()
	var at unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) // It fails for an unknown clock; Now reads this one, too.
	if !leased && f.leaseTiming.MaxMembers > 0 {
		effective.BudgetShare = budgets.ShareWithoutLease(f.leaseTiming.MaxMembers)
	}
	fmt.Fprintf(f.trace, "%d %s %d %d %t %g %s\n", at.Nano(), f.name, effective.MinRevision, effective.LatestRevision,
		leased, effective.BudgetShare, digest)
}
