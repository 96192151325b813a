package policy

import (
	"math"

	"hollylever/quota"
)

// When a request is rejected at once. Two rules, in this order:
//
// A tenant's quota (package quota): while the fleet answers poorly, a growing part of what a tenant asks beyond its quota is rejected.
//
// Overload, by Little's law: a request is rejected when what is in flight, at the present rate of answers, would take longer than an attempt takes while nothing is
// queued, and queueingShare of what the objective leaves beyond that. This guards against queues that make all answers late: once full they stay full of work that nobody
// wants any more. It shows as late answers at all endpoints alike. Rejecting at once costs nothing and lets the client come back.

const (
	// queueingShare is the part of a request's objective, beyond the base latency, that may be spent queueing.
	queueingShare = 0.15

	// startupAttempts is how many attempts all balancers together may add at each endpoint while they know no rate of answers.
	startupAttempts = 4.0

	// idleStrain is the mean of what endpoints report as strain, 0 to 1, under which nothing is overloaded: attempts that hang at dead ones take nobody's capacity.
	idleStrain = 0.3

	// minUnknownKeyShare is the least part of the room that is left to keys not read lately: they would most likely miss and go first, but if all
	// were rejected no key would ever become known.
	minUnknownKeyShare = 0.5

	// baseLatencyGrowth is by how much the base latency may rise with each answer, so that it is found again when it has risen for good.
	baseLatencyGrowth = 1.0005

	// rateSettling is the least time over which the rate of answers is taken right after the start.
	rateSettling = second / 4
)

// admissionLimiter is what the rule of overload rests on.
type admissionLimiter struct {
	arrivals       sum     // requests
	shed           sum     // of these, rejected for overload
	cacheMisses    sum     // answers that were misses: they come at once and make no room
	answers        sum     // attempts that caches answered with a value
	answerTime     sum     // and how long these took
	baseLatency    float64 // how long an attempt takes while nothing is queued: the least mean of late
	tolerance      float64 // part of the room that endpoints are taken to bear, after restarts that load may have brought on
	loweredAt      int64   // when that was lowered last
	lastDispatchAt int64
}

// recordAnswer takes how long an attempt took that a cache answered with a value.
func (a *admissionLimiter) recordAnswer(evidence, latency int64) {
	a.answers.Add(evidence, 1)
	a.answerTime.Add(evidence, float64(latency))
	a.baseLatency = min(a.answerTime.ValueAt(evidence)/a.answers.ValueAt(evidence), a.baseLatency*baseLatencyGrowth)
}

// countArrival counts a request that came.
func (b *Balancer) countArrival() { b.count(&b.admission.arrivals) }

// admit decides whether a new request is taken on, and has it dispatched or queued.
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

// areEndpointsBusy tells whether caches are, as far as they report it.
func (b *Balancer) areEndpointsBusy() bool {
	return !b.settings.reportsStrain || b.reports.reporting == 0 || b.reports.strain > idleStrain*b.reports.reporting
}

// isOverloaded tells whether a new attempt would wait too long for what is in flight.
func (b *Balancer) isOverloaded(now int64, request *requestState) bool {
	class, evidence, a := &b.settings.classes[request.class], b.clock.evidence, &b.admission
	unresponsiveInFlight, unresponsive := b.unresponsive()
	free := b.freeAttempts(now, unresponsive)
	rate := b.answerRate()
	share := b.queueingShare(request)
	rejected := b.fleetwide.latency.rejected.ValueAt(evidence)
	rejectedRatio := rejected / (b.fleetwide.latency.answers.Value + rejected + 1)
	queueing := a.baseLatency + share*max(0, float64(class.objective)-a.baseLatency)
	room := (1 - rejectedRatio) * a.tolerance * (free + (1-rejectedRatio)*rate*queueing)
	// The root is slack for chance: small counts vary most. Where nothing was sent for long, one attempt tells how things are.
	return float64(b.load.inFlight-unresponsiveInFlight) > room+math.Sqrt(room) && now < a.lastDispatchAt+class.objective
}

// freeAttempts is how many attempts may be in flight whatever the rate of answers: one, and this balancer's share of one at each endpoint,
// or of some more while it is young and knows no rate.
func (b *Balancer) freeAttempts(now int64, unresponsive int) float64 {
	young := math.Exp(-float64(now-b.clock.startedAt) / float64(timeConstant))
	return 1 + float64(len(b.ready)-unresponsive)*(1+startupAttempts*young)/b.fleetSize
}

// answerRate is how many attempts caches answer this balancer in a nanosecond, misses left out.
func (b *Balancer) answerRate() float64 {
	evidence := b.clock.evidence
	observed := 1 - math.Exp(-float64(evidence+rateSettling)/float64(timeConstant)) // of the time constant, since the start
	answers := b.fleetwide.latency.answers.ValueAt(evidence) - b.admission.cacheMisses.ValueAt(evidence)
	return answers / observed / float64(timeConstant) * b.clock.pace
}

// queueingShare is the part of its objective that a request may spend queueing. A key not read lately gets less as more is being shed.
func (b *Balancer) queueingShare(request *requestState) float64 {
	share := queueingShare
	if !request.isWrite && b.recentKeys[request.key%maxRecentKeys].key != request.key {
		shed := b.admission.shed.ValueAt(b.clock.evidence) / (b.admission.arrivals.ValueAt(b.clock.evidence) + 1)
		share *= max(minUnknownKeyShare, 1-shed)
	}
	return share
}

// unresponsive counts the endpoints of zones that seem lost, and others that do not answer while most do, and what is in flight there: that takes no
// capacity.
func (b *Balancer) unresponsive() (attempts, endpoints int) {
	unreachedAttempts, unreached := 0, 0
	for _, index := range b.ready {
		endpoint := &b.endpoints[index]
		switch {
		case b.outages.IsSuspected(endpoint.zone):
			attempts += endpoint.load.inFlight
			endpoints++
		case endpoint.outlier.connectFailedAt > 0:
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

// traffic is what is known of this balancer's share of all traffic; load reports tell more than it could see itself.
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
