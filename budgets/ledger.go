// Package budgets divides what a fleet may do in all (capacity of endpoints that warm up, capacity of endpoints that
// are new, tenants' quotas) among its processes, by the traffic that each reports. The consensus leader keeps a
// Ledger and grants a share of the whole with each lease. A process acts on its HeldShare while its lease lasts, and
// without a lease on ShareWithoutLease.
//
// The package is pure: the clock is handed in. Nothing locks: the callers, leader and lease holder in consensus, make
// one call at a time. Times are nanoseconds of the leader's clock. Shares are fractions of the whole, from 0 to 1.
//
// What it guarantees: while no more than the stated number of processes run, the shares that all act on never add up
// to more than the whole, whatever is lost, repeated, late or stopped, and whoever crashes, comes back or is elected;
// as long as clocks keep to the stated error of their rate. A share that shrinks counts as soon as its holder hears
// of it. One grows only into what nobody can be acting on any more.
package budgets

import "math"

const (
	// maxAccounts bounds the processes that a ledger knows: two incarnations of each that a fleet may have.
	maxAccounts = 8192
	// maxPromises bounds the promises that are kept of one process; further ones count as the largest of them.
	maxPromises = 16
	// minRequestRate, in requests a second, is what a process without traffic counts as, so that it has some share when
	// the first requests come.
	minRequestRate = 1
	// maxRequestRate, in requests a second, is what no process can have: one that reports more is not believed.
	maxRequestRate = 1e9
	// sharePrecision is how many steps the whole has when a share is rounded down.
	sharePrecision = 1e6
)

// Holder is one incarnation of a process. One that restarts, and the second one over an upgrade, is another holder: the
// earlier one may still act on its share.
type Holder struct {
	Name        string
	Incarnation uint64
}

// ShareRequest is what a process states with its request for a lease.
type ShareRequest struct {
	Seq         uint64  // of the request, within the incarnation
	GrantSeq    uint64  // Seq of the request that the share it acts on was granted for
	RequestRate float64 // requests a second that arrive at it
}

// Ledger is the leader's record of the shares it has granted. A new leader starts with an empty one.
type Ledger struct {
	maxProcesses  int
	leaseTimeout  int64 // after so long on this clock a lease is over on any
	withholdUntil int64 // nothing above ShareWithoutLease is granted before
	accounts      map[Holder]*account

	// Overcommits counts grants made while more processes had leases than the fleet is stated to have.
	Overcommits int
}

// account is what a ledger keeps of one process.
type account struct {
	requestRate float64
	promises    []promise // in the order of their grants
}

// promise is a share that a process may be acting on.
type promise struct {
	seq       uint64 // of the request it was granted for
	share     float64
	expiresAt int64
}

// ShareWithoutLease is the share of a process without a lease in a fleet of so many: half of an even share. So the
// half of the whole is kept for those without a lease, wherever they are, and the other half is divided by traffic.
func ShareWithoutLease(maxProcesses int) float64 { return 0.5 / float64(max(1, maxProcesses)) }

// New returns the ledger of a process that has just become the leader of a fleet of at most maxProcesses.
// leaseTimeout is how long after a grant its lease is over on every clock. Until then no share is raised: what an
// earlier leader granted is not known here, and may still be acted on.
func New(now int64, maxProcesses int, leaseTimeout int64) *Ledger {
	return &Ledger{
		maxProcesses:  maxProcesses,
		leaseTimeout:  leaseTimeout,
		withholdUntil: now + leaseTimeout,
		accounts:      map[Holder]*account{},
	}
}

// Grant returns the share that goes with a lease granted now, and records it as promised. A process beyond maxAccounts
// gets ShareWithoutLease and is not recorded.
func (l *Ledger) Grant(now int64, holder Holder, request ShareRequest) float64 {
	others := l.commitmentsBeside(now, holder)
	own := l.account(holder)
	if own == nil {
		return ShareWithoutLease(l.maxProcesses)
	}
	own.requestRate = believedRate(request.RequestRate)
	own.dropObsolete(now, request.GrantSeq)
	if others.processes+1 > l.maxProcesses {
		l.Overcommits++
	}
	share := l.shareBeside(now, others, own.requestRate)
	own.record(promise{request.Seq, share, now + l.leaseTimeout})
	return share
}

// believedRate is what a stated rate counts as. One that cannot be counts as the least, so that lying does not pay.
func believedRate(stated float64) float64 {
	if !(stated >= 0) || stated > maxRequestRate { // The first is true for NaN too.
		stated = 0
	}
	return max(minRequestRate, stated)
}

// commitments sum up what processes with leases may be acting on.
type commitments struct {
	processes   int
	share       float64
	requestRate float64
}

// commitmentsBeside sums up all processes but one, and forgets those whose last lease is over.
func (l *Ledger) commitmentsBeside(now int64, holder Holder) (sum commitments) {
	for other, account := range l.accounts {
		if other == holder {
			continue
		}
		share := account.outstanding(now)
		if share == 0 {
			delete(l.accounts, other)
			continue
		}
		sum.processes++
		sum.share += share
		sum.requestRate += account.requestRate
	}
	return sum
}

// account returns a process's account, a new one if need be, or nil if there are too many.
func (l *Ledger) account(holder Holder) *account {
	if known := l.accounts[holder]; known != nil {
		return known
	}
	if len(l.accounts) >= maxAccounts {
		return nil
	}
	created := &account{}
	l.accounts[holder] = created
	return created
}

// shareBeside is the share of a process with this rate beside what is promised to others. Each process with a lease has
// ShareWithoutLease; so much is reserved for each without one; the rest goes by traffic, as far as it is not promised.
func (l *Ledger) shareBeside(now int64, others commitments, requestRate float64) float64 {
	alone := ShareWithoutLease(l.maxProcesses)
	if now < l.withholdUntil {
		// An earlier leader's promises are not known here. A share that the process says it holds does not help: what
		// it holds may since have been promised to others as well.
		return alone
	}
	leased := others.processes + 1
	reserved := alone * float64(max(0, l.maxProcesses-leased))
	byTraffic := max(0, 1-reserved-alone*float64(leased)) * requestRate / (others.requestRate + requestRate)
	free := max(alone, 1-reserved-others.share)
	return floorShare(min(alone+byTraffic, free), alone)
}

// floorShare rounds a share down, but not below the least, so that the sum of many does not exceed the whole by
// rounding.
func floorShare(share, least float64) float64 {
	return max(least, math.Floor(share*sharePrecision)/sharePrecision)
}

// dropObsolete forgets promises that expired, and those granted for requests before the one whose share the process
// acts on: it takes no share of an earlier request any more (see HeldShare.Accept).
func (a *account) dropObsolete(now int64, actsOn uint64) {
	kept := a.promises[:0]
	for _, p := range a.promises {
		if now < p.expiresAt && p.seq >= actsOn {
			kept = append(kept, p)
		}
	}
	a.promises = kept
}

// record adds a promise. If there are too many, it is merged with the last one so that no share is forgotten: a process
// that hears no answers may still get any of them.
func (a *account) record(granted promise) {
	if len(a.promises) < maxPromises {
		a.promises = append(a.promises, granted)
		return
	}
	last := &a.promises[len(a.promises)-1]
	granted.share = max(granted.share, last.share)
	*last = granted
}

// outstanding is the largest share that the process can be acting on under a lease; 0: it can have none.
func (a *account) outstanding(now int64) (share float64) {
	for _, p := range a.promises {
		if now < p.expiresAt {
			share = max(share, p.share)
		}
	}
	return share
}
