package consensus

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"hollylever/budgets"
	"hollylever/fleetconfig"
)

const (
	// maxWaitingRequests and maxLeaseHolders bound the leader's memory. During an upgrade each member has two
	// processes.
	maxWaitingRequests = 2 * fleetconfig.MaxMembers
	maxLeaseHolders    = 2 * fleetconfig.MaxMembers
	// expiredLeaseRetention is the minimum time for which the record of an expired lease is kept. Until it is deleted,
	// its holder is still sent new revisions, without those that it has (notifyHolders).
	expiredLeaseRetention = int64(time.Minute)
)

// holderID identifies one incarnation of a process. A process that restarted under the same name, or the second
// process of a member during an upgrade, has a different ID.
type holderID = budgets.Holder

// leaseTable is the granter's state: the waiting lease requests, the granted leases, and the current read index round
// of raft, in which a majority confirms that this replica is still the leader.
type leaseTable struct {
	waiting         []waitingRequest
	requestCount    uint64 // requests over all terms; gives each request its number
	confirmingUpTo  uint64 // the number of the last request in the current round; 0: no round is in progress
	confirmingSince int64  // when the current round started
	granted         map[holderID]*grantedLease
	ledger          *budgets.Ledger // nil if budgets are not divided
}

// waitingRequest is a lease request that waits for a majority to confirm the leader.
type waitingRequest struct {
	from       string
	request    LeaseRequest
	receivedAt int64
	number     uint64
}

// grantedLease is the leader's record of a lease holder: the revisions it has, and when its last lease has expired on
// every clock.
type grantedLease struct {
	knownRevision uint64
	sentRevision  uint64 // the last revision sent to the holder; the message may have been lost
	acceptsDeltas bool
	expiresAt     int64 // on this replica's clock, including ClockRateError of both clocks
}

// ActiveLeases returns the number of processes that hold an unexpired lease of this replica.
func (r *Replica) ActiveLeases(now int64) (n int) {
	for _, lease := range r.leader.leases.granted {
		if lease.expiresAt > now {
			n++
		}
	}
	return n
}

// handleLeaseRequest queues a request until a majority has confirmed that this leader still leads; otherwise, a
// partitioned leader could keep granting leases while a new leader commits further revisions. Requests beyond
// maxWaitingRequests are dropped without a response. A follower responds with the name of the leader, if it knows it.
func (r *Replica) handleLeaseRequest(now int64, from string, request LeaseRequest) {
	if !r.IsLeader() {
		if leader := r.knownLeader(); leader != "" {
			r.sender.Send(from, &Message{From: r.Name, LeaseResponse: &LeaseResponse{Leader: leader}})
		}
		return
	}
	leases := &r.leader.leases
	if len(leases.waiting) < maxWaitingRequests {
		leases.requestCount++
		leases.waiting = append(leases.waiting, waitingRequest{from, request, now, leases.requestCount})
	}
	r.confirmLeadership(now)
}

// confirmLeadership starts a round in which a majority confirms that this replica still leads. One round covers all
// requests received so far. A round that has not completed is repeated after a heartbeat interval.
func (r *Replica) confirmLeadership(now int64) {
	leases := &r.leader.leases
	if len(leases.waiting) == 0 || leases.confirmingUpTo != 0 && now-leases.confirmingSince < r.heartbeatInterval() {
		return
	}
	leases.confirmingUpTo, leases.confirmingSince = leases.requestCount, now
	r.node.ReadIndex(strconv.AppendUint(nil, leases.requestCount, 10))
}

