// Package policy is the decision module: one Balancer decides for one balancer and shares nothing with the others.
// New hands it the seed, the settings (a plain map of dotted names to values) and the Host it acts through
// (host.go). Afterwards the front calls one method for each thing that happens: Listing, Row and Listed for a
// list; Asked, Started, Ended, Aborted for requests; Reported, Woke and Heard. Each but Heard gets the
// clock first. The ordinary path is route, as in docs/design.md; the rules are the gates maySend, mayReject.
package policy

import (
	"math"
	"slices"

	"hollylever/decay"
	"hollylever/outage"
	"hollylever/quota"
)

const (
	second                 = int64(1e9)
	timeConstant           = decay.TimeConstant // how long what was seen counts
	maxStall               = 150 * int64(1e6)   // the process may be held up for so long between a decision and what comes of it
	answerMargin           = 25 * int64(1e6)    // before the hard stop an answer must be out
	fullPaceRequests       = 60.0               // requests: with fewer in it, memory stretches
	minPace                = 0.1
	initialCandidates      = 3               // candidates of a key
	expansionFactor        = 7               // a busy answer widens so many times
	initialBackoff         = 33 * int64(1e6) // the first hold at full width; it doubles
	overloadRatio          = 1.1             // over so many times the mean in flight, and overBy, a server is passed over
	overloadSlack          = 0.3
	priorAttempts          = 2.0     // what all of its kind tell of a server counts as so many attempts of its own
	jammedRatio            = 3.0     // times the mean time of an attempt: a server that takes longer is left for others
	rejectionWeight        = 2.0     // a busy answer counts as so many in flight
	missThreshold          = 0.15    // more misses than this part of the reads strain the origin
	retryAfterShare        = 1.0 / 6 // of the expected time
	idleStrain             = 0.3     // of what all could report as strain: under it nothing is crowded
	maxConnectFailureRatio = 0.05    // of the attempts without a connection: more, and no zone goes first
	queueingShare          = 0.15    // of the expected time may be spent by what is in flight
	startupAttempts        = 4.0     // attempts in flight a server that all balancers may add while they know no rate
	minUnknownKeyShare     = 0.5     // of the room is left to keys not read lately
	maxRecentKeys          = 8191    // places for keys read lately
	baseLatencyGrowth      = 1.0005  // an answer, so that the usual time is found again when it has risen
	lateRatio              = 0.75    // of the expected time: an attempt that takes longer is poor
	maxOverdueRatio        = 0.08    // of the requests may be overdue and get copies; more: origin or fleet is slow
	successRatioFloor      = 0.6     // of the chance of success that all have: under it a server is passed by
	priorSuccesses         = 2.0     // what is taken of a server before it is known, with firstBad
	priorFailures          = 0.1
	retryTokensPerSuccess  = 0.2 // credit that an answer earns, up to maxCredit
	maxRetryTokens         = 10.0
	slowStartMargin        = 0.9 // of the cold budget at most: machines differ, and so do balancers' parts of the traffic
	provenHalfAt           = 8.0 // answers prove half of what they can of a cold server: all of that part of its budget
	slowStartBurst         = 1.5 // times what falls due between two requests for a cold server may wait there for one
	minOriginLimit         = 0.1 // under one, reads are let in by chance
	minOverloadTolerance   = 0.3
	restartConnectFailures = 2    // so often no connection after a broken attempt is a restart
	initialOriginLimit     = 40.0 // aside: reads all may have out at the origin beyond two each, at first
)

const timerList, timerRequest = 0, 1 // what a timer is for: the list, or with its index added a request

const inFlight, mayHaveRun, neverRan, completed executionState = 0, 1, 2, 3 // running: in flight

type attempt struct {
	endpoint int
	sentAt   int64
	state    executionState
}

type request struct {
	class                      int
	key                        uint64
	isWrite, isOpen            bool
	usefulUntil, deadline      int64 // due: an answer after it has no value; stop: the hard stop
	answerBy                   int64 // while nothing is out for it, its answer is due by then, whatever the clocks say
	backoff, timerAt           int64
	candidateCount, missedAt   int       // missed, aside: the cache that lacked the key, -1 if none did
	bypassesCaches, isDequeued bool      // aside: it asks the origin, as the caches are crowded; it had its turn
	isFetching, awaitsFetch    bool      // aside: it asks the origin for its key, or waits for the one that does
	queue                      *keyQueue // in this one, if it takes turns
	attempts                   []attempt
	inFlight, ended, openIndex int // attempts in flight; that have ended; its place in Balancer.live
}

type endpoint struct {
	hash                            uint64
	health                          Health
	startStamp, startedAt           int64 // its last start: as the list has it, and the latest that it can have been
	machineType, zone, cell         int
	listed, isWarm                  bool    // by the last list
	hasDrained                      bool    // and not ready since
	breaks                          int     // broke an attempt, and took no connection so often since, with no answer between
	weight                          float64 // by the list
	inFlight                        int     // attempts in flight
	inFlightAverage                 average
	attempts                        sum // attempts
	successes, failures, rejections sum
	retryTokens, slowStartTokens    float64 // room, cold: what it may still be sent
	slowStartAt, connectFailedAt    int64   // cutAt: when a connect failed, if nothing was answered since
	cacheFillsUntil                 int64   // until then it is slow as its cache fills
	peerVerdict, evacuated          float64 // others' word takes that from its chance; the part of the keys that stays away
	reportedRate, reportedStrain    float64 // by its last load report, for all balancers; under 0: none came
}

