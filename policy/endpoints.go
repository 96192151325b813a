package policy

// The endpoint list: what discovery reports about each endpoint, and which endpoints it allows to be sent to. The
// entries of an update are passed one at a time between BeginEndpointUpdate and CommitEndpointUpdate. An endpoint keeps
// its index until RemoveEndpoint frees it.
//
// A failed call for the list is retried with exponential backoff and jitter. Without these, all balancers would call
// again at the same time and could keep discovery overloaded after the original failure is over. In the meantime,
// endpoints are judged by their answers.

const (
	// listBackoff is the base wait, in nanoseconds, before a failed call for the list is retried. It doubles with each
	// consecutive failure, at most maxListBackoffDoublings times. The longest wait, with jitter, is 3 s. That is
	// half of the 6 s after which a change counts as known to all balancers, so that one more call may fail.
	listBackoff             = second / 4
	maxListBackoffDoublings = 3

	// drainGraceDivisor limits the wait before a broken watch of a pushed list is restarted to drainGrace divided by
	// it: a pushed change counts as known whether the balancer received it or not.
	drainGraceDivisor = 8
)

// machineType holds statistics over the endpoints of one machine type, or over all endpoints. They stand in for an
// endpoint's own statistics while it has answered too few attempts.
type machineType struct {
	latency latencyRecord
	weight  float64 // the largest weight that a list has stated for an endpoint of this type
}

// endpointState is the state of one endpoint, grouped by the rule that uses it.
type endpointState struct {
	// The fields that ranking reads for every ready endpoint on every request come first, to share a cache line.
	hash      uint64 // of the address; 0: the index is free
	weight    float64
	evacuated evacuation

	health       Health
	machineType  int
	zone         int
	replicaGroup int
	inUpdate     bool // it has an entry in the update in progress
	hasDrained   bool // it has been draining, and not been ready since

	load      loadMeter
	attempts  sum
	rejected  sum
	outlier   outlierState
	restart   restartDetector
	slowStart slowStartState
	retries   retryBudget
	report    loadReport
}

// isKnown reports whether the index is in use.
func (e *endpointState) isKnown() bool { return e.hash != 0 }

// EndpointInfo is one entry of the endpoint list.
type EndpointInfo struct {
	Address      string
	Health       Health
	StartedAt    int64 // start time; 0: long ago
	MachineType  int   // -1: not stated
	Zone         int   // -1: not stated
	ReplicaGroup int
	Weight       float64 // 0: not stated
}

// BeginEndpointUpdate begins an update of the endpoint list. An update of kind UpdateFailed has no entries.
func (b *Balancer) BeginEndpointUpdate(kind UpdateKind) {
	b.updateKind = kind
	for index := range b.endpoints {
		b.endpoints[index].inUpdate = false
	}
	switch kind {
	case UpdateFailed:
		b.scheduleListRetry()
	case SavedList:
		// A saved list does not show whether discovery can be reached.
	default:
		b.listFailures = 0
	}
}

// scheduleListRetry sets the timer for the next call for the list after a failed one.
func (b *Balancer) scheduleListRetry() {
	b.listFailures = min(b.listFailures+1, maxListBackoffDoublings)
	wait := float64(listBackoff) * float64(int(1)<<b.listFailures)
	maxWait := float64(b.settings.pollInterval)
	if b.settings.isListPushed {
		maxWait = float64(b.settings.drainGrace) / drainGraceDivisor
	}
	if maxWait > 0 {
		wait = min(wait, maxWait)
	}
	b.executor.SetTimer(timerListRetry, int64(b.random.jitter()*wait))
}

// UpdateEndpoint applies one entry of an update. index is that of a known endpoint, a free index, or the next unused
// one.
func (b *Balancer) UpdateEndpoint(now int64, index int, info EndpointInfo) {
	if index == len(b.endpoints) {
		b.endpoints = append(b.endpoints, endpointState{})
	}
	endpoint := &b.endpoints[index]
	if !endpoint.isKnown() { // The index is new, or belonged to an endpoint that has been removed.
		*endpoint = endpointState{hash: hashAddress(info.Address), retries: retryBudget{tokens: 1}}
		endpoint.slowStart.updatedAt = now
		endpoint.report.servedRate = notReported
	}
	if endpoint.slowStart.recordListedStart(now, info.StartedAt, b.settings.startTimeError) {
		endpoint.report = loadReport{servedRate: notReported}
	}
	switch info.Health {
	case Draining:
		endpoint.hasDrained = true
	case Removed:
		// hasDrained keeps its value.
	default:
		endpoint.hasDrained = false
	}
	endpoint.health, endpoint.inUpdate = info.Health, true
	endpoint.machineType, endpoint.zone, endpoint.replicaGroup = info.MachineType+1, info.Zone, info.ReplicaGroup
	// Machine types of endpoints that are not ready need a record, too: an attempt may end at an endpoint whose type no
	// ready endpoint has had.
	for len(b.machineTypes) <= endpoint.machineType {
		b.machineTypes = append(b.machineTypes, machineType{})
	}
	endpoint.weight = b.stableWeight(endpoint.machineType, info.Weight)
}

// stableWeight returns the weight by which an endpoint is ranked. If stated weights follow load, as the settings can
// say, ranking by them would move keys between endpoints with each update; the largest weight seen for the machine type
// is used instead. An endpoint without a stated weight has weight 1.
func (b *Balancer) stableWeight(machineType int, stated float64) float64 {
	switch typeRecord := &b.machineTypes[machineType]; {
	case stated <= 0:
		return 1
	case b.settings.weightsFollowLoad:
		typeRecord.weight = max(typeRecord.weight, stated)
		return typeRecord.weight
	}
	return stated
}

// RemoveEndpoint frees the index of an endpoint that the list has removed. No attempt may be in flight there.
func (b *Balancer) RemoveEndpoint(index int) { b.endpoints[index] = endpointState{health: Removed} }

// CommitEndpointUpdate ends an update and makes the new list effective.
func (b *Balancer) CommitEndpointUpdate(now int64) {
	b.advanceClock(now)
	b.load.advanceAverage(b.clock.activityTime)
	b.ready, b.origin = b.ready[:0], noEndpoint
	b.load.inFlight, b.totalWeight, b.warmWeight = 0, 0, 0
	b.reports.reset()
	isFullList := b.updateKind == FullList || b.updateKind == SavedList
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if isFullList && !endpoint.inUpdate {
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

// addReady adds an endpoint to the ready caches and to the totals over them.
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

// isListed reports whether the list allows an endpoint to be sent to. With mayUseRemoved, absence from
// the list does not prove that an endpoint is down: one that was removed without having drained may still be sent to,
// and is judged by its answers.
func (b *Balancer) isListed(endpoint *endpointState) bool {
	if endpoint.health == Ready {
		return true
	}
	return b.settings.mayUseRemoved && endpoint.health == Removed && endpoint.isKnown() && !endpoint.hasDrained
}

// Parameters of the 64-bit FNV-1a hash (Fowler, Noll and Vo).
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashAddress returns the FNV-1a hash of an address.
func hashAddress(address string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(address) {
		hash = (hash ^ uint64(address[i])) * fnvPrime
	}
	return hash
}
