package consensus

import (
	"testing"
	"time"
)

// A fleet that lost its history began another, and a process that was cut off meanwhile comes back: it takes nothing
// of the other history, and no lease, as it would act on what nobody decided.
func TestLeaseHolderRejectsAnotherHistory(t *testing.T) {
	h := NewLeaseHolder(0, "p", 1, LeaseTiming{LeaseDuration: time.Second}, []string{"k"}, discardSender{},
		func(int) int { return 0 })
	grant := func(seq, history uint64, revisions ...Revision) {
		h.Tick(h.requests.nextAt)
		h.HandleLeaseResponse(h.requests.sent[h.requests.seq%8].at+1, &LeaseResponse{Seq: h.requests.seq, Leader: "k",
			MinRevision: revisions[0].Number, Revisions: revisions, HistoryID: history})
	}
	one := Revision{Number: 1}
	if grant(1, 7, one); h.expiresAt == 0 || h.ConflictingResponses != 0 {
		t.Fatal("no lease")
	}
	was := h.expiresAt
	if grant(2, 8, one, Revision{Number: 2, ProposalID: "x"}); h.expiresAt != was || h.ConflictingResponses != 1 ||
		len(h.known.active) != 1 {
		t.Errorf("another history is taken: %d revisions, %d conflicting responses", len(h.known.active),
			h.ConflictingResponses)
	}
	if grant(3, 7, one, Revision{Number: 2, ProposalID: "y"}); h.expiresAt <= was || len(h.known.active) != 2 {
		t.Error("its own is not taken any more")
	}
}
