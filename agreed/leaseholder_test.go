package agreed

import (
	"testing"
	"time"
)

// A fleet that lost its history began another, and a process that was cut off meanwhile comes back: it takes nothing of the other history, and
// no lease, as it would act on what nobody decided.
func TestLeaseHolderRejectsAnotherHistory(t *testing.T) {
	h := NewHolder(0, "p", 1, Terms{Lease: time.Second}, []string{"k"}, discardSender{}, func(int) int { return 0 })
	grant := func(seq, history uint64, versions ...Version) {
		h.Look(h.requests.nextAt)
		h.Heard(h.requests.sent[h.requests.seq%8].at+1, &Grant{Seq: h.requests.seq, Leader: "k", Floor: versions[0].Number, Versions: versions, History: history})
	}
	one := Version{Number: 1}
	if grant(1, 7, one); h.expiresAt == 0 || h.Contrary != 0 {
		t.Fatal("no lease")
	}
	was := h.expiresAt
	if grant(2, 8, one, Version{Number: 2, ID: "x"}); h.expiresAt != was || h.Contrary != 1 || len(h.known.active) != 1 {
		t.Errorf("another history is taken: %d versions, contrary %d", len(h.known.active), h.Contrary)
	}
	if grant(3, 7, one, Version{Number: 2, ID: "y"}); h.expiresAt <= was || len(h.known.active) != 2 {
		t.Error("its own is not taken any more")
	}
}