// Balancer is what one balancer knows.
type Balancer struct {
	executor                                           Executor
	values                                             map[string]any
	random                                             randomSource
	startedAt, now, evidence                           int64   // seen: the clock by which what was seen fades
	pace                                               float64 // of that clock: slower while there is little to go by
	endpoints                                          []endpoint
	machineTypes                                       []machineType
	fleetwide                                          machineType
	ready                                              []int   // caches that the list calls ready
	totalWeight, warmWeight                            float64 // of them all, and of those that are not cold by the last list
	processShare                                       float64 // of this balancer's cold room that this process has
	candidates                                         []candidate
	updateKind                                         UpdateKind
	requests                                           []request
	openRequests                                       []int
	keyQueues                                          map[keyQueueID]*keyQueue
	classes                                            []requestClass
	quotas                                             *quota.Limiter   // of tenants
	outages                                            *outage.Detector // of zones
	listFailures, inFlight                             int              // of the list, in a row; attempts in flight at ready caches
	inFlightAverage                                    average
	successes, failures, warmThroughput                sum // of all caches, as a server's; of warm ones
	reads, readMisses, readFailures                    sum // answers to reads; those that needed the origin or failed; that failed
	timely, late                                       sum // attempts that ended in time, and late or not at all
	recentKeys                                         [maxRecentKeys]keyRecord
	retryTokens                                        float64        // for further attempts, wherever they go
	arrivals, shed                                     sum            // requests that came, and those rejected for the crowd
	cacheMisses, answered, answerTime                  sum            // misses (aside); attempts that caches settled, and their times
	connectFailures, overdue                           sum            // attempts without a connection; those that took far longer than others
	baseLatency                                        float64        // time of an attempt while nothing is crowded
	overloadTolerance                                  float64        // part of the room for a crowd, borne
	originLimit                                        float64        // aside: how many reads may be out at the origin
	originFetches                                      map[uint64]int // aside: key to the request that asks the origin for it
	zone, origin                                       int            // its own; aside: its index, -1 if none is listed
	cacheAside, weightsFollowLoad                      bool           // moving: the list's sizes fall with load
	hasFewBuffers, onlyDrainingBinds, widespreadMisses bool           // answers' are few; the gone may be sent to; all say reads miss
	mayHedge, mayCancel                                bool
	lastDispatchAt                                     int64 // the last attempt
	deadlineDrift, bootStampError                      int64
	orderSettle, maxRetryAfter                         int64 // how long a key in order rests; 0: nothing may be said
	warmUp, tipAfter                                   int64
	startCapacity, overloadMultiple                    float64
	peakThroughput, fleetSize                          float64 // the most a warm cache answered here lately, for its size
	peakAt, lastRestartAt                              int64   // when a server broke last
	maxAttempts                                        int
	reportFields                                       []string // of a load report
	reportsStrain                                      bool     // whether it tells of strain
	reportedRate, reportedStrain, reporting            float64  // by the last reports of ready caches: sums, and how many reported
}

// New begins a balancer with nothing known.
func New(now int64, seed uint64, values map[string]any, host Executor) *Balancer {
	b := &Balancer{executor: host, values: values, startedAt: now, now: now, pace: 1, origin: -1, zone: -1,
		retryTokens: 1, overloadTolerance: 1, processShare: 1, originFetches: map[uint64]int{}, keyQueues: map[keyQueueID]*keyQueue{},
		outages: outage.New(timeConstant), baseLatency: float64(second), random: randomSource{seed ^ 0x9e3779b97f4a7c15, 1}}
	for range 8 {
		b.random.uint64()
	}
	b.readSettings()
	if b.text("registryMode") == "subscribe" {
		host.WatchEndpoints()
	}
	return b
}

// passes moves the clocks. What was seen fades slower while few requests come: it rests on enough of them.
func (b *Balancer) advanceClocks(now int64) {
	b.evidence += int64(float64(now-b.now) * b.pace)
	b.overloadTolerance = min(1, b.overloadTolerance+float64(now-b.now)/float64(40*second))
	b.now, b.pace = now, min(1, max(minPace, b.arrivals.ValueAt(b.evidence)/fullPaceRequests))
}

// Listing begins a list; a Row for each entry and Listed follow.
func (b *Balancer) BeginEndpointUpdate(now int64, scope UpdateKind) {
	b.updateKind = scope
	for s := range b.endpoints {
		b.endpoints[s].listed = false
	}
	if scope == UpdateFailed {
		// Guards against a registry that all ask at once: growing waits, spread by chance, of 3 s at most, half of the
		// time after which changes count as told: one more call may fail. What is pushed counts once it can be heard.
		b.listFailures = min(b.listFailures+1, 3)
		wait, most := float64(second/4)*float64(int(1)<<b.listFailures), float64(b.span("invariants.askEvery"))
		if b.text("registryMode") == "automatic" {
			most = float64(b.span("invariants.drainGrace")) / 8
		}
		if most > 0 {
			wait = min(wait, most)
		}
		b.executor.SetTimer(timerList, int64((0.5+b.random.float64())*wait))
	} else if scope != SavedList {
		b.listFailures = 0
	}
}

// Row is one entry of the list.
func (b *Balancer) UpdateEndpoint(now int64, s int, address string, health Health, started int64, model, zone, cell int,
	size float64) {
	if s == len(b.endpoints) {
		b.endpoints = append(b.endpoints, endpoint{})
	}
	h := &b.endpoints[s]
	if h.hash == 0 { // Its place is new, or was another's.
		hash := uint64(14695981039346656037)
		for i := range len(address) {
			hash = (hash ^ uint64(address[i])) * 1099511628211
		}
		*h = endpoint{hash: hash, retryTokens: 1, slowStartAt: now, reportedRate: -1}
	}
	// Guards cold servers against stamps that are off: the latest start that the stamp and the telling allow.
	if started > h.startStamp || b.bootStampError > 0 && started > 0 && started != h.startStamp {
		h.startStamp, h.startedAt, h.reportedRate = started, max(1, min(now, started+b.bootStampError)), -1
		h.reportedStrain, h.slowStartTokens, h.slowStartAt = 0, 0, 0
	}
	h.hasDrained = health == Draining || h.hasDrained && health == Removed
	h.health, h.machineType, h.zone, h.cell, h.listed, h.weight = health, model+1, zone, cell, true, 1
	for len(b.machineTypes) <= h.machineType { // Of all: an attempt may end at one never called ready. Kind 0: not stated.
		b.machineTypes = append(b.machineTypes, machineType{})
	}
	if size > 0 {
		// Guards keys against weights that move with load: what stays is the largest that any of a kind had.
		if k := &b.machineTypes[h.machineType]; b.weightsFollowLoad {
			k.weight = max(k.weight, size)
			size = k.weight
		}
		h.weight = size
	}
}