// decodeRequestNumber decodes the request number that confirmLeadership passed to raft as the context of the round. It
// returns 0 for any other context.
func decodeRequestNumber(context []byte) uint64 {
	number, err := strconv.ParseUint(string(context), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// grantConfirmedLeases grants the requests numbered up to upTo: after they arrived, a majority confirmed this leader at
// the given commit index. If the log is not applied up to that index yet, the requests wait for the next round.
func (r *Replica) grantConfirmedLeases(now int64, upTo, index uint64) {
	if !r.IsLeader() || r.log.applied < index {
		return
	}
	leases := &r.leader.leases
	if upTo >= leases.confirmingUpTo {
		leases.confirmingUpTo = 0
	}
	unconfirmed := leases.waiting[:0]
	for _, w := range leases.waiting {
		if w.number > upTo {
			unconfirmed = append(unconfirmed, w)
			continue
		}
		r.grantLease(now, w)
	}
	leases.waiting = unconfirmed
}

// grantLease responds to a confirmed request with a lease, the revisions that the holder lacks, and its budget share.
// While maxLeaseHolders are recorded, a request of another holder is dropped without a response.
func (r *Replica) grantLease(now int64, w waitingRequest) {
	leases := &r.leader.leases
	id := holderID{Name: w.from, Incarnation: w.request.Incarnation}
	lease := leases.granted[id]
	if lease == nil {
		if len(leases.granted) >= maxLeaseHolders {
			return
		}
		lease = &grantedLease{}
		leases.granted[id] = lease
	}
	lease.knownRevision = max(lease.knownRevision, w.request.KnownRevision)
	lease.acceptsDeltas = w.request.AcceptsDeltas
	lease.expiresAt = now + int64(r.timing.GranterTimeout())
	response := r.leaseResponse(w.request.Seq, w.request.KnownRevision, lease.acceptsDeltas)
	lease.sentRevision = r.state.latest().Number
	if leases.ledger != nil {
		response.BudgetShare = leases.ledger.Grant(now, id, budgets.ShareRequest{
			Seq:         w.request.Seq,
			GrantSeq:    w.request.ShareSeq,
			RequestRate: w.request.RequestRate,
		})
	}
	r.sender.Send(w.from, &Message{From: r.Name, LeaseResponse: response})
}

// leaseResponse builds a response with the active revisions (from the min revision to the latest) after a known one, as
// deltas if the holder accepts them. With seq 0 the response announces revisions and grants no lease.
func (r *Replica) leaseResponse(seq, known uint64, acceptsDeltas bool) *LeaseResponse {
	response := &LeaseResponse{Seq: seq, Leader: r.Name, MinRevision: r.state.MinRevision, HistoryID: r.state.HistoryID}
	active := r.state.active()
	if known < r.state.MinRevision {
		known = 0 // The known revision is no longer active, so no delta can be based on it.
	}
	firstMissing := 0
	for firstMissing < len(active) && active[firstMissing].Number <= known {
		firstMissing++
	}
	switch {
	case firstMissing == len(active):
	case !acceptsDeltas:
		response.Revisions = active[firstMissing:]
	case firstMissing == 0:
		response.Revisions, response.Deltas = active[:1], deltasOf(active[0], active[1:])
	default:
		base := active[firstMissing-1]
		response.BaseRevision, response.Deltas = base.Number, deltasOf(base, active[firstMissing:])
	}
	return response
}

// dropOverdueRequests drops waiting requests that are older than a lease lasts: as a lease counts from its request, it
// would already have expired.
func (r *Replica) dropOverdueRequests(now int64) {
	leases := &r.leader.leases
	leases.waiting = slices.DeleteFunc(leases.waiting, func(w waitingRequest) bool {
		return now-w.receivedAt > int64(r.timing.LeaseDuration)
	})
}

// advanceMinRevision proposes the latest revision as the min revision once every holder of an unexpired lease of this
// leader has reported that it knows it, and the leases of earlier leaders have expired. From then on, what the latest
// revision loosens is in force. Without the wait, one process could already use a loosened limit while another still
// acts on an older revision, which lacks the tightenings since.
func (r *Replica) advanceMinRevision(now int64) {
	latest := r.state.latest().Number
	if r.state.MinRevision >= latest || r.leader.proposedMinRevision >= latest {
		return
	}
	if now-r.leader.since < int64(r.timing.GranterTimeout()) {
		return
	}
	if r.allHoldersKnow(now, latest) && r.proposeCommand(command{MinRevision: latest}) {
		r.leader.proposedMinRevision = latest
	}
}

// allHoldersKnow reports whether every holder of an unexpired lease knows the given revision. It also deletes leases
// that expired more than expiredLeaseRetention ago.
func (r *Replica) allHoldersKnow(now int64, revision uint64) bool {
	all := true
	for id, lease := range r.leader.leases.granted {
		all = all && (lease.knownRevision >= revision || now >= lease.expiresAt)
		if now > lease.expiresAt+expiredLeaseRetention {
			delete(r.leader.leases.granted, id)
		}
	}
	return all
}

// notifyHolders sends the latest revisions to all recorded holders, so that tightenings take effect as soon as they
// arrive. Revisions in a lost notification are sent again with the next lease.
func (r *Replica) notifyHolders() {
	ids := slices.SortedFunc(maps.Keys(r.leader.leases.granted), func(a, b holderID) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, id := range ids {
		lease := r.leader.leases.granted[id]
		known := lease.knownRevision
		if lease.acceptsDeltas {
			known = max(known, lease.sentRevision)
		}
		r.sender.Send(id.Name, &Message{From: r.Name, LeaseResponse: r.leaseResponse(0, known, lease.acceptsDeltas)})
		lease.sentRevision = r.state.latest().Number
	}
}
