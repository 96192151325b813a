package policy

import "math"

// Statistics from finished attempts and from load reports. Each counter belongs to the rule that uses it; this file
// decides which outcomes update which counters. Three observations that do not come from the end of an attempt are
// recorded next to their rules: an overdue attempt (hedge in retry.go), a restart that the list does not show
// (detectRestart in slowstart.go), and an origin with no capacity left (dispatch in dispatch.go). The statistics cover
// this balancer only, and the sums decay by the activity clock.

const (
	// lateRatio is the fraction of the objective after which an answer counts as late, so that queueing is noticed
	// before answers lose their value.
	lateRatio = 0.75

	// timelyObjectiveDivisor: an answer within the objective divided by this number shows that more requests could be
	// answered in time.
	timelyObjectiveDivisor = 2

	// recentKeySlots is the size of the table of recently answered keys. It is prime because the slot of a key is the
	// key modulo the size.
	recentKeySlots = 8191

	// notReported is the servedRate of an endpoint that has sent no load report.
	notReported = -1
)

// The fields of a load report that the balancer uses, as named in the settings.
const (
	reportServedRate = "served_ps" // requests per second, from all balancers
	reportCPUShare   = "cpu_share" // 0 to 1
	reportPending    = "pending"   // queued requests
)

// attemptQuality holds decaying counts of attempts.
type attemptQuality struct{ timely, lateOrFailed sum }

// keyRecord is an entry of the table of recent keys.
type keyRecord struct {
	key            uint64
	endpoint       int     // that answered the key last; noEndpoint if there is none
	failedEndpoint int     // at which it failed last
	failureLogOdds float64 // log odds that requests for the key fail at any endpoint (keyqueue.go)
}

// loadReport is the last load report of an endpoint.
type loadReport struct {
	servedRate float64 // requests per second, from all balancers; notReported if there was no report
	strain     float64 // how busy the endpoint is, 0 to 1
}

// loadReports is the sum over the last load reports of ready caches.
type loadReports struct {
	servedRate float64
	strain     float64
	reporters  float64 // number of caches that have sent a report
}

// reset clears the sum at the start of an update of the endpoint list.
func (l *loadReports) reset() { *l = loadReports{} }

// add adds an endpoint's last report to the sum, if it has sent one.
func (l *loadReports) add(report loadReport) {
	if report.servedRate >= 0 {
		l.servedRate += report.servedRate
		l.strain += report.strain
		l.reporters++
	}
}

// replace updates an endpoint's last report and the sum with the values of a new report. A NaN value is missing from
// the new report and leaves the previous value in place. fields names the values; unknown fields are ignored.
func (l *loadReports) replace(report *loadReport, values []float64, fields []string) {
	if report.servedRate < 0 {
		report.servedRate = 0
		l.reporters++
	}
	l.servedRate, l.strain = l.servedRate-report.servedRate, l.strain-report.strain
	for i, value := range values {
		switch field := fields[i]; {
		case math.IsNaN(value):
		case field == reportServedRate:
			report.servedRate = value
		case field == reportCPUShare:
			report.strain = min(1, value)
		case field == reportPending:
			report.strain = value / (value + 1)
		}
	}
	l.servedRate, l.strain = l.servedRate+report.servedRate, l.strain+report.strain
}

// recordOutcome updates the statistics of the endpoint, its machine type, its zone, all caches and the origin with the
// end of an attempt.
func (b *Balancer) recordOutcome(now int64, request *requestState, result AttemptResult) {
	outcome := result.Outcome
	if outcome == Cancelled && !request.isOpen {
		return // Cancelled because another attempt answered or the client left, which says nothing about the endpoint.
	}
	if request.isKeyThrottled() {
		return // The endpoint is not the cause of slow or failing requests for a throttled key.
	}
	class := &b.settings.classes[request.class]
	isSuccess := outcome == OK || outcome == CacheMiss
	isLate := outcome == OK && float64(result.Latency) > lateRatio*float64(class.objective)
	isLateOrFailed := !isSuccess || isLate
	b.recordKeyFailure(now, request, result)
	b.recordOutage(now, result)
	b.recordEndpointOutcome(result, isSuccess)
	b.recordQuality(outcome, isLateOrFailed)
	if result.Endpoint == b.origin {
		b.recordOriginOutcome(request, result, class.objective)
		return
	}
	b.recordCacheOutcome(result, isSuccess)
	if isSuccess || outcome == Errored {
		b.recordCacheAnswer(request, result, isLateOrFailed)
	}
}

// isSilent reports whether nothing was received from the endpoint. This points to a fault of the endpoint or its zone,
// not to load.
func (o Outcome) isSilent() bool { return o == ConnectFailed || o == TimedOut }