// Forget frees the place of a server that is gone, once no request has an attempt there.
func (b *Balancer) RemoveEndpoint(s int) { b.endpoints[s] = endpoint{health: Removed} }

// Listed ends the list.
func (b *Balancer) CommitEndpointUpdate(now int64) {
	b.advanceClocks(now)
	b.inFlightAverage.Update(b.evidence, b.inFlight)
	b.ready, b.inFlight, b.origin, b.totalWeight, b.warmWeight = b.ready[:0], 0, -1, 0, 0
	b.reportedRate, b.reportedStrain, b.reporting = 0, 0, 0
	for s := range b.endpoints {
		h := &b.endpoints[s]
		if (b.updateKind == FullList || b.updateKind == SavedList) && !h.listed {
			h.health = Removed
		}
		if b.isListed(h) && b.cacheAside && h.machineType == int(b.number("extra.originKind"))+1 {
			b.origin = s
		} else if b.isListed(h) {
			b.ready = append(b.ready, s)
			if h.isWarm = !b.isWarmingUp(now, s); h.isWarm {
				b.warmWeight += h.weight
			}
			b.inFlight += h.inFlight
			b.totalWeight += h.weight
			if h.reportedRate >= 0 {
				b.reportedRate += h.reportedRate
				b.reportedStrain += h.reportedStrain
				b.reporting++
			}
		}
	}
	b.candidates = append(b.candidates, make([]candidate, max(0, len(b.ready)-len(b.candidates)))...)
}

// open: the list lets a server be sent to. Where only draining binds, the list does not prove what is up.
func (b *Balancer) isListed(h *endpoint) bool {
	return h.health == Ready || b.onlyDrainingBinds && h.health == Removed && h.hash != 0 && !h.hasDrained
}

// Asked begins a request.
func (b *Balancer) HandleRequest(now int64, i int, patience int64, class, tenant int, key uint64, keyGiven,
	write bool, predicted int64) {
	b.advanceClocks(now)
	b.requests = append(b.requests, make([]request, max(0, i+1-len(b.requests)))...)
	r, w := &b.requests[i], &b.classes[class]
	if !keyGiven {
		key = b.random.uint64() // No key: any candidates are as good.
	}
	// Where clocks differ, the client may wait longer than told: attempts end when it goes; what is held ends in
	// time whatever the clocks say.
	*r = request{class: class, key: key, isWrite: write, isOpen: true, answerBy: now + max(patience, b.deadlineDrift),
		usefulUntil: now + patience + b.deadlineDrift, deadline: now + patience + b.deadlineDrift, candidateCount: initialCandidates, missedAt: -1,
		attempts: r.attempts[:0], openIndex: len(b.openRequests)}
	if w.lateValue == 0 {
		r.usefulUntil = min(r.usefulUntil, now+w.objective+int64(w.objectiveStretch*float64(predicted)))
	}
	b.openRequests = append(b.openRequests, i)
	b.count(&b.arrivals)
	switch {
	case b.quotas.ShouldReject(tenant, b.trafficView(), b.random.float64):
		b.finish(now, i, OverQuota)
	case !(b.cacheAside && write) && b.areEndpointsBusy() && b.isOverloaded(now, r): // Aside, writes go by the caches.
		b.count(&b.shed)
		// Guards reads against caches that slow down when crowded, while the origin has room.
		r.bypassesCaches = b.cacheAside && !write && b.origin >= 0 && float64(b.endpoints[b.origin].inFlight+1) < b.originLimit
		if !r.bypassesCaches || !b.enqueue(now, i, keyGiven) {
			b.finish(now, i, Overloaded)
		}
	case !b.enqueue(now, i, keyGiven):
		b.finish(now, i, QueueFull)
	}
}

// route is the ordinary path: one of the key's candidates at random, from as many as busy answers call for.
func (b *Balancer) dispatch(now int64, i int) {
	r, s := &b.requests[i], b.origin
	if r.bypassesCaches && !r.isFetching {
		b.coalesceOriginFetch(now, i)
		return
	}
	// Guards reads that lost attempts at caches: the last one may not end as a miss, nor wait for credit not there.
	spent := len(r.attempts) > 0 && (len(r.attempts) == b.maxAttempts-1 || b.retryTokens < 1)
	if b.cacheAside && (r.isWrite || r.missedAt >= 0 || r.bypassesCaches || spent) {
		if s >= 0 && !r.isWrite && float64(b.endpoints[s].inFlight)+b.random.float64() > b.originLimit {
			b.count(&b.readMisses, &b.readFailures)
			b.backOff(now, i, EndpointsBusy)
			return
		}
	} else {
		for s = b.selectEndpoint(now, r); s < 0 && r.candidateCount < len(b.ready); s = b.selectEndpoint(now, r) {
			r.candidateCount *= expansionFactor // None of the candidates may be sent anything: look further.
		}
	}
	switch {
	case now >= r.usefulUntil:
		b.finish(now, i, DeadlineNear)
	case len(r.attempts) >= b.maxAttempts:
		b.finish(now, i, AttemptsSpent)
	case s < 0 && len(r.attempts) > 0 &&
		slices.ContainsFunc(b.ready, func(s int) bool { return b.isEligible(now, r, s) }):
		b.backOff(now, i, NoRetryTokens) // No server has credit for a further attempt: hold as at full width.
	case s < 0 || !b.canDispatch(now, r, s):
		b.finish(now, i, NoEndpoint)
	default:
		b.send(now, i, s)
	}
}

