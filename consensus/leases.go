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
	// maxWaitingRequests and maxLeaseHolders bound the leader's memory. Over an upgrade there are two processes of
	// each member.
	maxWaitingRequests = 2 * fleetconfig.MaxMembers
	maxLeaseHolders    = 2 * fleetconfig.MaxMembers
	// expiredLeaseRetention is how long a lease that is over is kept: its holder, when it asks again, is not sent
	// again what it has.
	expiredLeaseRetention = int64(time.Minute)
)

// holderID is one incarnation of a process: one that came back under the same name, or the second over an upgrade, is
// another.
type holderID = budgets.Holder

// leaseTable is the leader's side of leases: who asked, who was granted one, and the round in which a majority
// confirms that this replica still leads (raft's read index).
type leaseTable struct {
	waiting      []waitingRequest
	requestCount uint64 // requests ever: it numbers them over all terms
	confirming   uint64 // requests up to this number are being confirmed; 0: no round is under way
	confirmingAt int64
	granted      map[holderID]*grantedLease
	ledger       *budgets.Ledger // nil where budgets are not divided
}

// waitingRequest is a lease request that no majority has confirmed yet.
type waitingRequest struct {
	from    string
	request LeaseRequest
	at      int64
	number  uint64
}

// grantedLease is what a holder is known to know, and when its last lease is over by any clock.
type grantedLease struct {
	knownRevision uint64
	sentRevision  uint64 // the last that it was sent, which may have been lost
	acceptsDeltas bool
	expiresAt     int64 // on this clock, with the stated error of both clocks' rates
}

// ActiveLeases is how many processes are under a lease of this replica.
func (r *Replica) ActiveLeases(now int64) (n int) {
	for _, lease := range r.leader.leases.granted {
		if lease.expiresAt > now {
			n++
		}
	}
	return n
}

// handleLeaseRequest takes a request for a lease. A follower answers who leads; the leader has a majority confirm
// that it leads before it grants. Without that, a leader that was cut off could go on granting leases while another
// moves on.
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

// confirmLeadership asks a majority whether this replica still leads, once for all requests so far. A round without
// an answer is repeated after a heartbeat.
func (r *Replica) confirmLeadership(now int64) {
	leases := &r.leader.leases
	if len(leases.waiting) == 0 || leases.confirming != 0 && now-leases.confirmingAt < r.heartbeatInterval() {
		return
	}
	leases.confirming, leases.confirmingAt = leases.requestCount, now
	r.node.ReadIndex(strconv.AppendUint(nil, leases.requestCount, 10))
}

// requestNumber is the number that confirmLeadership gave to raft.
func requestNumber(context []byte) uint64 {
	number, err := strconv.ParseUint(string(context), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// grantConfirmedLeases grants all requests up to a number: after they came, a majority confirmed this leader, with
// all that was committed up to this log index. Where that is not applied yet, the requests wait for the next round.
func (r *Replica) grantConfirmedLeases(now int64, upTo, index uint64) {
	if !r.IsLeader() || r.log.applied < index {
		return
	}
	leases := &r.leader.leases
	if upTo >= leases.confirming {
		leases.confirming = 0
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

// grantLease answers a confirmed request with a lease, the revisions that its holder lacks, and its share of the
// budgets.
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

// leaseResponse has the active revisions after a known one; as deltas, where the holder takes these. With seq 0 it is
// news and no lease.
func (r *Replica) leaseResponse(seq, known uint64, acceptsDeltas bool) *LeaseResponse {
	response := &LeaseResponse{Seq: seq, Leader: r.Name, MinRevision: r.state.MinRevision, HistoryID: r.state.HistoryID}
	active := r.state.active()
	if known < r.state.MinRevision {
		known = 0 // What it knows is no base for a delta any more.
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

// dropOverdueRequests forgets requests whose leases, which count from the request, would be over by now.
func (r *Replica) dropOverdueRequests(now int64) {
	leases := &r.leader.leases
	leases.waiting = slices.DeleteFunc(leases.waiting, func(w waitingRequest) bool {
		return now-w.at > int64(r.timing.LeaseDuration)
	})
}

// advanceMinRevision proposes the latest revision as the lowest that a lease can be under, once no process is under a
// lease that was granted without it: neither one of this leader's nor, for as long as these can last, one of an
// earlier leader's. From then on what the latest revision loosens is in force. Without the wait, a process that has
// not heard of a tightening yet would meet one that acts on the loosening after it.
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

// allHoldersKnow tells whether no lease is left under a revision before this one. It forgets leases that were over
// long ago.
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

// notifyHolders sends the latest revisions to all that were granted a lease: what is strict is in force as soon as it
// is heard. What is lost on the way comes with the next lease.
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
