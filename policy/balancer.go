// Package policy makes the routing decisions: which endpoint a request is sent to, whether it may be sent at all,
// whether it is retried, and when it is rejected. A Balancer decides for one balancer process and shares no state with
// others.
//
// The package performs no I/O and reads no clock. Its caller passes in the time, the random seed, the settings and
// every event; it acts through an Executor. The same sequence of events produces the same actions and the same random
// draws, so that recorded traffic can be replayed. The exception is which idle key queues are removed when there are
// many (newKeyQueue), which is arbitrary.
//
// Each group of rules has its own file, which starts with a description of the rules:
//
//	dispatch.go      the path of a request from arrival to its final answer
//	candidates.go    candidate endpoints of a key: rendezvous hashing, expansion
//	selection.go     choice among the candidates: load, latency, zone
//	eligibility.go   hard limits on sending: drains, effects, deadlines
//	slowstart.go     slow start of endpoints that have just started
//	outlier.go       detection of endpoints whose attempts fail
//	admission.go     early rejection: overload, tenant quotas
//	retry.go         retry tokens, backoff and hedging
//	keyqueue.go      queues of requests that have the same key
//	cacheaside.go    cache misses and writes that go to the origin
//	observations.go  statistics from finished attempts and load reports
//	endpoints.go     the endpoint list
//	snapshot.go      saving and restoring learned state across a restart
//	settings.go      typed settings
//	executor.go      the Executor interface and the types of events
//	clock.go         the activity clock, by which statistics decay, and the random source
//	reason.go        reasons for rejecting or failing a request
//
// Times and durations are integer nanoseconds of one clock. Requests, endpoints, classes, tenants, machine types and
// zones are identified by small indices; for classes, tenants, machine types and zones these are their positions in the
// settings.
package policy

import (
	"hollylever/decay"
	"hollylever/outage"
	"hollylever/quota"
)

const (
	millisecond = int64(1e6)
	second      = int64(1e9)
)

// Timer tags. The tag of a request's timer is timerRequest plus the index of the request.
const (
	timerListRetry = iota
	timerRequest
)

// noEndpoint is the endpoint index that means "none".
const noEndpoint = -1

// Balancer holds the state of one balancer, grouped by the rule that uses it. Where a file is named, it holds the
// rule that uses the field; other files may write it too. A Balancer is not safe for concurrent use.
type Balancer struct {
	executor Executor
	settings settings
	random   randomSource
	clock    activityClock

	// The endpoint list (endpoints.go).
	endpoints    []endpointState
	machineTypes []machineType // indexed by position in the settings plus 1; 0: type not stated
	updateKind   UpdateKind    // kind of the update in progress
	listFailures int           // consecutive failures to get the list, at most maxListBackoffDoublings
	ready        []int         // caches that the list allows to be sent to
	totalWeight  float64       // of the ready caches
	warmWeight   float64       // of the ready caches that were not warming up at the last update
	origin       int           // cache-aside: index of the origin; noEndpoint if there is none

	// Requests and their queues (dispatch.go, keyqueue.go).
	requests     []requestState
	openRequests []int // requests without a final answer
	keyQueues    map[keyQueueID]*keyQueue

	// This balancer's part in the fleet.
	fleetSize        float64 // number of balancers that share the fleet-wide limits
	processShare     float64 // fraction of this balancer's attempts that this process sends
	widespreadMisses bool    // the fleet agrees that many reads miss

	// Statistics and limits, with the file of the rule that uses them.
	candidates      []candidate               // scratch space for the request being dispatched
	load            loadMeter                 // at ready caches (selection.go)
	fleetwide       machineType               // latency over all caches (selection.go)
	outcomes        outcomeCounts             // over all caches (outlier.go)
	connectFailures sum                       // attempts that got no connection
	outages         *outage.Detector          // zones that stopped answering (outlier.go)
	warmThroughput  warmThroughput            // slowstart.go
	admission       admissionLimiter          // admission.go
	quotas          *quota.Limiter            // per tenant (admission.go)
	quality         attemptQuality            // timely attempts, and late or failed ones (observations.go)
	reports         loadReports               // of ready caches (observations.go)
	retries         retryBudget               // for the whole balancer (retry.go)
	overdue         sum                       // attempts that took far longer than others (retry.go)
	misses          missRate                  // of reads (cacheaside.go)
	originReads     originLimiter             // cacheaside.go
	recentKeys      [recentKeySlots]keyRecord // indexed by key modulo recentKeySlots (observations.go)
}