func (b *Balancer) send(now int64, i, s int) {
	r, h := &b.requests[i], &b.endpoints[s]
	h.slowStartTokens--
	if s != b.origin && len(r.attempts) > 0 {
		h.retryTokens--
		b.retryTokens--
	}
	r.attempts = append(r.attempts, attempt{endpoint: s, sentAt: now})
	h.attempts.Add(b.evidence, 1)
	b.lastDispatchAt = now
	b.addInFlight(r, s, 1)
	until := r.deadline
	if r.isKeyThrottled() || b.hasFewBuffers {
		until = r.usefulUntil
	}
	b.executor.Send(i, s, until)
	// Guards against an attempt that falls silent: it is overdue before its end.
	if overdue := now + max(b.classes[r.class].objective/2, int64(jammedRatio*b.fleetwide.meanLatency(b.evidence, 0))); s != b.origin {
		if r.timerAt = 0; overdue < until {
			r.timerAt = overdue
			b.executor.SetTimer(timerRequest+i, overdue-now)
		}
	}
}

// count keeps the numbers in flight.
func (b *Balancer) addInFlight(r *request, s, by int) {
	h := &b.endpoints[s]
	h.inFlightAverage.Update(b.evidence, h.inFlight)
	b.inFlightAverage.Update(b.evidence, b.inFlight)
	r.inFlight += by
	h.inFlight += by
	if b.isListed(h) && s != b.origin {
		b.inFlight += by
	}
}

// usually is how many attempts are in flight at a server over time, for its size, and how long each takes; busy
// answers are others' attempts. While few tell of it, its kind tells more, by answers, as silence is its own.
func (b *Balancer) loadAndLatency(s int) (load, each float64) {
	h := &b.endpoints[s]
	k, n := &b.machineTypes[h.machineType], h.attempts.ValueAt(b.evidence)
	own := h.inFlightAverage.Update(b.evidence, h.inFlight) + rejectionWeight*h.rejections.ValueAt(b.evidence)
	each = (own*float64(timeConstant)/b.pace + priorAttempts*k.meanLatency(b.evidence, b.fleetwide.meanLatency(b.evidence, 0))) / (n + priorAttempts)
	return own / h.weight, b.latencyWhileFilling(h, each)
}

// each is how long an attempt takes in the mean; before that is known, as long as others do.
func (k *machineType) meanLatency(seen int64, others float64) float64 {
	busy := k.rejections.ValueAt(seen)
	n := k.answers.ValueAt(seen) + busy + priorAttempts
	return (k.answerTime.ValueAt(seen) + busy*float64(timeConstant) + priorAttempts*others) / n
}

// rank puts the first width caches of a key's ranking into b.best, in its order (all: in the list's).
func (b *Balancer) rankCandidates(key uint64, width int, ordered bool) int {
	if width >= len(b.ready) && !ordered {
		for j, s := range b.ready {
			b.candidates[j].endpoint = s
		}
		return len(b.ready)
	}
	n := 0
	for _, s := range b.ready {
		mix := (key ^ b.endpoints[s].hash) * 0x9e3779b97f4a7c15
		mix = (mix ^ mix>>32) * 0xd6e8feb86659fd93
		mix ^= mix >> 32
		score := math.Log((float64(mix>>11)+0.5)/(1<<53))/b.endpoints[s].weight - b.evacuationPenalty(key, s) // Larger: more keys.
		if n < width {
			n++
		} else if score <= b.candidates[n-1].score {
			continue
		}
		j := n - 1
		for ; j > 0 && b.candidates[j-1].score < score; j-- {
			b.candidates[j] = b.candidates[j-1]
		}
		b.candidates[j] = candidate{score, s}
	}
	return n
}

// pick takes a candidate at random and passes over one well above the mean; all over: the least loaded.
func (b *Balancer) selectEndpoint(now int64, r *request) int {
	ordered := b.readMisses.ValueAt(b.evidence) > missThreshold*(b.reads.ValueAt(b.evidence)+1)
	n := b.rankCandidates(r.key, r.candidateCount, ordered)
	mean := float64(b.inFlight)/float64(max(1, len(b.ready))) + b.inFlightAverage.Update(b.evidence, b.inFlight)/max(1, b.totalWeight)
	limit := overloadRatio*mean + overloadSlack
	// Guards a short origin: while many reads miss, a key keeps to the cache that answered it last, then to the
	// ranking's order, to be fetched once. While the origin fails: the first of the ranking, whatever its load.
	strict := ordered && (b.widespreadMisses || b.readFailures.ValueAt(b.evidence) > missThreshold*(b.reads.ValueAt(b.evidence)+1))
	if last := b.recentKeys[r.key%maxRecentKeys]; ordered && !strict && last.key == r.key {
		for j := range n {
			if b.candidates[j].endpoint == last.endpoint {
				b.candidates[0], b.candidates[j] = b.candidates[j], b.candidates[0]
			}
		}
	}
	// Those in this balancer's zone go first: crossing costs. Not while the origin fails, as keys need one order
	// for all then, nor while connects fail: a lost zone is found out server by server.
	near, unreached := 0, b.connectFailures.ValueAt(b.evidence)
	for j := 0; j < n && !strict && unreached < maxConnectFailureRatio*(b.successes.ValueAt(b.evidence)+1); j++ {
		if c := b.candidates[j]; b.endpoints[c.endpoint].zone == b.zone || b.endpoints[c.endpoint].peerVerdict < 0 {
			copy(b.candidates[near+1:j+1], b.candidates[near:j])
			b.candidates[near] = c
			near++
		}
	}
	// Aside, a key that moves costs an attempt and a fetch of its own: only what is nearly jammed loses keys.
	slow := b.fleetwide.meanLatency(b.evidence, 0)
	if b.cacheAside {
		slow *= jammedRatio
	}
	least, last, lightest := -1, -1, 0.0
	for ; n > 0; n, near = n-1, near-1 {
		j := 0
		if !ordered {
			if j = near; near <= 0 {
				j = n
			}
			j = b.random.intN(j)
		}
		s := b.candidates[j].endpoint
		copy(b.candidates[j:n], b.candidates[j+1:n])
		h := &b.endpoints[s]
		tried := slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.endpoint == s })
		if !b.isEligible(now, r, s) || len(r.attempts) > 0 && min(b.retryTokens, h.retryTokens) < 1 ||
			tried && len(b.ready) > len(r.attempts) {
			continue
		}
		if h.peerVerdict < 0 && b.classes[r.class].effect == NonIdempotent || b.isOutlier(s, b.random.float64) {
			if last < 0 || h.inFlight < b.endpoints[last].inFlight {
				last = s
			}
			continue
		}
		// The mean over time too: with few in flight the count of the moment does not show the slow ones.
		load, each := b.loadAndLatency(s)
		load += float64(h.inFlight)
		if r.candidateCount < len(b.ready) && each > jammedRatio*b.fleetwide.meanLatency(b.evidence, 0) && h.peerVerdict >= 0 {
			continue // Guards against a key that is more than its three can take: as after a busy answer.
		}
		if strict || load <= limit && math.Pow(b.random.float64(), 0.2)*each <= slow {
			return s
		}
		if least < 0 || load < lightest {
			least, lightest = s, load
		}
	}
	if least < 0 && r.candidateCount >= len(b.ready) {
		return last // All that may be sent anything are in doubt: still better than nothing.
	}
	return least
}

