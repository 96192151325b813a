package siblings

import "math"

const (
	// initialConnectionsDivisor and initialMemoryDivisor set the part of the limits that a starting process gets: one
	// eighth of the connections, which is enough for the first clients that move over, and one quarter of the memory,
	// because the runtime maps memory before the process can publish a claim.
	initialConnectionsDivisor = 8
	initialMemoryDivisor      = 4

	// A draining process may open one more endpoint connection for every clientsPerDrainingConnection clients, plus
	// minDrainingConnections. Each client may send one more request, but few do so at the same time.
	clientsPerDrainingConnection = 4
	minDrainingConnections       = 8

	// minAttemptShare is the minimum share of the attempts for each process, so that a process that has not sent any
	// can start sending.
	minAttemptShare = 0.1
	// successorAttemptShare is the minimum share for a serving process while another one drains, because the clients of
	// the draining process, and thus their attempts, move over immediately.
	successorAttemptShare = 0.5
)

// initialNeed returns the amount of a resource that a starting process needs.
func initialNeed(total Resources, r resource) int64 {
	if r == memory {
		return total.MemoryBytes / initialMemoryDivisor
	}
	return total.get(r) / initialConnectionsDivisor
}

// drainingNeed returns the amount of a resource that a draining process still needs.
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

// stateTotals aggregates the states of all processes of a balancer.
type stateTotals struct {
	serving, starting int64     // number of processes
	drainingClaims    Resources // sum over draining processes
	servingUsage      Resources // sum over serving processes
}

func sumStates(own processState, others []processState) (totals stateTotals) {
	count := func(state processState) {
		switch state.Phase {
		case Serving:
			totals.serving++
			totals.servingUsage = totals.servingUsage.plus(state.Usage)
		case Starting:
			totals.starting++
		case Draining:
			totals.drainingClaims = totals.drainingClaims.plus(state.Claim)
		}
	}
	count(own)
	for _, other := range others {
		count(other)
	}
	return totals
}

// targetClaim returns the claim that a process should converge to. Each serving process gets what it uses plus an equal
// part of what no process uses. So no client has to be disconnected in favor of a process that has no clients yet, and
// the division follows the clients as they move over.
func targetClaim(total Resources, own processState, others []processState) Resources {
	totals := sumStates(own, others)
	target := forEachResource(func(r resource) int64 {
		available := max(0, total.get(r)-totals.drainingClaims.get(r))
		switch {
		case own.Phase == Draining:
			return drainingNeed(total, own.Usage, r)
		case own.Phase == Starting && totals.serving+totals.starting > 1:
			return min(available, initialNeed(total, r))
		case own.Phase == Starting:
			return available
		}
		forStarting := totals.starting * initialNeed(total, r)
		if r == memory { // Divided evenly, as memory usage changes slowly and shrinks to the allowance.
			return max(0, available-forStarting) / totals.serving
		}
		return own.Usage.get(r) + max(0, available-forStarting-totals.servingUsage.get(r))/totals.serving
	})
	if len(others) == 0 && own.Phase != Draining {
		// Leave memory for a process that may start later, because it maps its initial memory before it can publish a
		// claim.
		target.MemoryBytes -= initialNeed(total, memory)
	}
	return target
}

// nextClaim returns the next claim of a process. mayRaise says that no other process can raise its claim concurrently.
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

// allowance returns the amounts that a process may use now. They are below its claim while the claim is being lowered
// to its target.
func allowance(total Resources, own processState, others []processState) Resources {
	target := targetClaim(total, own, others)
	return forEachResource(func(r resource) int64 { return min(own.Claim.get(r), target.get(r)) })
}

// attemptShare returns the process's share of the attempts of all processes, from 0 to 1. It divides the limit on
// attempts to endpoints that are warming up. The shares may temporarily add up to more than 1, because each is at least
// minAttemptShare.
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

// isSnapshotWriter reports whether this process writes the snapshot of learned state: the oldest serving process does,
// or draining processes if no others are left. With two writers, each would overwrite the other's learned state.
func isSnapshotWriter(own processState, others []processState) bool {
	for _, other := range others {
		isOlder := own.Phase == Serving && other.Phase == Serving && other.StartedAt < own.StartedAt
		isReplaced := own.Phase == Draining && other.Phase != Draining
		if isOlder || isReplaced {
			return false
		}
	}
	return own.Phase != Starting
}
