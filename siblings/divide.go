package siblings

import "math"

const (
	// initialConnectionsDivisor and initialMemoryDivisor are which part of the limits a process gets to start with: an
	// eighth of the connections, enough to serve the first clients that move over, and a quarter of the memory, as the
	// runtime maps some before the process can publish a claim.
	initialConnectionsDivisor = 8
	initialMemoryDivisor      = 4

	// A process that drains may open a connection to a cache host for every clientsPerDrainingConnection clients, and
	// minDrainingConnections more: each client may send one more request, but few do at the same time.
	clientsPerDrainingConnection = 4
	minDrainingConnections       = 8

	// minAttemptShare is the least part of the attempts that a process counts as its own, so that one that has sent
	// none can begin.
	minAttemptShare = 0.1
	// successorAttemptShare is that beside a process that drains: its clients move over at once, and their attempts
	// with them.
	successorAttemptShare = 0.5
)

// initialNeed returns what a process needs of a resource when it starts.
func initialNeed(total Resources, r resource) int64 {
	if r == memory {
		return total.MemoryBytes / initialMemoryDivisor
	}
	return total.get(r) / initialConnectionsDivisor
}

// drainingNeed returns what a process that drains still needs of a resource.
func drainingNeed(total, usage Resources, r resource) int64 {
	switch r {
	case clientConnections:
		return usage.ClientConnections
	case endpointConnections:
		return usage.EndpointConnections + usage.ClientConnections/clientsPerDrainingConnection + minDrainingConnections
	default:
		return max(usage.MemoryBytes, initialNeed(total, memory))
	}
}

// census is what the states of all processes add up to.
type census struct {
	serving, starting int64     // processes
	drainingClaims    Resources // of the processes that drain
	servingUsage      Resources // of the processes that serve
}

func takeCensus(own processState, others []processState) (all census) {
	count := func(state processState) {
		switch state.Phase {
		case Serving:
			all.serving++
			all.servingUsage = all.servingUsage.plus(state.Usage)
		case Starting:
			all.starting++
		case Draining:
			all.drainingClaims = all.drainingClaims.plus(state.Claim)
		}
	}
	count(own)
	for _, other := range others {
		count(other)
	}
	return all
}

// targetClaim returns what a process should come to claim. Processes that serve have what they use and divide evenly
// what nobody uses: so no client is asked to go for a process that has none yet, and the division follows the clients
// as they move over.
func targetClaim(total Resources, own processState, others []processState) Resources {
	all := takeCensus(own, others)
	target := forEachResource(func(r resource) int64 {
		available := max(0, total.get(r)-all.drainingClaims.get(r))
		switch {
		case own.Phase == Draining:
			return drainingNeed(total, own.Usage, r)
		case own.Phase == Starting && all.serving+all.starting > 1:
			return min(available, initialNeed(total, r))
		case own.Phase == Starting:
			return available
		}
		forStarting := all.starting * initialNeed(total, r)
		if r == memory { // Its usage changes slowly, and comes down to what is allowed: it is divided evenly.
			return max(0, available-forStarting) / all.serving
		}
		return own.Usage.get(r) + max(0, available-forStarting-all.servingUsage.get(r))/all.serving
	})
	if len(others) == 0 && own.Phase != Draining {
		// Guards against a new process that starts while this one holds all memory: it maps its first part before it
		// can claim it.
		target.MemoryBytes -= initialNeed(total, memory)
	}
	return target
}

// nextClaim returns what a process claims next. mayRaise: no other process raises a claim at this time.
func nextClaim(total Resources, own processState, others []processState, mayRaise bool) Resources {
	target := targetClaim(total, own, others)
	return forEachResource(func(r resource) int64 {
		claim, wanted := own.Claim.get(r), target.get(r)
		if wanted <= claim {
			return min(claim, max(wanted, own.Usage.get(r)))
		}
		if !mayRaise {
			return claim
		}
		unclaimed := total.get(r)
		for _, other := range others {
			unclaimed -= other.Claim.get(r)
		}
		return max(claim, min(wanted, unclaimed))
	})
}

// allowance returns what a process may come to use now: less than it claims while it comes down to its target.
func allowance(total Resources, own processState, others []processState) Resources {
	target := targetClaim(total, own, others)
	return forEachResource(func(r resource) int64 { return min(own.Claim.get(r), target.get(r)) })
}

// attemptShare returns the process's part of the attempts that all processes send, from 0 to 1. What all processes
// together may send to cold servers is divided by it. The parts may add up to more than 1 for a moment, as each is at
// least minAttemptShare.
func attemptShare(own processState, others []processState) float64 {
	if len(others) == 0 {
		return 1
	}
	attempts, minShare := own.Attempts, minAttemptShare
	for _, other := range others {
		attempts += other.Attempts
		if own.Phase == Serving && other.Phase == Draining {
			minShare = successorAttemptShare
		}
	}
	if !(attempts > 0) || math.IsInf(attempts, 0) {
		return 1 / float64(1+len(others))
	}
	return max(minShare, own.Attempts/attempts)
}

// isSnapshotWriter tells whether this process is the one that writes the snapshot of what was learned: the one that has
// served longest, or the last one that drains. Two writers would take turns to replace what the other has learned.
func isSnapshotWriter(own processState, others []processState) bool {
	for _, other := range others {
		isOlder := own.Phase == Serving && other.Phase == Serving && other.StartedAt < own.StartedAt
		isStaying := own.Phase == Draining && other.Phase != Draining
		if isOlder || isStaying {
			return false
		}
	}
	return own.Phase != Starting
}