// doubted draws from the posterior of a server's chance of success, as a part of what all have: all may fail.
func (b *Balancer) isOutlier(s int, part func() float64) bool {
	h := &b.endpoints[s]
	good, bad := h.successes.ValueAt(b.evidence)+priorSuccesses, h.failures.ValueAt(b.evidence)+priorFailures
	// Guards against dead servers that the list still shows: one failed connect tells more than one error.
	ago := float64(b.now-h.connectFailedAt) / float64(timeConstant)
	if h.connectFailedAt > 0 && part() < math.Exp(-ago) || h.peerVerdict > 0 && part() < h.peerVerdict || h.peerVerdict >= 0 && b.outages.ShouldAvoid(h.zone, b.now, part()) {
		return true
	}
	if bad < 0.6 || h.peerVerdict < 0 {
		return false
	}
	n, all, normal := good+bad, b.successes.ValueAt(b.evidence)+priorSuccesses, part()+part()+part()+part()-2 // of variance 1/3
	return good/n+normal*math.Sqrt(3*good*bad/(n+1))/n < successRatioFloor*all/(all+b.failures.ValueAt(b.evidence)+priorFailures)
}

// Avoids tells whether a server would sooner be passed by than not, as it is doubted; it draws nothing.
func (b *Balancer) IsLikelyOutlier(s int) bool { return b.isOutlier(s, func() float64 { return 0.5 }) }

func (b *Balancer) isWarmingUp(now int64, s int) bool {
	return b.endpoints[s].startedAt > 0 && now < b.endpoints[s].startedAt+b.warmUp
}

// coldRoom is the budget of a cold server here: what warm ones answer this balancer, for their size, and the
// stated start and warm-up. Little is saved up, as all balancers may have a request for it at once.
func (b *Balancer) slowStartBudget(now int64, s int) float64 {
	h, toRate := &b.endpoints[s], b.pace*float64(second)/float64(timeConstant)
	part := b.startCapacity + (1-b.startCapacity)*max(0, float64(now-h.startedAt)/float64(b.warmUp))
	b.peakThroughput, b.peakAt = max(b.warmThroughput.ValueAt(b.evidence)*toRate, b.peakThroughput*math.Exp(-float64(now-b.peakAt)/float64(10*timeConstant))), now
	top, good := slowStartMargin*b.overloadMultiple, h.successes.ValueAt(b.evidence)*b.pace // What it settles proves that it can do more.
	part *= min(1, top) + max(0, top-1)*good/(good+provenHalfAt*(1+h.rejections.ValueAt(b.evidence)+h.failures.ValueAt(b.evidence)))
	share, comes := max(b.peakThroughput*h.weight, 0.5/b.fleetSize), b.arrivals.ValueAt(b.evidence)*toRate*h.weight/max(1, b.totalWeight)
	if b.peakThroughput == 0 { // No warm server has answered yet: there may be none.
		share = max(share, comes)
	}
	rate := share * part * b.processShare
	share = max(share, comes)
	saved := max(float64(b.tipAfter)/float64(4*second), slowStartBurst/share)
	h.slowStartTokens, h.slowStartAt = min(h.slowStartTokens+rate*float64(now-h.slowStartAt)/float64(second), rate*saved), now
	return h.slowStartTokens
}

// mayReach: the rules allow an attempt there. None that drains, no cold one pushed over, no effect twice.
func (b *Balancer) isEligible(now int64, r *request, s int) bool {
	w, to, cold := &b.classes[r.class], &b.endpoints[s], s != b.origin && b.isWarmingUp(now, s)
	if cold && to.slowStartAt < now && b.slowStartBudget(now, s) < 1 {
		to.slowStartTokens = math.Floor(to.slowStartTokens + b.random.float64()) // A part of one is let in by chance, and spent either way.
	}
	if !b.isListed(to) || cold && to.slowStartTokens < 1 {
		return false
	}
	for t := range r.attempts {
		was := &b.endpoints[r.attempts[t].endpoint]
		switch {
		case r.attempts[t].state == neverRan:
		case w.effect == NonIdempotent, r.attempts[t].state == inFlight && !b.mayHedge:
			return false
		case w.effect == Idempotent && (now-r.attempts[t].sentAt >= w.dedupWindow-max(w.dedupWindow/10, maxStall)-b.span("allowed.dialTimeout") ||
			w.dedupGroup == "zone" && was.zone != to.zone || w.dedupGroup == "cell" && was.cell != to.cell):
			return false
		}
	}
	return true
}

