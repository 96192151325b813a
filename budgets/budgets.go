// Package budgets divides what a fleet may do in all - room at cold hosts, room for what is young, tenants' quotas - among its processes, by the
// traffic that they tell. It is pure. agreed's keeper that leads has a Ledger and promises parts with the leases that it grants; each
// process acts on its part for as long as its lease lasts, and else on the part of one alone.
//
// What it promises: while no more than Most processes run, the sum of the parts that all act on is never over the whole, whatever is lost,
// repeated, late or stopped, and whoever crashes, comes back or leads anew; as long as clocks keep to the stated error of their rate. A part that
// shrinks counts as soon as it is heard; one grows only into what nobody can be acting on any more.
package budgets

import "math"

// Holder is one life of a process.
type Holder struct {
	Name        string
	Incarnation uint64
}

// Told is what a process says with its ask for a lease.
type ShareRequest struct {
	Seq         uint64  // of the ask, of this life
	GrantSeq    uint64  // the ask that the part it acts on was granted for
	RequestRate float64 // retrievals a second that come to it
}

// Ledger is what the one that leads has promised.
type Ledger struct {
	most    int
	outlast int64 // after so long on this clock a lease is over on any
	raises  int64 // before, nothing is raised: earlier promises are not known
	holders map[Holder]*account
	Over    int // promises to more processes than stated
}

type account struct {
	rate     float64
	promises []promise
}

type promise struct {
	seq  uint64
	part float64
	ends int64
}

const (
	maxAccounts  = 8192 // two lives of each process that a fleet may have
	mostPromises = 16   // to one holder; more count as the largest of them
	leastRate    = 1    // a second, so that one to which nothing comes yet has a part too
)

// Alone is the part of a process without a lease: half of an even one. The other half is what is divided by use.
func ShareWithoutLease(most int) float64 { return 0.5 / float64(max(1, most)) }

// New begins a ledger for one that has just come to lead.
func New(now int64, most int, outlast int64) *Ledger {
	return &Ledger{most: most, outlast: outlast, raises: now + outlast, holders: map[Holder]*account{}}
}

// outstanding is the most that a holder can be acting on under a lease.
func (a *account) outstanding(now int64) (most float64) {
	for _, p := range a.promises {
		if now < p.ends {
			most = max(most, p.part)
		}
	}
	return most
}

// Grant says which part goes with a lease that is granted now for this ask.
func (l *Ledger) Grant(now int64, who Holder, t ShareRequest) float64 {
	alone := ShareWithoutLease(l.most)
	if !(t.RequestRate >= 0) || t.RequestRate > 1e9 {
		t.RequestRate = 0 // What cannot be is nothing: a liar gets the least.
	}
	others, rates, leased := 0.0, 0.0, 1
	for h, a := range l.holders {
		if h == who {
			continue
		}
		most := a.outstanding(now)
		if most == 0 {
			delete(l.holders, h) // Its last lease is over.
			continue
		}
		leased++
		others += most
		rates += a.rate
	}
	a := l.holders[who]
	if a == nil {
		if len(l.holders) >= maxAccounts {
			return alone
		}
		a = &account{}
		l.holders[who] = a
	}
	a.rate = max(leastRate, t.RequestRate)
	kept := a.promises[:0]
	for _, p := range a.promises { // It acts on what it was granted for a later ask: earlier promises can't be taken any more.
		if now < p.ends && p.seq >= t.GrantSeq {
			kept = append(kept, p)
		}
	}
	a.promises = kept
	reserve := alone * float64(max(0, l.most-leased)) // Those without a lease act on that, wherever they are.
	if leased > l.most {
		l.Over++
	}
	share := max(0, 1-reserve-alone*float64(leased)) * a.rate / (rates + a.rate)
	part := alone + share
	if now < l.raises { // What an earlier leader promised others is not known, and what this one says it holds may have gone to them since.
		part = alone
	}
	part = min(part, max(alone, 1-reserve-others))
	part = max(alone, math.Floor(part*1e6)/1e6) // So that sums of many are not over the whole by rounding.
	next := promise{t.Seq, part, now + l.outlast}
	if last := len(a.promises) - 1; last+1 >= mostPromises {
		a.promises[last] = promise{next.seq, max(part, a.promises[last].part), next.ends}
	} else {
		a.promises = append(a.promises, next)
	}
	return part
}

// Promised is the most that all under leases of this one can be acting on.
func (l *Ledger) Promised(now int64) (sum float64) {
	for _, a := range l.holders {
		sum += a.outstanding(now)
	}
	return sum
}

// Held is a process's own side: which part it acts on.
type HeldShare struct {
	Share    float64
	GrantSeq uint64
}

// Take takes a part that came with a lease; one that was granted for an earlier ask than the part held counts for nothing.
func (h *HeldShare) Accept(seq uint64, part float64) {
	if part > 0 && part <= 1 && seq > h.GrantSeq {
		h.Share, h.GrantSeq = part, seq
	}
}