// recordOutage records whether the endpoint's zone responds. An answer of the origin does not show that the caches in
// its zone are up.
func (b *Balancer) recordOutage(now int64, result AttemptResult) {
	zone := b.endpoints[result.Endpoint].zone
	switch result.Outcome {
	case ConnectFailed, TimedOut:
		b.outages.RecordFailure(zone, result.Endpoint, now)
	case Cancelled, NotSent, Reset:
		// Neither an answer nor a lack of one.
	default:
		if result.Endpoint != b.origin {
			b.outages.RecordResponse(zone, now)
		}
	}
}

// recordEndpointOutcome counts successes and failures of an endpoint for outlier detection, and adds retry tokens for a
// success. Fast errors count as failures, because an endpoint that fails fast never looks busy. Rejections do not
// count, because they indicate load.
func (b *Balancer) recordEndpointOutcome(result AttemptResult, isSuccess bool) {
	endpoint := &b.endpoints[result.Endpoint]
	switch {
	case isSuccess:
		endpoint.outlier.lastUnresponsiveAt, endpoint.restart.failures = 0, 0
		endpoint.retries.deposit()
		b.retries.deposit()
		b.count(&endpoint.outlier.outcomes.successes)
	case result.Outcome != Rejected && result.Outcome != NotSent:
		b.count(&endpoint.outlier.outcomes.failures)
	}
}

// recordQuality counts timely attempts, and late or failed ones, which determine how strictly quotas are enforced.
// Attempts that received nothing are not counted: a dead endpoint is no reason to reject a tenant's requests.
func (b *Balancer) recordQuality(outcome Outcome, isLateOrFailed bool) {
	switch {
	case isLateOrFailed && !outcome.isSilent():
		b.count(&b.quality.lateOrFailed)
	case !isLateOrFailed:
		b.count(&b.quality.timely)
	}
	activityTime := b.clock.activityTime
	b.quotas.RecordOutcomes(b.quality.timely.ValueAt(activityTime), b.quality.lateOrFailed.ValueAt(activityTime))
}

// recordOriginOutcome adjusts the limit of reads in flight at the origin. Writes do not change it, since they can only
// go to the origin.
func (b *Balancer) recordOriginOutcome(request *requestState, result AttemptResult, objective int64) {
	if request.isWrite {
		return
	}
	if result.Outcome == OK && result.Latency < objective/timelyObjectiveDivisor {
		b.originReads.increase()
		return
	}
	b.originReads.decrease()
	b.count(&b.misses.missed)
}

// recordCacheOutcome counts outcomes over all caches. Rejections are also counted by endpoint and machine type.
func (b *Balancer) recordCacheOutcome(result AttemptResult, isSuccess bool) {
	endpoint := &b.endpoints[result.Endpoint]
	switch {
	case isSuccess:
		b.count(&b.outcomes.successes)
		if endpoint.slowStart.isWarm {
			b.warmThroughput.answers.Add(b.clock.activityTime, 1/max(1, b.warmWeight))
		}
	case result.Outcome == Rejected:
		b.count(&endpoint.rejected, &b.fleetwide.latency.rejected, &b.machineTypes[endpoint.machineType].latency.rejected)
	case result.Outcome != NotSent:
		b.count(&b.outcomes.failures)
	}
}

// recordCacheAnswer records the latency of an answer from a cache (a value, a miss or an error) and, for reads, whether
// it missed.
func (b *Balancer) recordCacheAnswer(request *requestState, result AttemptResult, isLateOrFailed bool) {
	activityTime, outcome := b.clock.activityTime, result.Outcome
	if outcome == OK {
		b.admission.recordAnswer(activityTime, result.Latency)
		b.rememberKey(request.key, result.Endpoint)
	}
	endpoint := &b.endpoints[result.Endpoint]
	for _, record := range [2]*latencyRecord{&b.fleetwide.latency, &b.machineTypes[endpoint.machineType].latency} {
		record.answers.Add(activityTime, 1)
		record.time.Add(activityTime, float64(result.Latency))
	}
	if outcome == CacheMiss {
		b.count(&b.admission.cacheMisses)
	}
	if request.isWrite {
		return
	}
	b.count(&b.misses.reads)
	if outcome == OK && result.CacheResult <= cacheHit {
		return
	}
	b.count(&b.misses.missed)
	if isLateOrFailed {
		b.count(&b.misses.failed)
	}
}

// cacheHit is the AttemptResult.CacheResult of a cache hit. 0 (not reported) is treated as a hit.
const cacheHit = 1

// rememberKey records which endpoint answered a key last.
func (b *Balancer) rememberKey(key uint64, endpoint int) {
	record := &b.recentKeys[key%recentKeySlots]
	if record.key != key {
		*record = keyRecord{key: key}
	}
	record.endpoint = endpoint
}
