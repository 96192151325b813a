// Package quota decides which requests one balancer rejects because their tenant asks for more than its share of the
// fleet, while the fleet responds late. Package policy asks it once for each request and tells it how attempts end.
//
// A tenant's quota is stated for the whole fleet. A balancer knows only its own requests, so it estimates which part of
// the fleet's traffic comes to it, and holds each tenant to that part of its quota. How many of the requests beyond a
// share are admitted follows additive increase, multiplicative decrease: all while attempts end in time, fewer while
// too many end late.
//
// The package does no I/O: the clock, the random draws and what load reports tell are handed in. A Limiter must not be
// used concurrently.
package quota

import (
	"cmp"
	"math"
	"slices"

	"hollylever/decay"
)

const (
	// estimateLifetimeNanos is how long an estimate of the own traffic share is used: it sorts the tenants, which may
	// be many.
	estimateLifetimeNanos = int64(50e6)
	// maxLateRatio is the part of attempts that may end late before requests beyond a share are rejected, and lateSlack
	// how many more attempts: the first late one of few must not count as overload.
	maxLateRatio = 0.06
	lateSlack    = 0.5
	// minAdmittedFraction of the requests beyond a share are always admitted, so that a tenant is never shut out by an
	// estimate that is wrong. admittedDecrease (a factor) and admittedIncrease (a term) move the fraction after each
	// attempt: it falls by half within 14 late ones, and is back within 100 others.
	minAdmittedFraction = 0.02
	admittedDecrease    = 0.95
	admittedIncrease    = 0.01
)

// tenant is what the limiter knows of one tenant.
type tenant struct {
	quota    float64 // requests a second of the whole fleet; 0: none stated
	requests decay.Sum
}

// tenantLoad is what a tenant asked for here lately, and its quota for as long, both in requests.
type tenantLoad struct{ requests, quota float64 }

// quotaShare returns which part of its quota the tenant used here.
func (t tenantLoad) quotaShare() float64 { return t.requests / t.quota }

// Limiter holds what one balancer knows of its tenants.
type Limiter struct {
	tenants          []tenant
	admittedFraction float64 // of the requests beyond a share

	trafficShare       float64 // the last estimate, see estimateTrafficShare
	estimateValidUntil int64
	loads              []tenantLoad // used again by each estimate
}

// New returns a Limiter for tenants with these quotas, in requests a second of the whole fleet; 0 for a tenant without
// one.
func New(quotas []float64) *Limiter {
	l := &Limiter{admittedFraction: 1}
	for _, quota := range quotas {
		l.tenants = append(l.tenants, tenant{quota: quota})
	}
	return l
}

// SetQuota changes a tenant's quota, in requests a second of the whole fleet; 0 for none.
func (l *Limiter) SetQuota(tenant int, requestsPerSecond float64) {
	l.tenants[tenant].quota = requestsPerSecond
}

// Traffic is what the balancer knows of its traffic when a request comes.
type Traffic struct {
	Now           int64   // nanoseconds of the clock by which counts decay
	WindowSeconds float64 // seconds that the decaying counts stand for
	TrafficShare  float64 // this balancer's part of the fleet's traffic by load reports; 0: none tell
	EvenShare     float64 // the part of a balancer that gets as much as each other
}

// ShouldReject counts a request of a tenant, -1 for none, and tells whether to reject it as beyond the tenant's share.
// It takes one random draw from 0 to 1 for a tenant with a quota, and a second one if the first makes the request one
// beyond the share.
func (l *Limiter) ShouldReject(tenant int, traffic Traffic, draw func() float64) bool {
	if tenant < 0 || l.tenants[tenant].quota <= 0 {
		return false
	}
	t := &l.tenants[tenant]
	t.requests.Add(traffic.Now, 1)
	trafficShare := traffic.TrafficShare
	if trafficShare <= 0 {
		trafficShare = l.estimateTrafficShare(traffic)
	}
	requests, share := t.requests.Value, t.quota*traffic.WindowSeconds*max(trafficShare, traffic.EvenShare)
	// Guards against thin traffic: a count varies by its square root, and a tenant inside its share would often seem to
	// be beyond it.
	tolerance := math.Sqrt(share)
	isBeyondShare := draw()*requests > share+tolerance
	return isBeyondShare && draw() > l.admittedFraction
}

// estimateTrafficShare returns which part of the fleet's traffic comes here: the median of the tenants' quota shares,
// weighted by quota (the lower one). Tenants that use more than their quota, or hardly any of it, do not move it as
// long as they hold less than half of all quotas.
//
// The lowest quota share in place of the median would be near zero wherever one small tenant is quiet by chance, and
// all others would seem to be beyond their shares.
func (l *Limiter) estimateTrafficShare(traffic Traffic) float64 {
	if traffic.Now < l.estimateValidUntil {
		return l.trafficShare
	}
	l.loads = l.loads[:0]
	halfOfQuotas := 0.0
	for i := range l.tenants {
		if t := &l.tenants[i]; t.quota > 0 {
			l.loads = append(l.loads, tenantLoad{t.requests.ValueAt(traffic.Now), t.quota * traffic.WindowSeconds})
			halfOfQuotas += t.quota * traffic.WindowSeconds / 2
		}
	}
	slices.SortFunc(l.loads, func(a, b tenantLoad) int { return cmp.Compare(a.quotaShare(), b.quotaShare()) })
	weight := 0.0
	for _, load := range l.loads {
		if weight += load.quota; weight >= halfOfQuotas {
			l.trafficShare = load.quotaShare()
			break
		}
	}
	l.estimateValidUntil = traffic.Now + estimateLifetimeNanos
	return l.trafficShare
}

// RecordOutcomes takes the decaying counts of attempts that ended in time and late, after each attempt. While too many
// end late, fewer requests beyond a share are admitted.
func (l *Limiter) RecordOutcomes(timely, late float64) {
	if late > maxLateRatio*(timely+late)+lateSlack {
		l.admittedFraction = max(minAdmittedFraction, l.admittedFraction*admittedDecrease)
	} else {
		l.admittedFraction = min(1, l.admittedFraction+admittedIncrease)
	}
}

// AdmittedFraction returns the fraction of requests beyond a share that is admitted.
func (l *Limiter) AdmittedFraction() float64 { return l.admittedFraction }

// RequestCounts returns a copy of the decaying counts of the tenants' requests.
func (l *Limiter) RequestCounts() []decay.Sum {
	counts := make([]decay.Sum, len(l.tenants))
	for i := range l.tenants {
		counts[i] = l.tenants[i].requests
	}
	return counts
}

// Restore continues where another Limiter was: with its AdmittedFraction, and its RequestCounts for as many tenants as
// both have.
func (l *Limiter) Restore(admittedFraction float64, requests []decay.Sum) {
	l.admittedFraction = admittedFraction
	for i := range min(len(requests), len(l.tenants)) {
		l.tenants[i].requests = requests[i]
	}
}
