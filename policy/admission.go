package policy

import (
	"math"

	"hollylever/quota"
)

// When a request is rejected at once. Two rules, in this order; a third, that its turn in its key's queue would come
// too late, stands in keyqueue.go.
//
// A tenant's quota (package quota). While too many attempts end late or with an error, a growing part of what a tenant
// asks beyond its quota is rejected, so that tenants within their quotas are served.
//
// Overload, by Little's law: what is in flight is the rate of answers times the time that each takes. Inputs are the
// attempts in flight at caches, the rate at which these answer, and the base latency, which is how long an attempt
// takes while nothing is queued. A new request would wait for what is in flight over the rate. It is rejected where
// that is longer than the base latency and queueingShare of what its objective leaves beyond it:
//
//	inFlight > capacity + sqrt(capacity), capacity = accepted x tolerance x (free + accepted x rate x queueing)
//
// accepted is the part of the answers that are not rejections, tolerance is lowered by restarts (slowstart.go), free is
// what may be in flight whatever the rate, and the root is slack for chance.
//
// This guards against queues that make all answers late: once full they stay full of work that nobody waits for any
// more. It shows as late answers at all endpoints alike. The guard holds since a rate that falls shrinks the capacity
// at once, while a rejected request takes no endpoint's capacity, and its client may come back.

const (
	// queueingShare is the part of a request's objective, beyond the base latency, that may be spent queueing.
	queueingShare = 0.15

	// startupAttempts is how many attempts all balancers together may add at each endpoint while they know no rate of
	// answers.
	startupAttempts = 4.0

	// idleStrain is the mean of what endpoints report as strain, 0 to 1, up to which nothing is overloaded: attempts
	// that hang at dead endpoints look like load and take nobody's capacity.
	idleStrain = 0.3

	// minUnknownKeyShare is the least part of queueingShare that is left to keys not read lately. They would most
	// likely miss, so they are rejected first; but if all of them were, no key would ever become known.
	minUnknownKeyShare = 0.5

	// baseLatencyGrowth is the most by which an answer multiplies the base latency. A few slow answers hardly move it,
	// and it is found again when latency has risen for good.
	baseLatencyGrowth = 1.0005

	// rateSettling is the least time over which the rate of answers is taken right after the start, in nanoseconds.
	rateSettling = second / 4
)

// admissionLimiter is what the rule of overload rests on. Sums fade by the clock of evidence.
type admissionLimiter struct {
	arrivals       sum     // requests
	shed           sum     // of these, rejected for overload
	cacheMisses    sum     // answers that were misses: they come at once and add no capacity
	answers        sum     // attempts that caches answered with a value
	answerTime     sum     // nanoseconds that these took
	baseLatency    float64 // nanoseconds that an attempt takes while nothing is queued: the least mean of late
	tolerance      float64 // part of the capacity that endpoints bear, lowered by restarts
	loweredAt      int64   // when the tolerance was lowered last
	lastDispatchAt int64   // when an attempt was sent last
}

// recordAnswer takes how long an attempt took that a cache answered with a value, in nanoseconds.
func (a *admissionLimiter) recordAnswer(evidence, latency int64) {
	a.answers.Add(evidence, 1)
	a.answerTime.Add(evidence, float64(latency))
	a.baseLatency = min(a.answerTime.ValueAt(evidence)/a.answers.ValueAt(evidence), a.baseLatency*baseLatencyGrowth)
}

// countArrival counts a request that came.
func (b *Balancer) countArrival() { b.count(&b.admission.arrivals) }

// admit decides whether a new request is taken on, and has it dispatched or queued. A read that is rejected for
// overload of the caches may ask the origin instead (cacheaside.go).
func (b *Balancer) admit(now int64, index int, info RequestInfo) {
	request := &b.requests[index]
	goesToOrigin := b.settings.cacheAside && request.isWrite // The rule of overload is about caches.
	switch {
	case b.quotas.ShouldReject(info.Tenant, b.traffic(), b.random.float64):
		b.finish(now, index, OverQuota)
	case !goesToOrigin && b.areEndpointsBusy() && b.isOverloaded(now, request):
		b.count(&b.admission.shed)
		request.bypassesCaches = b.canBypassCaches(request)
		if !request.bypassesCaches || !b.enqueue(now, index, info.HasKey) {
			b.finish(now, index, Overloaded)
		}
	case !b.enqueue(now, index, info.HasKey):
		b.finish(now, index, QueueFull)
	}
}

