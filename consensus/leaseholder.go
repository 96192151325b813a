package consensus

import (
	"errors"
	"slices"
	"time"

	"hollylever/budgets"
)

const (
	// requestsPerLease is how often an answered holder asks within a lease: two requests in a row may be lost before
	// the lease expires.
	requestsPerLease = 3
	// retriesPerLease is how often a holder without an answer asks at most; a random wait of up to as much again is
	// added each time. That is soon enough to find another leader before the lease expires, and spreads the requests
	// of all holders when a leader dies.
	retriesPerLease = 16
	// rememberedRequests is how many of the last requests can still be answered: with more on their way, a response
	// comes so late that its lease has expired or nearly so.
	rememberedRequests = 8
)

// LeaseHolder keeps what one process acts on: it asks the leader of the replicas for leases. It does not lock: one
// goroutine calls all methods. All times are nanoseconds of the process's own clock, which goes on while the process
// or its machine stands still.
type LeaseHolder struct {
	Name string
	// RequestRate is how many requests a second come to this process. The driver sets it before Tick; the next lease
	// request has it.
	RequestRate float64
	// ConflictingResponses counts responses of another history, or of other revisions under the same numbers. They
	// are not taken.
	ConflictingResponses int

	incarnation uint64
	timing      LeaseTiming
	replicas    []string
	sender      Sender
	random      func(n int) int // draws below n

	known     knownRevisions
	requests  requestLog
	leader    string // who was heard to lead last; "" before anyone was
	expiresAt int64  // the end of the lease; 0: there was none
	share     budgets.HeldShare
}

// requestLog is the lease requests that may still be answered.
type requestLog struct {
	seq        uint64 // of the last request
	sent       [rememberedRequests]sentRequest
	unanswered int   // requests since the last lease
	nextAt     int64 // when the next request is due
}

type sentRequest struct {
	seq uint64
	at  int64
}

// NewLeaseHolder begins a holder that knows nothing. The incarnation tells it from an earlier process of its name;
// random draws below n.
func NewLeaseHolder(now int64, name string, incarnation uint64, timing LeaseTiming, replicas []string, sender Sender,
	random func(n int) int) *LeaseHolder {
	return &LeaseHolder{
		Name:        name,
		incarnation: incarnation,
		timing:      timing,
		replicas:    replicas,
		sender:      sender,
		random:      random,
		requests:    requestLog{nextAt: now},
	}
}

// EffectiveConfig is what to act on now. It looks at the lease, so it is called before each decision: a process that
// stood still finds its lease expired before it acts.
func (h *LeaseHolder) EffectiveConfig(now int64) EffectiveConfig {
	isLeased := now < h.expiresAt
	return EffectiveConfig{
		MinRevision:      h.known.minRevision,
		LatestRevision:   h.known.latest(),
		IsLeased:         isLeased,
		BudgetShare:      h.budgetShare(isLeased),
		ReplicatedConfig: h.known.config,
	}
}

// budgetShare is the share that came with the lease; without a lease, the one that every process may take alone; 0
// where budgets are not divided.
func (h *LeaseHolder) budgetShare(isLeased bool) float64 {
	switch {
	case h.timing.MaxMembers <= 0:
		return 0
	case isLeased && h.share.Share > 0:
		return h.share.Share
	default:
		return budgets.ShareWithoutLease(h.timing.MaxMembers)
	}
}

// LeaseExpiry is when the lease ends, also where that is past; 0 where there was none.
func (h *LeaseHolder) LeaseExpiry() int64 { return h.expiresAt }

// Leader is the replica that was heard to lead last; empty before any was.
func (h *LeaseHolder) Leader() string { return h.leader }

// Revisions are those that are active, from the min revision on. The caller does not change them.
func (h *LeaseHolder) Revisions() []Revision { return h.known.active }

// TimeUntilTick is how long Tick has nothing to do.
func (h *LeaseHolder) TimeUntilTick(now int64) time.Duration {
	return time.Duration(max(0, h.requests.nextAt-now))
}

