package policy

import (
	"math"

	"hollylever/quota"
)

// Admission control: which requests are rejected on arrival. Two rules apply, in this order; keyqueue.go holds a third,
// which rejects a request whose expected wait in its key queue is too long.
//
// Tenant quotas (package quota). While too many attempts end late or with an error, a growing part of each tenant's
// requests beyond its quota is rejected, so that tenants within their quotas are served.
//
// Overload, by Little's law: the number of attempts in flight is the rate of answers times the time that each takes.
// The inputs are the attempts in flight at caches, the rate at which caches answer, and the base latency, which is how
// long an attempt takes while nothing is queued. The expected wait of a new request is the number in flight divided by
// the rate. The request is rejected if that exceeds the base latency plus the request's queueing share of the rest of
// its objective:
//
//	inFlight > capacity + sqrt(capacity), capacity = accepted x capacityFactor x (baseline + accepted x rate x queueing)
//
// accepted is the part of the answers that are not rejections, capacityFactor is lowered by restarts (slowstart.go),
// baseline is the concurrency that is allowed at any rate, queueing is the longest wait that is allowed, and the square
// root, about the standard deviation of a count, allows for random variation. The rule does not apply while the load
// reports show little strain (areEndpointsBusy). Strain is how busy an endpoint says it is, from 0 to 1.
//
// This guards against queues that make all answers late: a queue that is full stays full of requests whose clients no
// longer wait. Late answers at all endpoints alike are a sign of it. A falling rate lowers the capacity at once, but
// rejections do not feed on themselves: a rejected request uses no endpoint capacity, and its client may retry.

const (
	// defaultQueueingShare is the part of a request's objective, beyond the base latency, that may be spent queueing.
	defaultQueueingShare = 0.15

	// startupAttemptsPerEndpoint is how many attempts the whole fleet may add at each endpoint while the balancers do
	// not know the rate of answers yet.
	startupAttemptsPerEndpoint = 4.0

	// maxIdleStrain is the mean strain, 0 to 1, up to which no request is rejected for overload. Attempts that hang at
	// dead endpoints look like load but use no capacity of the others.
	maxIdleStrain = 0.3

	// minUnknownKeyShare is the smallest part of defaultQueueingShare that applies to keys not read lately. These most
	// likely miss, so they are rejected first; but if all of them were rejected, no key would ever become known.
	minUnknownKeyShare = 0.5

	// baseLatencyGrowth is the largest factor by which one answer raises the base latency: small enough that a few slow
	// answers hardly change it, large enough that it adapts after latency has risen permanently.
	baseLatencyGrowth = 1.0005

	// minRateWindow is the shortest time, in nanoseconds, over which the rate of answers is computed after the start.
	minRateWindow = second / 4
)

// admissionLimiter is the state of the overload rule. The sums decay by the activity clock (clock.go).
type admissionLimiter struct {
	arrivals          sum     // requests
	rejectedOverload  sum     // requests rejected for overload
	cacheMisses       sum     // answers that were misses: they return at once and add no capacity
	answers           sum     // attempts that caches answered with a value
	answerTime        sum     // total latency of these answers, in nanoseconds
	baseLatency       float64 // latency of an attempt while nothing is queued, in nanoseconds: the lowest recent mean
	capacityFactor    float64 // 0 to 1, lowered by restarts
	capacityLoweredAt int64   // when a restart last lowered the capacity factor
	lastDispatchAt    int64   // when an attempt was last sent
}

// recordAnswer records the latency, in nanoseconds, of an attempt that a cache answered with a value.
func (a *admissionLimiter) recordAnswer(activityTime, latency int64) {
	a.answers.Add(activityTime, 1)
	a.answerTime.Add(activityTime, float64(latency))
	a.baseLatency = min(a.answerTime.ValueAt(activityTime)/a.answers.ValueAt(activityTime), a.baseLatency*baseLatencyGrowth)
}

// countArrival counts a request that has arrived.
func (b *Balancer) countArrival() { b.count(&b.admission.arrivals) }

// admit rejects a new request, or has it dispatched or queued. A read that is rejected because the caches are
// overloaded may go to the origin instead (cacheaside.go).
func (b *Balancer) admit(now int64, index int, info RequestInfo) {
	request := &b.requests[index]
	goesToOrigin := b.settings.cacheAside && request.isWrite // The overload rule covers caches only.
	switch {
	case b.quotas.ShouldReject(info.Tenant, b.traffic(), b.random.float64):
		b.finish(now, index, OverQuota)
	case !goesToOrigin && b.areEndpointsBusy() && b.isOverloaded(now, request):
		b.count(&b.admission.rejectedOverload)
		request.bypassesCaches = b.canBypassCaches(request)
		if !request.bypassesCaches || !b.dispatchOrEnqueue(now, index, info.HasKey) {
			b.finish(now, index, Overloaded)
		}
	case !b.dispatchOrEnqueue(now, index, info.HasKey):
		b.finish(now, index, QueueFull)
	}
}

