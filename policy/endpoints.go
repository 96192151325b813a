package policy

// The endpoint list: what discovery tells of each endpoint, and which endpoints may be sent to by it. An update is told entry by entry between
// BeginEndpointUpdate and CommitEndpointUpdate; an entry keeps its index for as long as it is known.

const (
	// maxListBackoff bounds the wait after failed calls for the list: half of the time after which changes count as told, so that one more call may fail.
	// The wait doubles from listBackoff, at most maxListDoublings times.
	listBackoff      = second / 4
	maxListDoublings = 3

	// pushedDrainPart is the part of the drains' grace in which a pushed list is looked for: what is pushed counts as told once it can be heard.
	pushedDrainPart = 8
)

// machineType is what endpoints of one type, or of all, have answered. An endpoint is taken for one of its type until its own answers tell otherwise.
type machineType struct {
	latency latencyRecord
	weight  float64 // the largest that a list stated of one of them
}

// endpointState is what is known of one endpoint, by the rule that owns it.
type endpointState struct {
	hash         uint64 // of its address; 0: its place is free
	health       Health
	machineType  int
	zone         int
	replicaGroup int
	weight       float64
	isListed     bool // by the update that is being told
	hasDrained   bool // and has not been ready since

	load      loadMeter
	attempts  sum
	rejected  sum
	outlier   outlierState
	restart   restartDetector
	slowStart slowStartState
	retries   retryBudget
	report    loadReport
	evacuated evacuation
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
	default:
		b.listFailures = 0
	}
}

// scheduleListCall guards discovery against all balancers that call it at once after a failure: the wait grows, is spread by chance, and stays near
// the time after which changes count as told.
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
	b.executor.SetTimer(timerList, int64((0.5+b.random.float64())*wait))
}

// UpdateEndpoint takes one entry. index is the endpoint's place: a known one, or the next.
func (b *Balancer) UpdateEndpoint(now int64, index int, info EndpointInfo) {
	if index == len(b.endpoints) {
		b.endpoints = append(b.endpoints, endpointState{})
	}
	endpoint := &b.endpoints[index]
	if !endpoint.isKnown() { // Its place is new, or was another's.
		*endpoint = endpointState{hash: hashAddress(info.Address), retries: retryBudget{tokens: 1}}
		endpoint.slowStart.updatedAt = now
		endpoint.report.servedRate = notReported
	}
	if endpoint.slowStart.restarted(now, info.StartedAt, b.settings.bootStampError) {
		endpoint.report = loadReport{servedRate: notReported}
	}
	endpoint.hasDrained = info.Health == Draining || endpoint.hasDrained && info.Health == Removed
	endpoint.health, endpoint.isListed = info.Health, true
	endpoint.machineType, endpoint.zone, endpoint.replicaGroup = info.MachineType+1, info.Zone, info.ReplicaGroup
	// Also of endpoints that are not ready: an attempt may end at one never called ready.
	for len(b.machineTypes) <= endpoint.machineType {
		b.machineTypes = append(b.machineTypes, machineType{})
	}
	endpoint.weight = b.stableWeight(endpoint.machineType, info.Weight)
}

// stableWeight guards keys against stated weights that move with load, as each move takes keys from one endpoint to another: what stays is
// the largest that any endpoint of the machine type had. Without a stated weight all count the same.
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

// RemoveEndpoint frees the place of an endpoint that is gone, once no request has an attempt there.
func (b *Balancer) RemoveEndpoint(index int) { b.endpoints[index] = endpointState{health: Removed} }

// CommitEndpointUpdate ends an update: from now on the list is as told.
func (b *Balancer) CommitEndpointUpdate(now int64) {
	b.advanceClock(now)
	b.load.settle(b.clock.evidence)
	b.ready, b.load.inFlight, b.origin, b.totalWeight, b.warmWeight = b.ready[:0], 0, noEndpoint, 0, 0
	b.reports.reset()
	isWhole := b.updateKind == FullList || b.updateKind == SavedList
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if isWhole && !endpoint.isListed {
			endpoint.health = Removed
		}
		switch {
		case !b.isListed(endpoint):
		case b.settings.cacheAside && endpoint.machineType == b.settings.originMachineType+1:
			b.origin = index
		default:
			b.addReady(now, index)
		}
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

// isListed tells whether the list lets an endpoint be sent to. Where only draining binds, the list does not prove what is up: one that is gone
// without having drained stays, and its answers decide.
func (b *Balancer) isListed(endpoint *endpointState) bool {
	if endpoint.health == Ready {
		return true
	}
	return b.settings.onlyDrainingBinds && endpoint.health == Removed && endpoint.isKnown() && !endpoint.hasDrained
}

// hashAddress is FNV-1a of 64 bits.
func hashAddress(address string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(address) {
		hash = (hash ^ uint64(address[i])) * 1099511628211
	}
	return hash
}
