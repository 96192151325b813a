// Package quota decides which requests a balancer rejects because their tenant exceeds its share of the fleet's
// capacity while the fleet responds late. Package policy calls it once per request and reports the outcomes of
// attempts.
//
// A tenant's quota applies to the whole fleet. A balancer sees only its own requests, so it estimates which fraction of
// the fleet's traffic it receives, and limits each tenant to that fraction of its quota, the tenant's share. The
// fraction of requests beyond the shares that is still admitted follows additive increase, multiplicative decrease: all
// while attempts end in time, fewer while too many end late.
//
// The package does no I/O: the caller passes in the clock, the random numbers and the data of load reports. A Limiter
// must not be used concurrently.
package quota

import (
	"cmp"
	"math"
	"slices"

	"hollylever/decay"
)

const (
	// estimateLifetimeNanos is how long an estimate of this balancer's traffic share is reused: each estimate sorts the
	// tenants, of which there may be many.
	estimateLifetimeNanos = int64(50e6)
	// maxLateRatio is the fraction of attempts that may end late before requests beyond a share are rejected. lateSlack
	// is a number of late attempts allowed in addition, so that the first late one among few does not count as
	// overload.
	maxLateRatio = 0.06
	lateSlack    = 0.5
	// minAdmittedFraction of the requests beyond a share are always admitted, so that a wrong estimate never blocks a
	// tenant completely. After each attempt the admitted fraction is multiplied by admittedDecrease or raised by
	// admittedIncrease: it halves within 14 attempts while too many end late, and recovers fully within 100 others.
	minAdmittedFraction = 0.02
	admittedDecrease    = 0.95
	admittedIncrease    = 0.01
)

// tenant is the limiter's state of one tenant.
type tenant struct {
	quota    float64 // requests per second across the whole fleet; 0: no quota
	requests decay.Sum
}

// tenantLoad is the decaying count of a tenant's requests at this balancer, and the tenant's quota for the same time
// window, both in requests.
type tenantLoad struct{ requests, quota float64 }

// utilization returns the fraction of its fleet-wide quota that the tenant used at this balancer.
func (t tenantLoad) utilization() float64 { return t.requests / t.quota }

// Limiter decides for one balancer which requests exceed their tenant's share and are rejected.
type Limiter struct {
	tenants          []tenant
	admittedFraction float64 // of the requests beyond a share

	trafficShare       float64 // the last estimate, see estimateTrafficShare
	estimateValidUntil int64
	loads              []tenantLoad // buffer reused by each estimate
}

// New returns a Limiter for tenants with the given quotas, in requests per second across the whole fleet; 0 means no
// quota.
func New(quotas []float64) *Limiter {
	l := &Limiter{admittedFraction: 1}
	for _, quota := range quotas {
		l.tenants = append(l.tenants, tenant{quota: quota})
	}
	return l
}

// SetQuota changes a tenant's quota, in requests per second across the whole fleet; 0 means no quota.
func (l *Limiter) SetQuota(tenant int, requestsPerSecond float64) {
	l.tenants[tenant].quota = requestsPerSecond
}

// Traffic describes the balancer's traffic at the time a request arrives.
type Traffic struct {
	Now           int64   // time in nanoseconds, of the clock by which the counts decay
	WindowSeconds float64 // length of the time window that the decaying counts represent
	TrafficShare  float64 // fraction of the fleet's traffic at this balancer according to load reports; 0: unknown
	EvenShare     float64 // fraction of the fleet's traffic at each balancer if it is divided evenly
}

// ShouldReject counts a request of a tenant (-1: no tenant) and reports whether to reject it as exceeding the tenant's
// share. For a tenant with a quota it calls draw, which returns a random number from 0 to 1, once, and a second time if
// by the first number the request exceeds the share.
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
	// At low traffic the random variation of a count, about its square root, would often make a tenant within its share
	// seem to exceed it.
	tolerance := math.Sqrt(share)
	exceedsShare := draw()*requests > share+tolerance
	return exceedsShare && draw() > l.admittedFraction
}

// estimateTrafficShare estimates the fraction of the fleet's traffic that this balancer receives: the lower median of
// the tenants' quota utilizations, weighted by quota. Tenants that use more than their quota, or hardly any of it, do
// not distort the estimate as long as they hold less than half of all quotas.
//
// The lowest utilization instead of the median would be near zero whenever one small tenant happens to send few
// requests, and all others would seem to exceed their shares.
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
	slices.SortFunc(l.loads, func(a, b tenantLoad) int { return cmp.Compare(a.utilization(), b.utilization()) })
	weight := 0.0
	for _, load := range l.loads {
		if weight += load.quota; weight >= halfOfQuotas {
			l.trafficShare = load.utilization()
			break
		}
	}
	l.estimateValidUntil = traffic.Now + estimateLifetimeNanos
	return l.trafficShare
}

// RecordOutcomes adjusts the fraction of requests beyond a share that is admitted: it decreases while too many attempts
// end late. It must be called after each attempt, with the decaying counts of attempts that ended in time and late.
func (l *Limiter) RecordOutcomes(timely, late float64) {
	if late > maxLateRatio*(timely+late)+lateSlack {
		l.admittedFraction = max(minAdmittedFraction, l.admittedFraction*admittedDecrease)
	} else {
		l.admittedFraction = min(1, l.admittedFraction+admittedIncrease)
	}
}

// AdmittedFraction returns the fraction of requests beyond a share that are admitted.
func (l *Limiter) AdmittedFraction() float64 { return l.admittedFraction }

// RequestCounts returns a copy of the decaying counts of the tenants' requests.
func (l *Limiter) RequestCounts() []decay.Sum {
	counts := make([]decay.Sum, len(l.tenants))
	for i := range l.tenants {
		counts[i] = l.tenants[i].requests
	}
	return counts
}

// Restore sets the state to that of another Limiter: its AdmittedFraction, and its RequestCounts for the tenants that
// both have by index.
func (l *Limiter) Restore(admittedFraction float64, requests []decay.Sum) {
	l.admittedFraction = admittedFraction
	for i := range min(len(requests), len(l.tenants)) {
		l.tenants[i].requests = requests[i]
	}
}