// areEndpointsBusy reports whether the caches are busy by their load reports, or may be, as none reports its strain.
func (b *Balancer) areEndpointsBusy() bool {
	if !b.settings.reportsStrain || b.reports.reporters == 0 {
		return true
	}
	return b.reports.strain > maxIdleStrain*b.reports.reporters
}

// isOverloaded reports whether the expected wait of a new attempt is too long. If no attempt was sent for as long as
// the objective, the next request is admitted whatever is in flight: its outcome shows whether the overload persists.
func (b *Balancer) isOverloaded(now int64, request *requestState) bool {
	class, activityTime, a := &b.settings.classes[request.class], b.clock.activityTime, &b.admission
	unresponsiveAttempts, unresponsiveEndpoints := b.countUnresponsive()
	baseline := b.baselineConcurrency(now, unresponsiveEndpoints)
	rate := b.answerRate()
	share := b.queueingShare(request)
	rejected := b.fleetwide.latency.rejected.ValueAt(activityTime)
	rejectedRatio := rejected / (b.fleetwide.latency.answers.Value + rejected + 1)
	queueing := a.baseLatency + share*max(0, float64(class.objective)-a.baseLatency)
	capacity := (1 - rejectedRatio) * a.capacityFactor * (baseline + (1-rejectedRatio)*rate*queueing)
	slack := math.Sqrt(capacity)
	return float64(b.load.inFlight-unresponsiveAttempts) > capacity+slack && now < a.lastDispatchAt+class.objective
}

// baselineConcurrency returns how many attempts may be in flight at any rate of answers: one, plus this balancer's
// share of one at each responsive endpoint. After the start, while the rate is not known, that share is of up to
// 1 + startupAttemptsPerEndpoint; the addition decays with the time since the start.
func (b *Balancer) baselineConcurrency(now int64, unresponsiveEndpoints int) float64 {
	startup := math.Exp(-float64(now-b.clock.startedAt) / float64(timeConstant))
	return 1 + float64(len(b.ready)-unresponsiveEndpoints)*(1+startupAttemptsPerEndpoint*startup)/b.fleetSize
}

// answerRate returns how many attempts caches answer this balancer per nanosecond, misses excluded. Until a whole time
// constant has been observed, the rate is computed over the time that has.
func (b *Balancer) answerRate() float64 {
	activityTime := b.clock.activityTime
	// The part of the time constant that has been observed since the start.
	observed := 1 - math.Exp(-float64(activityTime+minRateWindow)/float64(timeConstant))
	answers := b.fleetwide.latency.answers.ValueAt(activityTime) - b.admission.cacheMisses.ValueAt(activityTime)
	return answers / observed / float64(timeConstant) * b.clock.rate
}

// queueingShare returns the part of its objective, beyond the base latency, that a request may spend queueing. It is
// smaller for a read of a key not read lately, the more requests are rejected for overload.
func (b *Balancer) queueingShare(request *requestState) float64 {
	share := defaultQueueingShare
	if !request.isWrite && b.recentKeys[request.key%recentKeySlots].key != request.key {
		rejectedRatio := b.admission.rejectedOverload.ValueAt(b.clock.activityTime) / (b.admission.arrivals.ValueAt(b.clock.activityTime) + 1)
		share *= max(minUnknownKeyShare, 1-rejectedRatio)
	}
	return share
}

// countUnresponsive returns how many attempts are in flight at endpoints in zones that are suspected to be lost and at
// unresponsive endpoints elsewhere, and how many such endpoints there are. These attempts use no capacity of other
// endpoints and would be mistaken for overload. If most of the endpoints outside lost zones are unresponsive, overload
// itself may be the cause, and only those in lost zones are counted.
func (b *Balancer) countUnresponsive() (attempts, endpoints int) {
	attemptsElsewhere, endpointsElsewhere := 0, 0
	for _, index := range b.ready {
		endpoint := &b.endpoints[index]
		switch {
		case b.outages.IsSuspected(endpoint.zone):
			attempts += endpoint.load.inFlight
			endpoints++
		case endpoint.outlier.lastUnresponsiveAt > 0:
			attemptsElsewhere += endpoint.load.inFlight
			endpointsElsewhere++
		}
	}
	if endpointsElsewhere <= (len(b.ready)-endpoints)/2 {
		attempts += attemptsElsewhere
		endpoints += endpointsElsewhere
	}
	return attempts, endpoints
}

// traffic returns the fraction of the fleet's traffic that this balancer handles, as far as it is known, and the even
// share. Of each quota, the balancer allows the larger of the two. The fraction comes from load reports, which state
// what endpoints serve for all balancers; without them package quota estimates it.
func (b *Balancer) traffic() quota.Traffic {
	traffic := quota.Traffic{
		Now:           b.clock.activityTime,
		WindowSeconds: float64(timeConstant) / b.clock.rate / float64(second),
		EvenShare:     1 / b.fleetSize,
	}
	if fleetRate := b.reports.servedRate / b.reports.reporters * float64(len(b.ready)); fleetRate > 0 {
		successes := &b.outcomes.successes
		traffic.TrafficShare = (successes.ValueAt(b.clock.activityTime) + math.Sqrt(successes.Value+1)) / (fleetRate * traffic.WindowSeconds)
	}
	return traffic
}