// Tick sends a lease request if one is due: to the leader, or, after two without an answer, to any replica, as the
// leader may be gone.
func (h *LeaseHolder) Tick(now int64) {
	if now < h.requests.nextAt {
		return
	}
	interval := h.requestInterval()
	if h.requests.unanswered > 0 {
		interval = h.retryInterval()
	}
	to := h.leader
	if to == "" || h.requests.unanswered > 1 {
		to = h.replicas[h.random(len(h.replicas))]
	}
	request := &LeaseRequest{
		Seq:           h.requests.record(now),
		Incarnation:   h.incarnation,
		KnownRevision: h.known.latest(),
		MinRevision:   h.known.minRevision,
		ShareSeq:      h.share.GrantSeq,
		RequestRate:   h.RequestRate,
		AcceptsDeltas: true,
	}
	h.requests.nextAt = now + interval
	h.sender.Send(to, &Message{From: h.Name, LeaseRequest: request})
}

// requestInterval is the time between requests that are answered.
func (h *LeaseHolder) requestInterval() int64 {
	return int64(h.timing.LeaseDuration) / requestsPerLease
}

// retryInterval is the time until the next request while none is answered, drawn anew each time.
func (h *LeaseHolder) retryInterval() int64 {
	shortest := int64(h.timing.LeaseDuration) / retriesPerLease
	return shortest + int64(h.random(int(shortest)+1))
}

// record notes a request that is sent now, and gives its number.
func (l *requestLog) record(now int64) (seq uint64) {
	l.seq++
	l.sent[l.seq%rememberedRequests] = sentRequest{l.seq, now}
	l.unanswered++
	return l.seq
}

// sentAt is when a request was sent; ok is false where it is not remembered.
func (l *requestLog) sentAt(seq uint64) (at int64, ok bool) {
	request := l.sent[seq%rememberedRequests]
	return request.at, seq != 0 && request.seq == seq
}

// HandleLeaseResponse takes a lease, or revisions without one. A lease counts only where all revisions that it speaks of are known.
func (h *LeaseHolder) HandleLeaseResponse(now int64, response *LeaseResponse) {
	isComplete := h.mergeResponse(response)
	if response.Leader != "" && response.Leader != h.leader {
		h.leader = response.Leader
		if response.Seq == 0 {
			h.requests.nextAt = min(h.requests.nextAt, now) // Another leads: it is asked at once.
		}
	}
	sentAt, isRemembered := h.requests.sentAt(response.Seq)
	if !isRemembered || !isComplete {
		return
	}
	h.share.Accept(response.Seq, response.BudgetShare)
	// The lease runs from the request, not from the response: the leader was confirmed at some time between the two,
	// and a response that was long on its way must not prolong it.
	if expiry := sentAt + int64(h.timing.LeaseDuration); expiry > h.expiresAt && now < expiry {
		h.expiresAt = expiry
	}
	h.requests.unanswered = 0
	h.requests.nextAt = max(h.requests.nextAt, sentAt+h.requestInterval())
}

// mergeResponse takes up the revisions of a response, and tells whether all that it speaks of is known now.
func (h *LeaseHolder) mergeResponse(response *LeaseResponse) bool {
	err := h.known.applyResponse(response)
	if errors.Is(err, errConflictingHistory) {
		h.ConflictingResponses++
	}
	return err == nil
}

// Restore gives a holder that knows nothing yet what an earlier process knew: it acts on that, without a lease, until
// it has one. Where the holder knows revisions, or these are too many, it does nothing.
func (h *LeaseHolder) Restore(minRevision uint64, revisions []Revision) {
	if len(h.known.active) > 0 || len(revisions) == 0 || len(revisions) > maxActiveRevisions+1 {
		return
	}
	h.known.active, h.known.minRevision, h.known.config = slices.Clone(revisions), minRevision, strictest(revisions)
}
