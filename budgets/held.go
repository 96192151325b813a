package budgets

// HeldShare is the share that a process acts on while it has a lease. The zero value is no share.
type HeldShare struct {
	Share    float64
	GrantSeq uint64 // Seq of the request for which Share was granted
}

// Accept replaces the share with one that was granted with a lease. A share granted for the same request as the current
// one or an earlier request is ignored: such responses are late, and the ledger has already dropped their promises. A
// share that is not above 0 and at most 1 is ignored too.
func (h *HeldShare) Accept(seq uint64, share float64) {
	if share > 0 && share <= 1 && seq > h.GrantSeq {
		h.Share, h.GrantSeq = share, seq
	}
}