// maySend is the gate before Host.Send.
func (b *Balancer) canDispatch(now int64, r *request, s int) bool {
	return r.isOpen && (r.queue == nil || r.isDequeued) && now < r.deadline && len(r.attempts) < b.maxAttempts &&
		b.isEligible(now, r, s)
}

// mayReject is the gate before Host.Reject: trying again must do no harm.
func (b *Balancer) canReject(r *request) bool {
	w := &b.classes[r.class]
	return w.effect == Safe || w.effect == Idempotent && w.dedupGroup == "all" ||
		!slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.state != neverRan })
}

// finish gives a request that is given up on its final answer, at once.
func (b *Balancer) finish(now int64, i int, why Reason) {
	r := &b.requests[i]
	reject, comeBack := b.canReject(r), b.maxRetryAfter
	if comeBack > 0 { // While an answer still has value, and not all at once.
		part := (0.5 + b.random.float64()) * retryAfterShare
		comeBack = min(comeBack, int64(part*float64(b.classes[r.class].objective)))
	}
	b.closeRequest(now, i, -1)
	if reject {
		b.executor.Reject(i, why, comeBack)
	} else {
		b.executor.Fail(i, why)
	}
	b.leaveKeyQueue(now, i)
}

// drop forgets a request that has its final answer. Those that waited for its fetch go to the cache that
// holds the key now, or one of them to the origin.
func (b *Balancer) closeRequest(now int64, i, stored int) {
	r := &b.requests[i]
	r.isOpen = false
	last := b.openRequests[len(b.openRequests)-1]
	b.openRequests[r.openIndex], b.requests[last].openIndex = last, r.openIndex
	b.openRequests = b.openRequests[:len(b.openRequests)-1]
	for t := range r.attempts {
		if r.attempts[t].state == inFlight && b.mayCancel {
			b.executor.Cancel(i, t)
		}
	}
	if !r.isFetching {
		return
	}
	key := r.key
	delete(b.originFetches, key)
	for n := len(b.openRequests) - 1; n >= 0; n = min(n, len(b.openRequests)) - 1 {
		w := b.openRequests[n]
		if r := &b.requests[w]; !r.awaitsFetch || r.key != key {
			continue
		} else if r.awaitsFetch = false; stored >= 0 && b.canDispatch(now, r, stored) {
			r.missedAt = -1
			b.send(now, w, stored)
		} else {
			b.coalesceOriginFetch(now, w)
		}
	}
}

// fetch asks the origin for a read's key, or waits for the request that does already.
func (b *Balancer) coalesceOriginFetch(now int64, i int) {
	r := &b.requests[i]
	if leader, out := b.originFetches[r.key]; out && leader != i {
		r.awaitsFetch, r.timerAt = true, max(now, min(r.usefulUntil, r.answerBy)-answerMargin)
		b.executor.SetTimer(timerRequest+i, r.timerAt-now)
		return
	}
	b.originFetches[r.key], r.isFetching = i, true
	b.dispatch(now, i)
}

// wait holds a request for a reason; the hold doubles each time and ends while an answer still has value.
func (b *Balancer) backOff(now int64, i int, why Reason) {
	r := &b.requests[i]
	r.backoff = max(initialBackoff, 2*r.backoff)
	if now+r.backoff >= min(r.usefulUntil, r.answerBy) || len(r.attempts) >= b.maxAttempts {
		b.finish(now, i, why)
		return
	}
	r.timerAt = now + r.backoff
	b.executor.SetTimer(timerRequest+i, r.backoff)
}

// Started says that the answer of a streamed request has begun; it is the client's now and has no hard stop.
func (b *Balancer) HandleResponseStarted(now int64, i, t int) {
	r := &b.requests[i] // It gets no copy any more, and what still comes of it crowds no server.
	r.usefulUntil, r.deadline, r.timerAt, r.attempts[t].state = math.MaxInt64, math.MaxInt64, 0, completed
	b.addInFlight(r, r.attempts[t].endpoint, -1)
}