// areEndpointsBusy tells whether caches report that they are busy. Where none reports it, they may be.
func (b *Balancer) areEndpointsBusy() bool {
	if !b.settings.reportsStrain || b.reports.reporting == 0 {
		return true
	}
	return b.reports.strain > idleStrain*b.reports.reporting
}

// isOverloaded tells whether a new attempt would wait too long for what is in flight. Where nothing was sent for as
// long as the objective, one is sent whatever is in flight, as its end tells how things are.
func (b *Balancer) isOverloaded(now int64, request *requestState) bool {
	class, evidence, a := &b.settings.classes[request.class], b.clock.evidence, &b.admission
	unresponsiveInFlight, unresponsive := b.unresponsive()
	free := b.freeAttempts(now, unresponsive)
	rate := b.answerRate()
	share := b.queueingShare(request)
	rejected := b.fleetwide.latency.rejected.ValueAt(evidence)
	rejectedRatio := rejected / (b.fleetwide.latency.answers.Value + rejected + 1)
	queueing := a.baseLatency + share*max(0, float64(class.objective)-a.baseLatency)
	capacity := (1 - rejectedRatio) * a.tolerance * (free + (1-rejectedRatio)*rate*queueing)
	slack := math.Sqrt(capacity) // Counts vary by their root.
	return float64(b.load.inFlight-unresponsiveInFlight) > capacity+slack && now < a.lastDispatchAt+class.objective
}

// freeAttempts is how many attempts may be in flight whatever the rate of answers: one, and this balancer's share of
// one at each endpoint, or of startupAttempts more right after the start, while it knows no rate.
func (b *Balancer) freeAttempts(now int64, unresponsive int) float64 {
	startup := math.Exp(-float64(now-b.clock.startedAt) / float64(timeConstant))
	return 1 + float64(len(b.ready)-unresponsive)*(1+startupAttempts*startup)/b.fleetSize
}

// answerRate is how many attempts caches answer this balancer in a nanosecond, misses left out. While less than a time
// constant has been observed, the rate is taken over what has been.
func (b *Balancer) answerRate() float64 {
	evidence := b.clock.evidence
	// The part of the time constant that has been observed since the start.
	observed := 1 - math.Exp(-float64(evidence+rateSettling)/float64(timeConstant))
	answers := b.fleetwide.latency.answers.ValueAt(evidence) - b.admission.cacheMisses.ValueAt(evidence)
	return answers / observed / float64(timeConstant) * b.clock.pace
}

// queueingShare is the part of its objective, beyond the base latency, that a request may spend queueing. A read of a
// key not read lately gets less as more is being shed.
func (b *Balancer) queueingShare(request *requestState) float64 {
	share := queueingShare
	if !request.isWrite && b.recentKeys[request.key%maxRecentKeys].key != request.key {
		shed := b.admission.shed.ValueAt(b.clock.evidence) / (b.admission.arrivals.ValueAt(b.clock.evidence) + 1)
		share *= max(minUnknownKeyShare, 1-shed)
	}
	return share
}

// unresponsive counts the endpoints of zones that seem lost, and others that do not answer while most do, and the
// attempts in flight there. These take no capacity from others, and would else look like overload. Where most endpoints
// do not answer, that may itself be overload: only those of lost zones count then.
func (b *Balancer) unresponsive() (attempts, endpoints int) {
	unreachedAttempts, unreached := 0, 0
	for _, index := range b.ready {
		endpoint := &b.endpoints[index]
		switch {
		case b.outages.IsSuspected(endpoint.zone):
			attempts += endpoint.load.inFlight
			endpoints++
		case endpoint.outlier.silentSince > 0:
			unreachedAttempts += endpoint.load.inFlight
			unreached++
		}
	}
	if unreached <= (len(b.ready)-endpoints)/2 {
		attempts += unreachedAttempts
		endpoints += unreached
	}
	return attempts, endpoints
}

// traffic is what is known of this balancer's share of all traffic, by which it enforces its share of quotas. Load
// reports state what endpoints serve for all balancers; without them package quota estimates the share.
func (b *Balancer) traffic() quota.Traffic {
	traffic := quota.Traffic{
		Now:           b.clock.evidence,
		WindowSeconds: float64(timeConstant) / b.clock.pace / float64(second),
		EvenShare:     1 / b.fleetSize,
	}
	if all := b.reports.servedRate / b.reports.reporting * float64(len(b.ready)); all > 0 {
		successes := &b.outcomes.successes
		traffic.TrafficShare = (successes.ValueAt(b.clock.evidence) + math.Sqrt(successes.Value+1)) / (all * traffic.WindowSeconds)
	}
	return traffic
}