// New returns a Balancer without any endpoints or statistics. values maps the dotted names of settings to float64,
// string or bool values; a missing setting counts as 0, "" or false. seed must differ between balancers, so that those
// that see the same events do not make the same random choices. New calls executor.WatchEndpoints if discovery sends
// changes of the list only to balancers that watch it.
func New(now int64, seed uint64, values map[string]any, executor Executor) *Balancer {
	s := readSettings(values)
	b := &Balancer{
		executor:     executor,
		settings:     s,
		random:       newRandomSource(seed),
		clock:        activityClock{startedAt: now, now: now, rate: 1},
		origin:       noEndpoint,
		keyQueues:    map[keyQueueID]*keyQueue{},
		fleetSize:    s.fleetSize,
		processShare: 1,
		outages:      outage.New(decay.TimeConstant),
		admission:    admissionLimiter{capacityFactor: 1, baseLatency: float64(second)},
		quotas:       quota.New(s.quotas),
		retries:      retryBudget{tokens: 1},
		originReads:  newOriginLimiter(s.fleetSize),
	}
	if s.mustSubscribe {
		executor.WatchEndpoints()
	}
	return b
}

// advanceClock moves the clocks to now. The handlers of arriving requests, ended attempts, expired requests and timers
// call it first, as do CommitEndpointUpdate and SaveState. HandleResponseStarted and HandleClientCancelled do not: the
// statistics that they update decay up to the previous event.
func (b *Balancer) advanceClock(now int64) {
	b.admission.recoverCapacityFactor(now - b.clock.now)
	b.clock.advance(now, &b.admission.arrivals)
}

// RequestInfo describes a request on arrival. Durations are nanoseconds.
type RequestInfo struct {
	Remaining     int64 // time until the client stops waiting
	Class         int
	Tenant        int // -1: not stated
	Key           uint64
	HasKey        bool // requests with the same key share their candidates; without a key they are chosen at random
	IsWrite       bool
	PredictedWork int64 // as time on a standard core; 0: not stated
}

// HandleRequest handles the arrival of a request. index identifies the request until it has its final answer and all
// its attempts have ended; after that the index may be reused.
func (b *Balancer) HandleRequest(now int64, index int, info RequestInfo) {
	b.advanceClock(now)
	b.requests = append(b.requests, make([]requestState, max(0, index+1-len(b.requests)))...)
	request, class := &b.requests[index], &b.settings.classes[info.Class]
	key := info.Key
	if !info.HasKey {
		key = b.random.uint64()
	}
	*request = newRequest(now, info, key, class, b.settings.deadlineDrift, request.attempts[:0])
	request.openIndex = len(b.openRequests)
	b.openRequests = append(b.openRequests, index)
	b.countArrival()
	b.admit(now, index, info)
}

// HandleResponseStarted handles the start of a streamed response. From then on the request has no deadline, is not
// hedged and does not count as load at its endpoint, because the client determines how long the stream takes.
func (b *Balancer) HandleResponseStarted(index, attempt int) {
	request := &b.requests[index]
	request.beginStreaming()
	b.endInFlight(request, &request.attempts[attempt])
	request.attempts[attempt].state = completed
}

// HandleResponseContinued handles a part of a response that is held back until it is whole. From its first part on its attempt
// does not count as load, as how long it takes is not determined by its endpoint alone. While it goes on it is not overdue.
func (b *Balancer) HandleResponseContinued(index, attempt int) {
	request := &b.requests[index]
	if request.isLastInFlight(attempt) {
		request.timerAt = 0
	}
	if responding := &request.attempts[attempt]; responding.state == inFlight && !responding.isResponding {
		responding.isResponding = true
		b.addLoad(responding.endpoint, -1)
	}
}

// HandleResponseStalled handles a response that has begun, is held back and does not go on: its attempt may be overdue, as
// before it began.
func (b *Balancer) HandleResponseStalled(now int64, index, attempt int) {
	b.advanceClock(now)
	request := &b.requests[index]
	if !request.isLastInFlight(attempt) || request.attempts[attempt].endpoint == b.origin {
		return
	}
	overdueAt := b.overdueAt(request.attempts[attempt].sentAt, request)
	if overdueAt <= now {
		b.hedge(now, index)
		return
	}
	request.timerAt = overdueAt
	b.executor.SetTimer(timerRequest+index, overdueAt-now)
}