// Ended tells how an attempt ended. A request that has had its final answer may still have attempts that end.
func (b *Balancer) HandleAttemptEnded(now int64, i, t, s, note int, how Outcome, took int64, noMore bool) {
	b.advanceClocks(now)
	r := &b.requests[i]
	if r.attempts[t].state == inFlight {
		b.addInFlight(r, s, -1)
	}
	r.ended++
	switch how {
	case OK:
		r.attempts[t].state = completed
	case Rejected, ConnectFailed, NotSent, CacheMiss:
		r.attempts[t].state = neverRan
	default:
		r.attempts[t].state = mayHaveRun
	}
	if h := &b.endpoints[s]; how == ConnectFailed {
		b.count(&b.connectFailures)
		// Guards servers that broke attempts, take no connection and come back cold before the list tells; and the
		// others against what may have brought it on: more in flight than one bears.
		if h.breaks += min(1, h.breaks); h.breaks > restartConnectFailures {
			h.startedAt, h.slowStartTokens, h.slowStartAt = now, 0, 0
			if h.breaks == restartConnectFailures+1 && now > b.lastRestartAt+second/2 {
				b.overloadTolerance, b.lastRestartAt = max(minOverloadTolerance, b.overloadTolerance*0.7), now
			}
		}
		h.connectFailedAt = now
	} else if how == Reset {
		h.breaks = max(1, h.breaks)
	}
	b.recordOutcome(now, r, s, note, how, took)
	if how == CacheMiss && r.missedAt < 0 {
		r.missedAt = s
	}
	b.adjustKeyConcurrency(now, r, how, took)
	switch {
	case !r.isOpen:
	case noMore && how == OK:
		b.closeRequest(now, i, r.missedAt)
	case noMore:
		b.closeRequest(now, i, -1)
	case r.inFlight > 0 || r.usefulUntil == math.MaxInt64: // Another attempt may still answer, or does.
	case how == TimedOut || how == NotSent && b.deadlineDrift > 0, // The client has gone, whatever was told.
		now >= r.deadline || s == b.origin && how != Rejected && how != ConnectFailed,
		how == Errored && (r.isKeyThrottled() || b.readFailures.ValueAt(b.evidence) > missThreshold*b.reads.ValueAt(b.evidence)): // As the next.
		b.finish(now, i, AttemptFailed)
	case how == CacheMiss:
		b.coalesceOriginFetch(now, i)
	case s == b.origin, how == Rejected && r.candidateCount >= len(b.ready): // A short origin takes no more connections.
		b.backOff(now, i, EndpointsBusy)
	case how == Rejected:
		r.candidateCount *= expansionFactor
		b.dispatch(now, i)
	default:
		b.dispatch(now, i)
	}
	b.leaveKeyQueue(now, i)
}

// learn takes from an outcome what it tells about the server, the fleet and the origin.
func (b *Balancer) recordOutcome(now int64, r *request, s, note int, how Outcome, took int64) {
	h, w := &b.endpoints[s], &b.classes[r.class]
	well := how == OK || how == CacheMiss
	poor := !well || how == OK && float64(took) > lateRatio*float64(w.objective)
	if how == Cancelled && !r.isOpen || r.isKeyThrottled() {
		return // What holds its key up is no server's fault.
	}
	b.recordKeyFailure(now, r, s, how)
	silent := how == ConnectFailed || how == TimedOut // That tells of the server or its zone, not of load.
	if silent {
		b.outages.RecordFailure(h.zone, s, now)
	} else if how != Cancelled && how != NotSent && how != Reset && s != b.origin {
		b.outages.RecordResponse(h.zone, now)
	}
	if well {
		h.connectFailedAt, h.breaks, h.retryTokens = 0, 0, min(maxRetryTokens, h.retryTokens+retryTokensPerSuccess)
		b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerSuccess)
		b.count(&h.successes)
	} else if how != Rejected && how != NotSent {
		b.count(&h.failures) // Quick errors too: a server that fails fast never looks busy.
	}
	if poor && !silent {
		b.count(&b.late)
	} else if !poor {
		b.count(&b.timely)
	}
	b.quotas.RecordOutcomes(b.timely.ValueAt(b.evidence), b.late.ValueAt(b.evidence))
	switch {
	// Guards writes against reads that crowd a short origin: the reads' room gives way and comes back.
	case s == b.origin && !r.isWrite && how == OK && took < w.objective/2:
		b.originLimit += 1 / max(1, b.originLimit)
	case s == b.origin && !r.isWrite:
		b.originLimit = max(minOriginLimit, b.originLimit*0.8)
		b.count(&b.readMisses)
	case s == b.origin:
	case well:
		b.count(&b.successes)
		if h.isWarm {
			b.warmThroughput.Add(b.evidence, 1/max(1, b.warmWeight))
		}
	case how == Rejected:
		b.count(&h.rejections, &b.fleetwide.rejections, &b.machineTypes[h.machineType].rejections)
	case how != NotSent:
		b.count(&b.failures)
	}
	if s == b.origin || !well && how != Errored {
		return
	}
	if how == OK {
		b.count(&b.answered)
		b.answerTime.Add(b.evidence, float64(took))
		// The least mean of late: what attempts take while nothing is crowded.
		b.baseLatency = min(b.answerTime.ValueAt(b.evidence)/b.answered.ValueAt(b.evidence), b.baseLatency*baseLatencyGrowth)
		k := &b.recentKeys[r.key%maxRecentKeys]
		if k.key != r.key {
			*k = keyRecord{key: r.key}
		}
		k.endpoint = s
	}
	for _, k := range [2]*machineType{&b.fleetwide, &b.machineTypes[h.machineType]} {
		k.answers.Add(b.evidence, 1)
		k.answerTime.Add(b.evidence, float64(took))
	}
	if how == CacheMiss {
		b.count(&b.cacheMisses)
	}
	if !r.isWrite {
		b.count(&b.reads)
		if how != OK || note > 1 {
			b.count(&b.readMisses)
			if poor {
				b.count(&b.readFailures)
			}
		}
	}
}

// busy tells whether caches are, as far as they report: attempts that hang at dead ones crowd nobody.
func (b *Balancer) areEndpointsBusy() bool {
	return !b.reportsStrain || b.reporting == 0 || b.reportedStrain > idleStrain*b.reporting
}

// crowded tells by Little's law that a new attempt would wait too long at the rate of answers, misses left out.
// Guards against queues that make all answers late: once full they stay full of work that nobody wants.
func (b *Balancer) isOverloaded(now int64, r *request) bool {
	w := &b.classes[r.class]
	young := math.Exp(-float64(now-b.startedAt) / float64(timeConstant)) // Before it knows its rate: some for each server.
	hanging, silent := b.unresponsive()
	free := 1 + float64(len(b.ready)-silent)*(1+startupAttempts*young)/b.fleetSize
	seen := 1 - math.Exp(-float64(b.evidence+second/4)/float64(timeConstant))
	rate := (b.fleetwide.answers.ValueAt(b.evidence) - b.cacheMisses.ValueAt(b.evidence)) / seen / float64(timeConstant) * b.pace
	part := queueingShare
	if !r.isWrite && b.recentKeys[r.key%maxRecentKeys].key != r.key {
		// It would most likely miss: it goes first, but keys must stay known, or all would be turned away for good.
		part *= max(minUnknownKeyShare, 1-b.shed.ValueAt(b.evidence)/(b.arrivals.ValueAt(b.evidence)+1))
	}
	full := b.fleetwide.rejections.ValueAt(b.evidence) / (b.fleetwide.answers.Value + b.fleetwide.rejections.Value + 1)
	room := (1 - full) * b.overloadTolerance * (free + (1-full)*rate*(b.baseLatency+part*max(0, float64(w.objective)-b.baseLatency)))
	// The root is slack for chance: small counts vary most. Where nothing was sent for long, one tells how things are.
	return float64(b.inFlight-hanging) > room+math.Sqrt(room) && now < b.lastDispatchAt+w.objective
}

