package consensus

import (
	"errors"
	"slices"
	"time"

	"hollylever/budgets"
)

const (
	// requestsPerLease is the number of requests that a holder sends per lease duration while it gets responses: two
	// consecutive requests may be lost before the lease expires.
	requestsPerLease = 3
	// retriesPerLease is the maximum number of requests that a holder sends per lease duration while it gets no
	// response. Up to the same interval again is added at random each time. That is frequent enough to find another
	// leader before the lease expires, and spreads the requests of all holders when a leader fails.
	retriesPerLease = 16
	// rememberedRequests is the number of most recent requests whose responses are accepted. A response to an older
	// request arrives so late that its lease has expired or nearly so.
	rememberedRequests = 8
)

// LeaseHolder maintains the effective configuration of one process by requesting leases from the leader of the
// replicas. It is not safe for concurrent use. All times are nanoseconds of the process's own clock, which must
// advance while the process or its machine is suspended.
type LeaseHolder struct {
	Name string
	// RequestRate is the number of client requests per second that this process receives. The caller sets it before
	// Tick, and the next lease request carries it.
	RequestRate float64
	// ConflictingResponses counts rejected responses: those of a conflicting history, or with a different revision
	// under a known number.
	ConflictingResponses int

	incarnation uint64
	timing      LeaseTiming
	replicas    []string
	sender      Sender
	random      func(n int) int // returns a random number in [0, n)

	known     knownRevisions
	requests  requestLog
	leader    string // the last known leader; "" if none is known yet
	expiresAt int64  // when the lease expires; 0: no lease yet
	share     budgets.HeldShare
}

// requestLog tracks the lease requests whose responses are still accepted.
type requestLog struct {
	seq        uint64 // of the last request
	sent       [rememberedRequests]sentRequest
	unanswered int   // number of requests since the last lease
	nextAt     int64 // when the next request is due
}

type sentRequest struct {
	seq uint64
	at  int64
}

// NewLeaseHolder returns a holder without a lease that knows no revisions. The incarnation distinguishes it from
// earlier processes of the same name; random returns a random number in [0, n).
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

// NumberRequestsFrom has the first request follow a sequence number that differs between processes. A response carries no
// addressee, so one to an earlier process of this name, or to another process that had its address, would otherwise grant a
// lease to this one that the leader has not granted it.
func (h *LeaseHolder) NumberRequestsFrom(seq uint64) { h.requests.seq = seq }

// EffectiveConfig returns the configuration to act on now. It checks whether the lease has expired, so callers must
// call it before each decision: a process that was suspended then notices the expired lease before it acts.
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

// budgetShare returns the share granted with the lease or, without a lease, the share that every process may use on
// its own. It is 0 if budgets are not divided.
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

// LeaseExpiry returns when the latest lease expires, which may be in the past, or 0 if there was none.
func (h *LeaseHolder) LeaseExpiry() int64 { return h.expiresAt }

// Leader returns the last known leader, or "" if none is known yet.
func (h *LeaseHolder) Leader() string { return h.leader }

// Revisions returns the active revisions, from the min revision on. The caller must not modify them.
func (h *LeaseHolder) Revisions() []Revision { return h.known.active }

// TimeUntilTick returns the time until Tick next has something to do.
func (h *LeaseHolder) TimeUntilTick(now int64) time.Duration {
	return time.Duration(max(0, h.requests.nextAt-now))
}

// Tick sends a lease request if one is due. It goes to the last known leader or, after two requests without a
// response, to a random replica, as the leader may have failed.
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

// requestInterval returns the time between requests while responses arrive.
func (h *LeaseHolder) requestInterval() int64 {
	return int64(h.timing.LeaseDuration) / requestsPerLease
}

// retryInterval returns the time until the next request while responses are missing. It is random for each request.
func (h *LeaseHolder) retryInterval() int64 {
	shortest := int64(h.timing.LeaseDuration) / retriesPerLease
	return shortest + int64(h.random(int(shortest)+1))
}

// record adds a request that is sent now and returns its sequence number.
func (l *requestLog) record(now int64) (seq uint64) {
	l.seq++
	l.sent[l.seq%rememberedRequests] = sentRequest{l.seq, now}
	l.unanswered++
	return l.seq
}

// sentAt returns when a request was sent; ok is false if the request is no longer tracked.
func (l *requestLog) sentAt(seq uint64) (at int64, ok bool) {
	request := l.sent[seq%rememberedRequests]
	return request.at, seq != 0 && request.seq == seq
}

// HandleLeaseResponse processes a lease response, with or without a lease. The lease takes effect only if all
// revisions that the response refers to are known.
func (h *LeaseHolder) HandleLeaseResponse(now int64, response *LeaseResponse) {
	isComplete := h.mergeResponse(response)
	if response.Leader != "" && response.Leader != h.leader {
		h.leader = response.Leader
		if response.Seq == 0 {
			h.requests.nextAt = min(h.requests.nextAt, now) // The leader changed: send it a request immediately.
		}
	}
	sentAt, isRemembered := h.requests.sentAt(response.Seq)
	if !isRemembered || !isComplete {
		return
	}
	h.share.Accept(response.Seq, response.BudgetShare)
	// The lease duration counts from the request, not from the response: the leader was confirmed at some time between
	// the two, and a delayed response must not extend the lease.
	if expiry := sentAt + int64(h.timing.LeaseDuration); expiry > h.expiresAt && now < expiry {
		h.expiresAt = expiry
	}
	h.requests.unanswered = 0
	h.requests.nextAt = max(h.requests.nextAt, sentAt+h.requestInterval())
}

// mergeResponse adds the revisions of a response and reports whether all that it refers to are known now.
func (h *LeaseHolder) mergeResponse(response *LeaseResponse) bool {
	err := h.known.applyResponse(response)
	if errors.Is(err, errConflictingHistory) {
		h.ConflictingResponses++
	}
	return err == nil
}

// Restore initializes the holder with the revisions that an earlier process knew. The holder acts on them without a
// lease until it is granted one. Restore does nothing if the holder already knows revisions, or if there are too many.
func (h *LeaseHolder) Restore(minRevision uint64, revisions []Revision) {
	if len(h.known.active) > 0 || len(revisions) == 0 || len(revisions) > maxActiveRevisions+1 {
		return
	}
	h.known.active, h.known.minRevision, h.known.config = slices.Clone(revisions), minRevision, strictest(revisions)
}
