package budgets

// HeldShare is the share that a process acts on while it has a lease. The zero value holds none.
type HeldShare struct {
	Share    float64
	GrantSeq uint64 // Seq of the request it was granted for
}

// Accept takes a share that came with a lease. One that was granted for the same or an earlier request than the share
// held is ignored, as late answers are: the ledger has forgotten them. So is one that cannot be.
func (h *HeldShare) Accept(seq uint64, share float64) {
	if share > 0 && share <= 1 && seq > h.GrantSeq {
		h.Share, h.GrantSeq = share, seq
	}
}
