package policy

import "math"

// What the end of an attempt teaches, and what load reports tell. Each count belongs to the rule that decides by it;
// this file says which outcomes go where. Three observations are no ends of attempts and stand with their rules: an
// attempt that is overdue (hedge in retry.go), a restart that the list does not show (detectRestart in slowstart.go),
// and an origin with no capacity left (dispatch in dispatch.go). All of it is this balancer's own, and the sums fade by
// the clock of evidence.

const (
	// lateRatio is the part of the objective after which an answer counts as late, so that queues show before answers
	// lose their value.
	lateRatio = 0.75

	// timelyShare: an answer within one in so many parts of the objective shows that more could be answered in time.
	timelyShare = 2

	// maxRecentKeys is for how many keys at most it is remembered where they were read last. A key's place is its
	// remainder, so it is a prime.
	maxRecentKeys = 8191

	// notReported is the rate of an endpoint that has sent no load report.
	notReported = -1
)

// The figures of a load report that the module reads, as the operators name them.
const (
	reportServedRate = "served_ps" // requests a second, of all balancers
	reportCPUShare   = "cpu_share" // 0 to 1
	reportPending    = "pending"   // requests queued
)

// attemptQuality counts attempts that ended in time, and those that came late or failed.
type attemptQuality struct{ timely, late sum }

// keyRecord is what is remembered of a key.
type keyRecord struct {
	key       uint64
	endpoint  int     // that answered it last; noEndpoint
	failedAt  int     // the endpoint at which it failed last
	suspicion float64 // odds, as a natural logarithm, that it fails wherever it goes (keyqueue.go)
}

// loadReport is what an endpoint reported last.
type loadReport struct {
	servedRate float64 // requests a second, of all balancers; notReported
	strain     float64 // how busy the endpoint is, 0 to 1
}

// loadReports sums the last reports of ready caches.
type loadReports struct {
	servedRate float64
	strain     float64
	reporting  float64 // caches that have sent one
}

// reset begins the sum anew, for an update of the endpoint list.
func (l *loadReports) reset() { *l = loadReports{} }

// add counts an endpoint's last report, if it has sent one.
func (l *loadReports) add(report loadReport) {
	if report.servedRate >= 0 {
		l.servedRate += report.servedRate
		l.strain += report.strain
		l.reporting++
	}
}

// replace puts the figures of a new report in the place of an endpoint's last one. The last one's figure holds where
// the new one's is NaN, as the report lacks it. fields names the figures; those that the module does not read are
// passed over.
func (l *loadReports) replace(report *loadReport, figures []float64, fields []string) {
	if report.servedRate < 0 {
		report.servedRate = 0
		l.reporting++
	}
	l.servedRate, l.strain = l.servedRate-report.servedRate, l.strain-report.strain
	for place, figure := range figures {
		switch field := fields[place]; {
		case math.IsNaN(figure):
		case field == reportServedRate:
			report.servedRate = figure
		case field == reportCPUShare:
			report.strain = min(1, figure)
		case field == reportPending:
			report.strain = figure / (figure + 1)
		}
	}
	l.servedRate, l.strain = l.servedRate+report.servedRate, l.strain+report.strain
}

// recordOutcome takes what the end of an attempt tells of its endpoint, of the fleet and of the origin.
func (b *Balancer) recordOutcome(now int64, request *requestState, result AttemptResult) {
	outcome := result.Outcome
	if outcome == Cancelled && !request.isOpen {
		return // It was cancelled as another attempt answered, or the client had gone: that tells nothing.
	}
	if request.isKeyThrottled() {
		return // What holds its key up is no endpoint's fault.
	}
	class := &b.settings.classes[request.class]
	isSuccess := outcome == OK || outcome == CacheMiss
	isLate := outcome == OK && float64(result.Latency) > lateRatio*float64(class.objective)
	isPoor := !isSuccess || isLate
	b.recordKeyFailure(now, request, result)
	b.recordOutage(now, result)
	b.recordEndpointOutcome(result, isSuccess)
	b.recordQuality(outcome, isPoor)
	if result.Endpoint == b.origin {
		b.recordOriginOutcome(request, result, class.objective)
		return
	}
	b.recordCacheOutcome(result, isSuccess)
	if isSuccess || outcome == Errored {
		b.recordCacheAnswer(request, result, isPoor)
	}
}

