// Package budgets divides fleet-wide budgets (the capacity of endpoints that are warming up, the capacity of new
// endpoints, tenants' quotas) among the processes of the fleet in proportion to the traffic that each reports. The
// consensus leader keeps a Ledger and grants a share of the whole budget with each lease. A process acts on its
// HeldShare while its lease lasts, and on ShareWithoutLease otherwise.
//
// The package is pure: the caller passes in the clock. Its types are not safe for concurrent use: package consensus
// makes one call at a time. Times are nanoseconds of the leader's clock. Shares are fractions of the whole budget, from
// 0 to 1.
//
// Guarantee: while no more than the configured maximum of processes run, and clock rates stay within the configured
// error, the shares that all processes act on never add up to more than the whole. This holds when messages are lost,
// repeated or delayed, when processes pause, crash or restart, and when a new leader is elected. A reduced share takes
// effect as soon as its holder learns of it. A share is raised only by what no other process can still be acting on.
package budgets

import "math"

const (
	// maxAccounts is the maximum number of processes in a ledger: two incarnations of each process of the largest
	// fleet.
	maxAccounts = 8192
	// maxPromises is the maximum number of promises recorded for one process. A further one is merged with the last,
	// and the larger share of the two is kept.
	maxPromises = 16
	// minRequestRate, in requests per second, is the rate assumed for a process without traffic, so that it has some
	// share when its first requests arrive.
	minRequestRate = 1
	// maxRequestRate, in requests per second, is more than any process can receive. A higher reported rate counts as
	// minRequestRate.
	maxRequestRate = 1e9
	// shareSteps is the number of steps of the whole to which shares are rounded down.
	shareSteps = 1e6
)

// Holder identifies one incarnation of a process. A process that restarts, or that replaces another during an upgrade,
// is a different holder, because the earlier incarnation may still be acting on its share.
type Holder struct {
	Name        string
	Incarnation uint64
}

// ShareRequest is the information that a process sends with its request for a lease.
type ShareRequest struct {
	Seq         uint64  // sequence number of this request within the incarnation
	GrantSeq    uint64  // Seq of the request for which the process's current share was granted
	RequestRate float64 // requests per second that arrive at the process
}

// Ledger is the leader's record of the shares it has granted. A new leader starts with an empty one.
type Ledger struct {
	maxProcesses  int
	leaseTimeout  int64 // see New
	withholdUntil int64 // leaseTimeout after the call of New
	accounts      map[Holder]*account

	// Overcommits counts grants made while more processes had leases than maxProcesses.
	Overcommits int
}

// account is a ledger's record of one process.
type account struct {
	requestRate float64
	promises    []promise // in the order in which they were granted
}

// promise is a share that a process may be acting on.
type promise struct {
	seq       uint64 // Seq of the request for which it was granted
	share     float64
	expiresAt int64
}

// ShareWithoutLease is the share of a process without a lease in a fleet of at most maxProcesses: half of an equal
// share. Half of the whole is thus enough for all processes if none has a lease, and the other half is divided by
// traffic.
func ShareWithoutLease(maxProcesses int) float64 { return 0.5 / float64(max(1, maxProcesses)) }

// New returns the ledger of a process that has just become the leader of a fleet of at most maxProcesses. leaseTimeout
// is the time after a grant, on the leader's clock, when its lease has expired on every clock. No share above
// ShareWithoutLease is granted until leaseTimeout after now, because grants of an earlier leader are unknown to the new
// ledger and may still be in use.
func New(now int64, maxProcesses int, leaseTimeout int64) *Ledger {
	return &Ledger{
		maxProcesses:  maxProcesses,
		leaseTimeout:  leaseTimeout,
		withholdUntil: now + leaseTimeout,
		accounts:      map[Holder]*account{},
	}
}

// Grant returns the share to grant with a lease now, and records it as a promise. If the ledger is full, a further
// process gets ShareWithoutLease and is not recorded.
func (l *Ledger) Grant(now int64, holder Holder, request ShareRequest) float64 {
	others := l.commitmentsOfOthers(now, holder)
	own := l.account(holder)
	if own == nil {
		return ShareWithoutLease(l.maxProcesses)
	}
	own.requestRate = plausibleRate(request.RequestRate)
	own.dropObsolete(now, request.GrantSeq)
	if others.processes+1 > l.maxProcesses {
		l.Overcommits++
	}
	share := l.shareFor(now, others, own.requestRate)
	own.record(promise{request.Seq, share, now + l.leaseTimeout})
	return share
}

// plausibleRate returns the rate to use for a reported rate. An invalid or implausible one counts as minRequestRate, so
// that reporting wrong rates brings no advantage.
func plausibleRate(stated float64) float64 {
	if !(stated >= 0) || stated > maxRequestRate { // The first condition is also true for NaN.
		stated = 0
	}
	return max(minRequestRate, stated)
}

// commitments are the totals over processes that may be acting on granted shares.
type commitments struct {
	processes   int
	share       float64
	requestRate float64
}

// commitmentsOfOthers returns the totals over all processes except holder. It deletes the accounts of those whose last
// lease has expired.
func (l *Ledger) commitmentsOfOthers(now int64, holder Holder) (sum commitments) {
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

// account returns the account of holder, creating it if necessary, or nil if the ledger is full.
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

// shareFor returns the share of a process with the given request rate, given the commitments to others. Each process
// with a lease gets ShareWithoutLease, and as much is reserved for each process without one. The rest is divided in
// proportion to traffic, as far as it is not promised to others.
func (l *Ledger) shareFor(now int64, others commitments, requestRate float64) float64 {
	shareWithoutLease := ShareWithoutLease(l.maxProcesses)
	if now < l.withholdUntil {
		// The promises of an earlier leader are unknown. The share that the process reports to hold cannot be confirmed
		// either: it may since have been promised to others as well.
		return shareWithoutLease
	}
	leased := others.processes + 1
	reserved := shareWithoutLease * float64(max(0, l.maxProcesses-leased))
	byTraffic := max(0, 1-reserved-shareWithoutLease*float64(leased)) * requestRate / (others.requestRate + requestRate)
	available := max(shareWithoutLease, 1-reserved-others.share)
	return floorShare(min(shareWithoutLease+byTraffic, available), shareWithoutLease)
}

// floorShare rounds a share down, so that rounding never lifts the sum of shares above the whole, but returns at least
// minimum.
func floorShare(share, minimum float64) float64 {
	return max(minimum, math.Floor(share*shareSteps)/shareSteps)
}

// dropObsolete deletes promises that have expired, and those granted for requests before grantSeq, the request whose
// share the process acts on: it accepts no share for an earlier request any more (see HeldShare.Accept).
func (a *account) dropObsolete(now int64, grantSeq uint64) {
	kept := a.promises[:0]
	for _, p := range a.promises {
		if now < p.expiresAt && p.seq >= grantSeq {
			kept = append(kept, p)
		}
	}
	a.promises = kept
}

// record adds a promise. If there are already maxPromises, the new promise is merged with the last one, so that no
// share is lost from the record: a process that has received no responses so far may still receive any of them.
func (a *account) record(granted promise) {
	if len(a.promises) < maxPromises {
		a.promises = append(a.promises, granted)
		return
	}
	last := &a.promises[len(a.promises)-1]
	granted.share = max(granted.share, last.share)
	*last = granted
}

// outstanding returns the largest share that the process can be acting on under a lease, or 0 if it cannot have a
// lease.
func (a *account) outstanding(now int64) (share float64) {
	for _, p := range a.promises {
		if now < p.expiresAt {
			share = max(share, p.share)
		}
	}
	return share
}
