package policy

// The endpoint list: what discovery tells of each endpoint, and which endpoints may be sent to by it. An update is told
// entry by entry between BeginEndpointUpdate and CommitEndpointUpdate; an endpoint keeps its index for as long as it is
// known.
//
// A call for the list that fails is repeated after a wait that doubles and is spread by chance (exponential backoff
// with jitter). This guards discovery against all balancers that call again at once, which shows as failures that go on
// after their cause has gone. Meanwhile endpoints are judged by their answers.

const (
	// listBackoff is the wait after failed calls for the list, in nanoseconds: it doubles with each, maxListDoublings
	// times at most. That comes to 3 s with jitter, half of the time after which a change counts as told, so that one
	// more call may fail.
	listBackoff      = second / 4
	maxListDoublings = 3

	// pushedDrainPart: a pushed list is called for within one in so many parts of the grace of a drain, as what is
	// pushed counts as told whether it is heard or not.
	pushedDrainPart = 8
)

// machineType is what endpoints of one type, or all, have answered. An endpoint is taken for one of its type until its
// own answers tell otherwise.
type machineType struct {
	latency latencyRecord
	weight  float64 // the largest that a list has stated for one of them
}

// endpointState is what is known of one endpoint, by the rule that owns it.
type endpointState struct {
	// What ranking reads of each ready endpoint for each request stands first, in one cache line.
	hash      uint64 // of its address; 0: its place is free
	weight    float64
	evacuated evacuation

	health       Health
	machineType  int
	zone         int
	replicaGroup int
	isListed     bool // it has an entry in the update that is being told
	hasDrained   bool // and has not been ready since

	load      loadMeter
	attempts  sum
	rejected  sum
	outlier   outlierState
	restart   restartDetector
	slowStart slowStartState
	retries   retryBudget
	report    loadReport
}

// isKnown tells whether the place is an endpoint's.
func (e *endpointState) isKnown() bool { return e.hash != 0 }

// EndpointInfo is one entry of the list.
type EndpointInfo struct {
	Address      string
	Health       Health
	StartedAt    int64 // 0: long ago
	MachineType  int   // -1: not stated
	Zone         int   // -1: not stated
	ReplicaGroup int
	Weight       float64 // 0: not stated
}

// BeginEndpointUpdate begins an update. After one that failed no entries follow.
func (b *Balancer) BeginEndpointUpdate(kind UpdateKind) {
	b.updateKind = kind
	for index := range b.endpoints {
		b.endpoints[index].isListed = false
	}
	switch kind {
	case UpdateFailed:
		b.scheduleListCall()
	case SavedList:
		// It tells nothing of discovery.
	default:
		b.listFailures = 0
	}
}

// scheduleListCall sets the timer for the next call for the list after one that failed.
func (b *Balancer) scheduleListCall() {
	b.listFailures = min(b.listFailures+1, maxListDoublings)
	wait := float64(listBackoff) * float64(int(1)<<b.listFailures)
	longest := float64(b.settings.pollInterval)
	if b.settings.isListPushed {
		longest = float64(b.settings.drainGrace) / pushedDrainPart
	}
	if longest > 0 {
		wait = min(wait, longest)
	}
	b.executor.SetTimer(timerList, int64(b.random.jitter()*wait))
}

// UpdateEndpoint takes one entry of an update. index is that of a known endpoint, a free one, or the next.
func (b *Balancer) UpdateEndpoint(now int64, index int, info EndpointInfo) {
	if index == len(b.endpoints) {
		b.endpoints = append(b.endpoints, endpointState{})
	}
	endpoint := &b.endpoints[index]
	if !endpoint.isKnown() { // Its index is new, or was another's.
		*endpoint = endpointState{hash: hashAddress(info.Address), retries: retryBudget{tokens: 1}}
		endpoint.slowStart.updatedAt = now
		endpoint.report.servedRate = notReported
	}
	if endpoint.slowStart.restarted(now, info.StartedAt, b.settings.bootStampError) {
		endpoint.report = loadReport{servedRate: notReported}
	}
	switch info.Health {
	case Draining:
		endpoint.hasDrained = true
	case Removed:
		// It has drained if it had before.
	default:
		endpoint.hasDrained = false
	}
	endpoint.health, endpoint.isListed = info.Health, true
	endpoint.machineType, endpoint.zone, endpoint.replicaGroup = info.MachineType+1, info.Zone, info.ReplicaGroup
	// Types of endpoints that are not ready count, too: an attempt may end at an endpoint of a type that was never
	// ready.
	for len(b.machineTypes) <= endpoint.machineType {
		b.machineTypes = append(b.machineTypes, machineType{})
	}
	endpoint.weight = b.stableWeight(endpoint.machineType, info.Weight)
}

// stableWeight returns the weight that an endpoint is ranked by. Stated weights that move with load would take keys
// from one endpoint to another with each list; where the settings say that they do, the largest that any endpoint of
// the machine type has had counts. Where none is stated all endpoints count the same.
func (b *Balancer) stableWeight(machineType int, stated float64) float64 {
	switch known := &b.machineTypes[machineType]; {
	case stated <= 0:
		return 1
	case b.settings.weightsFollowLoad:
		known.weight = max(known.weight, stated)
		return known.weight
	}
	return stated
}

// RemoveEndpoint frees the index of an endpoint that the list has removed. No request may have an attempt there any
// more.
func (b *Balancer) RemoveEndpoint(index int) { b.endpoints[index] = endpointState{health: Removed} }

// CommitEndpointUpdate ends an update: from now on the list is as told.
func (b *Balancer) CommitEndpointUpdate(now int64) {
	b.advanceClock(now)
	b.load.settle(b.clock.evidence)
	b.ready, b.origin = b.ready[:0], noEndpoint
	b.load.inFlight, b.totalWeight, b.warmWeight = 0, 0, 0
	b.reports.reset()
	isWhole := b.updateKind == FullList || b.updateKind == SavedList
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if isWhole && !endpoint.isListed {
			endpoint.health = Removed
		}
		if !b.isListed(endpoint) {
			continue
		}
		if b.settings.cacheAside && endpoint.machineType == b.settings.originMachineType+1 {
			b.origin = index
			continue
		}
		b.addReady(now, index)
	}
	b.candidates = append(b.candidates, make([]candidate, max(0, len(b.ready)-len(b.candidates)))...)
}

// addReady counts an endpoint among those that may be sent to.
func (b *Balancer) addReady(now int64, index int) {
	endpoint := &b.endpoints[index]
	b.ready = append(b.ready, index)
	endpoint.slowStart.isWarm = !b.isWarmingUp(now, index)
	if endpoint.slowStart.isWarm {
		b.warmWeight += endpoint.weight
	}
	b.load.inFlight += endpoint.load.inFlight
	b.totalWeight += endpoint.weight
	b.reports.add(endpoint.report)
}

// isListed tells whether the list lets an endpoint be sent to. Where only draining binds, the list does not prove what
// is up: an endpoint that is removed without having drained may still be sent to, and its answers decide.
func (b *Balancer) isListed(endpoint *endpointState) bool {
	if endpoint.health == Ready {
		return true
	}
	return b.settings.onlyDrainingBinds && endpoint.health == Removed && endpoint.isKnown() && !endpoint.hasDrained
}

// The parameters of FNV-1a with 64 bits (Fowler, Noll and Vo).
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashAddress is FNV-1a of an address.
func hashAddress(address string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(address) {
		hash = (hash ^ uint64(address[i])) * fnvPrime
	}
	return hash
}