// hanging counts the servers of zones that seem lost, and others that do not answer while most do, and what is in
// flight there: that crowds nobody.
func (b *Balancer) unresponsive() (out, servers int) {
	unreachedOut, unreached := 0, 0
	for _, s := range b.ready {
		switch h := &b.endpoints[s]; {
		case b.outages.IsSuspected(h.zone):
			out, servers = out+h.inFlight, servers+1
		case h.connectFailedAt > 0:
			unreachedOut, unreached = unreachedOut+h.inFlight, unreached+1
		}
	}
	if unreached <= (len(b.ready)-servers)/2 {
		out, servers = out+unreachedOut, servers+unreached
	}
	return out, servers
}

// view is what is known of this balancer's part of all traffic; load reports tell more than it could see itself.
func (b *Balancer) trafficView() quota.Traffic {
	view := quota.Traffic{Now: b.evidence, WindowSeconds: float64(timeConstant) / b.pace / float64(second), EvenShare: 1 / b.fleetSize}
	if all := b.reportedRate / b.reporting * float64(len(b.ready)); all > 0 {
		view.TrafficShare = (b.successes.ValueAt(b.evidence) + math.Sqrt(b.successes.Value+1)) / (all * view.WindowSeconds)
	}
	return view
}

// Aborted says that the client has gone.
func (b *Balancer) HandleClientCancelled(now int64, i int) {
	if b.requests[i].isOpen {
		b.closeRequest(now, i, -1)
	}
	b.leaveKeyQueue(now, i)
}

// Expire gives a request its final answer now, whatever it waits for, as the process ends. One whose answer has begun goes on.
func (b *Balancer) ExpireRequest(now int64, i int) {
	b.advanceClocks(now)
	if r := &b.requests[i]; r.isOpen && r.usefulUntil != math.MaxInt64 {
		b.finish(now, i, DeadlineNear)
	}
}

// Woke says that a timer has come due.
func (b *Balancer) HandleTimer(now int64, tag int) {
	b.advanceClocks(now)
	switch {
	case tag == timerList:
		b.executor.WatchEndpoints()
	case tag-timerRequest < len(b.requests):
		if r := &b.requests[tag-timerRequest]; r.isOpen && r.queue != nil && !r.isDequeued {
			b.handleQueueTimer(now, tag-timerRequest)
		} else if r.isOpen && r.timerAt > 0 && r.timerAt <= now {
			if r.timerAt = 0; r.awaitsFetch { // The fetch did not come: its answer may not wait any longer.
				b.finish(now, tag-timerRequest, DeadlineNear)
				return
			}
			if r.inFlight == 0 {
				b.dispatch(now, tag-timerRequest)
			} else {
				b.hedge(now, tag-timerRequest)
			}
		}
	}
}

// hedge sends a second copy, paid from credit, for an attempt that is far overdue: few where the origin or the
// fleet may be slow, any from a zone that seems lost.
func (b *Balancer) hedge(now int64, i int) {
	r, asked := &b.requests[i], b.arrivals.ValueAt(b.evidence)
	silent := r.attempts[len(r.attempts)-1].endpoint
	overdue := &b.endpoints[silent]
	b.outages.RecordFailure(overdue.zone, silent, now)
	overdue.connectFailedAt = now
	lost := b.outages.IsSuspected(overdue.zone)
	if !lost {
		b.count(&b.overdue)
	}
	few := b.overdue.Value < maxOverdueRatio*asked && b.shed.ValueAt(b.evidence) < maxOverdueRatio/4*asked
	if !b.mayHedge || b.classes[r.class].effect == NonIdempotent || r.isKeyThrottled() || !few && !lost {
		return
	}
	if s := b.selectEndpoint(now, r); s >= 0 && now < r.usefulUntil && b.canDispatch(now, r, s) {
		overdue.failures.Add(b.evidence, 1)
		b.send(now, i, s)
	}
}

// Heard sets what others' word takes from a server's chance; under 0: it is this one's turn to try it.
func (b *Balancer) UpdatePeerVerdict(s int, part float64) { b.endpoints[s].peerVerdict = part }

// Reported takes a server's load report, its figures in the order of the settings; NaN for those that it lacks.
func (b *Balancer) HandleLoadReport(now int64, s int, load []float64) {
	h := &b.endpoints[s]
	if !b.isListed(h) || s == b.origin {
		return
	}
	if h.reportedRate < 0 {
		h.reportedRate = 0
		b.reporting++
	}
	b.reportedRate, b.reportedStrain = b.reportedRate-h.reportedRate, b.reportedStrain-h.reportedStrain
	for i, x := range load {
		switch what := b.reportFields[i]; {
		case math.IsNaN(x):
		case what == "served_ps":
			h.reportedRate = x
		case what == "cpu_share":
			h.reportedStrain = min(1, x)
		case what == "pending":
			h.reportedStrain = x / (x + 1)
		}
	}
	b.reportedRate, b.reportedStrain = b.reportedRate+h.reportedRate, b.reportedStrain+h.reportedStrain
}