// HasLaterAttemptInFlight reports whether a later attempt of a request than the given one is in flight.
func (b *Balancer) HasLaterAttemptInFlight(index, attempt int) bool {
	for _, later := range b.requests[index].attempts[attempt+1:] {
		if later.state == inFlight {
			return true
		}
	}
	return false
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Attempt     int // number of the attempt: its position among the request's Sends, from 0
	Endpoint    int
	CacheResult int // as the endpoint reports it: 0 not reported, 1 hit, 2 miss, 3 waited for another request's fetch
	Outcome     Outcome
	Latency     int64 // nanoseconds since the attempt was sent
	IsAnswered  bool  // the request has its final answer, from this attempt or an earlier event
}

// HandleAttemptEnded handles the end of an attempt. It must be called exactly once for each Send, also for attempts of
// a request that already has its final answer.
func (b *Balancer) HandleAttemptEnded(now int64, index int, result AttemptResult) {
	b.advanceClock(now)
	request := &b.requests[index]
	attempt := &request.attempts[result.Attempt]
	if attempt.state == inFlight {
		b.endInFlight(request, attempt)
	}
	request.endedAttempts++
	attempt.state = result.Outcome.provenExecution()
	b.detectRestart(now, result)
	b.recordOutcome(now, request, result)
	if result.Outcome == CacheMiss && request.missedCache == noEndpoint {
		request.missedCache = result.Endpoint
	}
	b.adjustKeyQueue(now, request, result)
	b.continueRequest(now, index, result)
	b.leaveKeyQueue(now, index)
}

// HandleClientCancelled handles a client that has cancelled its request or disconnected: no answer is needed.
func (b *Balancer) HandleClientCancelled(now int64, index int) {
	if b.requests[index].isOpen {
		b.closeRequest(now, index, noEndpoint)
	}
	b.leaveKeyQueue(now, index)
}

// ExpireRequest gives a request its final answer immediately, regardless of what it waits for, because the process is
// shutting down. A request whose response has started streaming is left to finish.
func (b *Balancer) ExpireRequest(now int64, index int) {
	b.advanceClock(now)
	if request := &b.requests[index]; request.isOpen && !request.isStreaming() {
		b.finish(now, index, DeadlineNear)
	}
}

// HandleTimer handles the expiry of a timer set with Executor.SetTimer. Timers are never cancelled, so one that is no
// longer needed is ignored.
func (b *Balancer) HandleTimer(now int64, tag int) {
	b.advanceClock(now)
	switch index := tag - timerRequest; {
	case tag == timerListRetry:
		b.executor.WatchEndpoints()
	case index < len(b.requests):
		b.handleRequestTimer(now, index)
	}
}

// HandleLoadReport handles an endpoint's load report. values are in the order of the setting report.fields, with NaN
// for each value that the report lacks.
func (b *Balancer) HandleLoadReport(index int, values []float64) {
	endpoint := &b.endpoints[index]
	if b.isListed(endpoint) && index != b.origin {
		b.reports.replace(&endpoint.report, values, b.settings.reportFields)
	}
}

// UpdatePeerVerdict sets the probability, from 0 to 1, with which an endpoint is skipped because of what other
// balancers report about it. A negative verdict means that this balancer holds the probe lease of the endpoint and must
// try it.
func (b *Balancer) UpdatePeerVerdict(index int, verdict float64) {
	b.endpoints[index].outlier.peerVerdict = verdict
}

// SetQuota sets a tenant's quota for the whole fleet, in requests per second.
func (b *Balancer) SetQuota(tenant int, requestsPerSecond float64) {
	b.quotas.SetQuota(tenant, requestsPerSecond)
}

// SetFleetShare sets this balancer's share of the fleet-wide limits, from 0 to 1. It replaces the even share that
// follows from the number of balancers in the settings.
func (b *Balancer) SetFleetShare(share float64) { b.fleetSize = 1 / min(1, max(share, minFleetShare)) }

// minFleetShare keeps fleetSize finite. It is far below the even share in a fleet of any realistic size.
const minFleetShare = 1e-6

// SetProcessShare sets the fraction, from 0 to 1, of the balancer's attempts that this process sends while two
// processes of one balancer run side by side during an upgrade. The fraction also applies to the slow-start budget.
func (b *Balancer) SetProcessShare(share float64) { b.processShare = share }

// SetWidespreadMisses sets whether the fleet agrees that many reads miss. While it does, all balancers try a key's
// candidates in the same order, so that each key is fetched from the origin only once.
func (b *Balancer) SetWidespreadMisses(areWidespread bool) { b.widespreadMisses = areWidespread }