// isSilent tells whether an endpoint gave no sign of life. That tells of the endpoint or its zone, not of load.
func (o Outcome) isSilent() bool { return o == ConnectFailed || o == TimedOut }

// recordOutage takes whether an endpoint's zone answers. An answer of the origin tells nothing of the caches in its
// zone.
func (b *Balancer) recordOutage(now int64, result AttemptResult) {
	zone := b.endpoints[result.Endpoint].zone
	switch result.Outcome {
	case ConnectFailed, TimedOut:
		b.outages.RecordFailure(zone, result.Endpoint, now)
	case Cancelled, NotSent, Reset:
		// Neither an answer nor silence.
	default:
		if result.Endpoint != b.origin {
			b.outages.RecordResponse(zone, now)
		}
	}
}

// recordEndpointOutcome counts for and against an endpoint. Quick errors count against it, too: an endpoint that fails
// fast never looks busy. Rejections do not: they tell of load.
func (b *Balancer) recordEndpointOutcome(result AttemptResult, isSuccess bool) {
	endpoint := &b.endpoints[result.Endpoint]
	switch {
	case isSuccess:
		endpoint.outlier.silentSince, endpoint.restart.failures = 0, 0
		endpoint.retries.earn()
		b.retries.earn()
		b.count(&endpoint.outlier.outcomes.successes)
	case result.Outcome != Rejected && result.Outcome != NotSent:
		b.count(&endpoint.outlier.outcomes.failures)
	}
}

// recordQuality counts timely and poor attempts, by which quotas are enforced. Silence is not counted: a dead endpoint
// is no reason to reject a tenant's requests.
func (b *Balancer) recordQuality(outcome Outcome, isPoor bool) {
	switch {
	case isPoor && !outcome.isSilent():
		b.count(&b.quality.late)
	case !isPoor:
		b.count(&b.quality.timely)
	}
	evidence := b.clock.evidence
	b.quotas.RecordOutcomes(b.quality.timely.ValueAt(evidence), b.quality.late.ValueAt(evidence))
}

// recordOriginOutcome moves the limit of reads at the origin. Writes have nowhere else to go: they move nothing.
func (b *Balancer) recordOriginOutcome(request *requestState, result AttemptResult, objective int64) {
	if request.isWrite {
		return
	}
	if result.Outcome == OK && result.Latency < objective/timelyShare {
		b.originReads.increase()
		return
	}
	b.originReads.decrease()
	b.count(&b.misses.missed)
}

// recordCacheOutcome counts what all caches do, and rejections by endpoint and machine type, too.
func (b *Balancer) recordCacheOutcome(result AttemptResult, isSuccess bool) {
	endpoint := &b.endpoints[result.Endpoint]
	switch {
	case isSuccess:
		b.count(&b.outcomes.successes)
		if endpoint.slowStart.isWarm {
			b.warmThroughput.answers.Add(b.clock.evidence, 1/max(1, b.warmWeight))
		}
	case result.Outcome == Rejected:
		b.count(&endpoint.rejected, &b.fleetwide.latency.rejected, &b.machineTypes[endpoint.machineType].latency.rejected)
	case result.Outcome != NotSent:
		b.count(&b.outcomes.failures)
	}
}

// recordCacheAnswer takes an answer of a cache, be it a value, a miss or an error: how long it took, and whether reads
// miss.
func (b *Balancer) recordCacheAnswer(request *requestState, result AttemptResult, isPoor bool) {
	evidence, outcome := b.clock.evidence, result.Outcome
	if outcome == OK {
		b.admission.recordAnswer(evidence, result.Latency)
		b.rememberKey(request.key, result.Endpoint)
	}
	endpoint := &b.endpoints[result.Endpoint]
	for _, record := range [2]*latencyRecord{&b.fleetwide.latency, &b.machineTypes[endpoint.machineType].latency} {
		record.answers.Add(evidence, 1)
		record.time.Add(evidence, float64(result.Latency))
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
	if isPoor {
		b.count(&b.misses.failed)
	}
}

// cacheHit is the AttemptResult.CacheResult of a value that was in the cache. 0, not told, is taken for one.
const cacheHit = 1

// rememberKey notes which endpoint answered a key last.
func (b *Balancer) rememberKey(key uint64, endpoint int) {
	record := &b.recentKeys[key%maxRecentKeys]
	if record.key != key {
		*record = keyRecord{key: key}
	}
	record.endpoint = endpoint
}
