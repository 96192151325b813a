// Package policy is the decision module: which endpoint a request goes to, whether it may be sent at all, whether it is
// retried, and when it is rejected. One Balancer decides for one balancer and shares nothing with others.
//
// The module is pure. It is handed the clock, its random seed, the settings and every event, and acts through an
// Executor. Equal events give equal actions, down to the order of random draws, so that a day can be replayed.
//
// Each rule has a file that opens with the rule in plain words:
//
//	dispatch.go      the ordinary path of a request, top to bottom
//	candidates.go    which endpoints a key belongs to: rendezvous hashing, expansion
//	selection.go     which candidate gets the attempt: load, latency, zone
//	eligibility.go   what may never be sent: drains, effects, deadlines
//	slowstart.go     what an endpoint that has just started may be sent
//	outlier.go       which endpoints are passed over as their attempts fail
//	admission.go     when a request is rejected at once: overload, tenants' quotas
//	retry.go         what pays for a retry, how long it waits, when a request is hedged
//	keyqueue.go      requests of one key that go one at a time
//	cacheaside.go    misses and writes that go to the origin
//	observations.go  what the end of an attempt teaches
//	endpoints.go     the endpoint list
//	snapshot.go      learned state out and in, over a restart
//	settings.go      the settings, typed, read once
//	executor.go      what the module acts through, and the terms of its events
//	evidence.go      the clock by which observations fade, and the random source
//	reason.go        why a request was rejected or failed
//
// Times and durations are whole nanoseconds of one clock. Requests, endpoints, classes, tenants, machine types and
// zones are small indices; those of classes, tenants, machine types and zones are their places in the settings. A
// Balancer does not lock: it has one caller at a time.
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

// The tags of timers. timerRequest has the index of the request added.
const (
	timerList = iota
	timerRequest
)

// noEndpoint stands for the index of an endpoint where there is none.
const noEndpoint = -1

// Balancer is what one balancer knows, by the rule that owns it. Each part is written by the methods of its own file. A
// Balancer is not safe for concurrent use.
type Balancer struct {
	executor Executor
	settings settings
	random   randomSource
	clock    evidenceClock

	// The endpoint list (endpoints.go).
	endpoints    []endpointState
	machineTypes []machineType // by the place in the settings, plus 1; 0: not stated
	updateKind   UpdateKind    // of the update that is being told
	listFailures int           // in a row
	ready        []int         // caches that may be sent to by the list
	totalWeight  float64       // of these
	warmWeight   float64       // of those among them that were not warming up at the last update
	origin       int           // cache-aside: the endpoint that is the origin

	// Requests and their queues (dispatch.go, keyqueue.go).
	requests     []requestState
	openRequests []int // without a final answer
	keyQueues    map[keyQueueID]*keyQueue

	// What is known of this balancer's place among all.
	fleetSize        float64 // balancers that share what all may do together
	processShare     float64 // of this balancer's attempts that this process sends
	widespreadMisses bool    // all balancers agree that reads miss

	// What was observed, by the rule that decides by it.
	candidates      []candidate              // of the request that is being dispatched; reused
	load            loadMeter                // at ready caches (selection.go)
	fleetwide       machineType              // latency of all caches (selection.go)
	outcomes        outcomeCounts            // of all caches (outlier.go)
	connectFailures sum                      // attempts without a connection
	outages         *outage.Detector         // zones that stopped answering (outlier.go)
	warmThroughput  warmThroughput           // slowstart.go
	admission       admissionLimiter         // admission.go
	quotas          *quota.Limiter           // of tenants (admission.go)
	quality         attemptQuality           // timely and late attempts (observations.go)
	reports         loadReports              // of ready caches (observations.go)
	retries         retryBudget              // of the whole balancer (retry.go)
	overdue         sum                      // attempts that took far longer than others (retry.go)
	misses          missRate                 // of reads (cacheaside.go)
	originReads     originLimiter            // cacheaside.go
	recentKeys      [maxRecentKeys]keyRecord // by key (observations.go)
}

// New begins a balancer with nothing known. values are the operators' settings as a plain map of dotted names to
// float64, string or bool; one that is missing counts as 0, "" or false. seed is the instance's own, so that balancers
// that see the same do not act in step. New calls executor.WatchEndpoints where changes of the list are sent only to
// balancers that watch.
func New(now int64, seed uint64, values map[string]any, executor Executor) *Balancer {
	s := readSettings(values)
	b := &Balancer{
		executor:     executor,
		settings:     s,
		random:       newRandomSource(seed),
		clock:        evidenceClock{startedAt: now, now: now, pace: 1},
		origin:       noEndpoint,
		keyQueues:    map[keyQueueID]*keyQueue{},
		fleetSize:    s.fleetSize,
		processShare: 1,
		outages:      outage.New(decay.TimeConstant),
		admission:    admissionLimiter{tolerance: 1, baseLatency: float64(second)},
		quotas:       quota.New(s.quotas),
		retries:      retryBudget{tokens: 1},
		originReads:  newOriginLimiter(s.fleetSize),
	}
	if s.mustSubscribe {
		executor.WatchEndpoints()
	}
	return b
}

// advanceClock moves the clocks. Each event that counts evidence calls it first.
func (b *Balancer) advanceClock(now int64) {
	b.admission.recover(now - b.clock.now)
	b.clock.advance(now, &b.admission.arrivals)
}

// RequestInfo is what is known of a request when it arrives. Durations are nanoseconds.
type RequestInfo struct {
	Remaining     int64 // until the client waits no longer
	Class         int   // its request class
	Tenant        int   // -1: none stated
	Key           uint64
	HasKey        bool // requests of one key go to the same candidates; without a key any will do
	IsWrite       bool
	PredictedWork int64 // on a standard core; 0: not stated
}

// HandleRequest takes a request that has arrived. index is its own until it has its final answer and its last attempt
// has ended; then another request may have it.
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

// HandleResponseStarted says that the answer of a streamed request has begun. From then on the request has no deadline
// and is not hedged, and it counts as load at no endpoint: how long it takes is up to its client.
func (b *Balancer) HandleResponseStarted(index, attempt int) {
	request := &b.requests[index]
	request.beginStreaming()
	request.attempts[attempt].state = completed
	b.addInFlight(request, request.attempts[attempt].endpoint, -1)
}

// AttemptResult is how an attempt ended. Latency is in nanoseconds.
type AttemptResult struct {
	Attempt     int // its number: the order of the request's Sends, from 0
	Endpoint    int
	CacheResult int // where endpoints tell it: 1 hit, 2 miss, 3 waited for another request's fetch
	Outcome     Outcome
	Latency     int64 // since it was sent
	IsAnswered  bool  // the request has its final answer, by this attempt or before
}

// HandleAttemptEnded takes how an attempt ended, once for each Send. It also comes for attempts of a request that
// already has its final answer.
func (b *Balancer) HandleAttemptEnded(now int64, index int, result AttemptResult) {
	b.advanceClock(now)
	request := &b.requests[index]
	attempt := &request.attempts[result.Attempt]
	if attempt.state == inFlight {
		b.addInFlight(request, result.Endpoint, -1)
	}
	request.ended++
	attempt.state = result.Outcome.executionState()
	b.detectRestart(now, result)
	b.recordOutcome(now, request, result)
	if result.Outcome == CacheMiss && request.missedAt == noEndpoint {
		request.missedAt = result.Endpoint
	}
	b.adjustKeyConcurrency(now, request, result)
	b.continueRequest(now, index, result)
	b.leaveKeyQueue(now, index)
}

// HandleClientCancelled says that the client has gone: the request needs no answer.
func (b *Balancer) HandleClientCancelled(now int64, index int) {
	if b.requests[index].isOpen {
		b.closeRequest(now, index, noEndpoint)
	}
	b.leaveKeyQueue(now, index)
}

// ExpireRequest gives a request its final answer now, whatever it waits for, as the process ends. One whose answer has
// begun goes on.
func (b *Balancer) ExpireRequest(now int64, index int) {
	b.advanceClock(now)
	if request := &b.requests[index]; request.isOpen && !request.isStreaming() {
		b.finish(now, index, DeadlineNear)
	}
}

// HandleTimer says that a timer that SetTimer asked for has come due. Timers are not cancelled: one that nothing waits
// for any more is ignored.
func (b *Balancer) HandleTimer(now int64, tag int) {
	b.advanceClock(now)
	switch index := tag - timerRequest; {
	case tag == timerList:
		b.executor.WatchEndpoints()
	case index < len(b.requests):
		b.handleRequestTimer(now, index)
	}
}

// HandleLoadReport takes an endpoint's load report: its figures in the order of the settings, NaN for one that it
// lacks.
func (b *Balancer) HandleLoadReport(index int, figures []float64) {
	endpoint := &b.endpoints[index]
	if b.isListed(endpoint) && index != b.origin {
		b.reports.replace(&endpoint.report, figures, b.settings.reportFields)
	}
}

// UpdatePeerVerdict sets by how much other balancers' reports lower an endpoint's chance to be selected, from 0 to 1.
// Under 0, this balancer holds the probe lease of the endpoint and is to try it.
func (b *Balancer) UpdatePeerVerdict(index int, verdict float64) {
	b.endpoints[index].outlier.peerVerdict = verdict
}

// SetQuota sets a tenant's quota, in requests a second for all balancers together.
func (b *Balancer) SetQuota(tenant int, requestsPerSecond float64) {
	b.quotas.SetQuota(tenant, requestsPerSecond)
}

// SetFleetShare sets this balancer's share of what all balancers may do together, from 0 to 1. It replaces the even
// share by the number of balancers that the settings state.
func (b *Balancer) SetFleetShare(share float64) { b.fleetSize = 1 / min(1, max(share, minFleetShare)) }

// minFleetShare keeps the fleet's size finite. A millionth is less than the even share in any fleet there may be.
const minFleetShare = 1e-6

// SetProcessShare sets this process's share of the balancer's attempts, from 0 to 1, while two processes of it run over
// an upgrade. It is its share of the slow-start budget, too.
func (b *Balancer) SetProcessShare(share float64) { b.processShare = share }

// SetWidespreadMisses sets whether all balancers agree that many reads miss. While they do, a key's candidates are
// tried in one order by all balancers, so that the key is fetched once.
func (b *Balancer) SetWidespreadMisses(areWidespread bool) { b.widespreadMisses = areWidespread }
