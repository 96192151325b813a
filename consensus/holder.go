package consensus

import (
	"slices"
	"time"

	"hollylever/budgets"
)

// Sender carries a message to a process, or loses it. It does not block.
type Sender interface{ Send(to string, m *Message) }

// Holder is what one process acts on. It asks for a lease again and again, of whoever leads the keepers.
type LeaseHolder struct {
	Name    string
	life    uint64
	terms   LeaseTiming
	keepers []string
	net     Sender
	chance  func(n int) int

	versions             []Revision       // from the floor on
	acting               ReplicatedConfig // the strictest of them
	floor                uint64
	history              uint64 // the one that it acts on, from the first grant on
	ConflictingResponses int    // grants of another history, which are not taken
	seq                  uint64
	sent                 [8]asked // the last asks, by seq
	leader               string
	silent               int   // asks since something came back
	askAt                int64 // the next ask
	until                int64 // the lease's end on this clock; 0: none
	part                 budgets.HeldShare
	RequestRate          float64 // retrievals a second that come here, for the next ask
}

type asked struct {
	seq uint64
	at  int64
}

// NewHolder begins a holder that knows nothing. life tells it from an earlier process of its name; chance draws below n.
func NewLeaseHolder(now int64, name string, life uint64, terms LeaseTiming, keepers []string, net Sender, chance func(n int) int) *LeaseHolder {
	return &LeaseHolder{Name: name, life: life, terms: terms, keepers: keepers, net: net, chance: chance, askAt: now}
}

// Acting is what to act on now. It looks at the lease.
func (h *LeaseHolder) EffectiveConfig(now int64) EffectiveConfig {
	a := EffectiveConfig{MinRevision: h.floor, IsLeased: now < h.until, ReplicatedConfig: h.acting}
	if len(h.versions) > 0 {
		a.LatestRevision = h.versions[len(h.versions)-1].Number
	}
	if h.terms.MaxMembers > 0 {
		if a.BudgetShare = budgets.ShareWithoutLease(h.terms.MaxMembers); a.IsLeased && h.part.Share > 0 {
			a.BudgetShare = h.part.Share
		}
	}
	return a
}

// Until is when the lease ends; 0 where there is none.
func (h *LeaseHolder) LeaseExpiry() int64 { return h.until }

// Leader is who was heard to lead last.
func (h *LeaseHolder) Leader() string { return h.leader }

// Versions are those that count, from the floor on.
func (h *LeaseHolder) Revisions() []Revision { return h.versions }

// Wait is how long nothing is to be done.
func (h *LeaseHolder) TimeUntilTick(now int64) time.Duration {
	return time.Duration(max(0, h.askAt-now))
}

// Look asks if it is time to. A third of the lease passes between asks that are answered, so that two may be lost.
func (h *LeaseHolder) Tick(now int64) {
	if now < h.askAt {
		return
	}
	every := int64(h.terms.LeaseDuration) / 3
	if h.silent > 0 { // Sooner, and of another: the one that led may be gone.
		every = int64(h.terms.LeaseDuration)/16 + int64(h.chance(int(h.terms.LeaseDuration)/16+1))
	}
	to := h.leader
	if to == "" || h.silent > 1 {
		to = h.keepers[h.chance(len(h.keepers))]
	}
	h.seq++
	h.sent[h.seq%uint64(len(h.sent))] = asked{h.seq, now}
	h.silent++
	h.askAt = now + every
	latest := uint64(0)
	if n := len(h.versions); n > 0 {
		latest = h.versions[n-1].Number
	}
	h.net.Send(to, &Message{From: h.Name, LeaseRequest: &LeaseRequest{Seq: h.seq, Incarnation: h.life, KnownRevision: latest, MinRevision: h.floor, ShareSeq: h.part.GrantSeq, RequestRate: h.RequestRate, AcceptsDeltas: true}})
}

// Heard takes a grant, or news.
func (h *LeaseHolder) HandleLeaseResponse(now int64, g *LeaseResponse) {
	whole := h.learn(g)
	if g.Leader != "" && g.Leader != h.leader {
		h.leader = g.Leader
		if g.Seq == 0 {
			h.askAt = min(h.askAt, now) // Another leads: it is asked at once.
		}
	}
	if a := h.sent[g.Seq%uint64(len(h.sent))]; g.Seq != 0 && a.seq == g.Seq && whole {
		h.part.Accept(g.Seq, g.BudgetShare)
		// The lease runs from the ask, not from the grant: what lies between may have taken long.
		if until := a.at + int64(h.terms.LeaseDuration); until > h.until && now < until {
			h.until = until
		}
		h.silent = 0
		h.askAt = max(h.askAt, a.at+int64(h.terms.LeaseDuration)/3)
	}
}

// learn takes versions, and a floor, if nothing is missing between; it tells whether all that the grant speaks of is known.
func (h *LeaseHolder) learn(g *LeaseResponse) bool {
	if g.HistoryID != 0 && h.history != 0 && g.HistoryID != h.history {
		h.ConflictingResponses++ // Guards a process that acts on one history against another that began after it was lost.
		return false
	}
	told, whole := h.told(g)
	if !whole {
		return false
	}
	next, kept := slices.Clone(h.versions), true
	for _, v := range told {
		n := len(next)
		switch {
		case n > 0 && v.Number <= next[n-1].Number:
			if v.Number >= next[0].Number && v.Digest() != next[v.Number-next[0].Number].Digest() {
				h.ConflictingResponses++
				return false
			}
		case n > 0 && v.Number > next[n-1].Number+1 && told[0].Number != g.MinRevision:
			return false // Something lies between that was not told.
		case n > 0 && v.Number > next[n-1].Number+1:
			next, kept = append(next[:0], v), false // All that was known is under the floor.
		default:
			next = append(next, v)
		}
	}
	if len(next) > maxBetween+1 {
		return false // No more can count.
	}
	if len(next) == 0 || next[len(next)-1].Number < g.MinRevision {
		return g.MinRevision == 0
	}
	before := len(h.versions)
	h.versions = next
	if len(told) > 0 {
		h.history = g.HistoryID
	}
	for g.MinRevision > h.floor && len(h.versions) > 1 && h.versions[0].Number < g.MinRevision {
		h.versions, kept = h.versions[1:], false
	}
	if h.versions[0].Number >= g.MinRevision {
		h.floor = max(h.floor, g.MinRevision)
	}
	if kept && before > 0 { // A thousand versions in a row are not put together anew with each.
		if len(next) > before {
			h.acting = h.acting.with(next[before:])
		}
		return true
	}
	h.acting = strictest(h.versions)
	return true
}

// told gives the versions that a grant brings; whole: what its steps begin with is in it or known.
func (h *LeaseHolder) told(g *LeaseResponse) (versions []Revision, whole bool) {
	if len(g.Deltas) == 0 {
		return g.Revisions, true
	}
	versions = g.Revisions
	if len(versions) == 0 {
		at := slices.IndexFunc(h.versions, func(v Revision) bool { return v.Number == g.BaseRevision })
		if at < 0 {
			return nil, false
		}
		rest, err := follow(h.versions[at], g.Deltas)
		return rest, err == nil
	}
	rest, err := follow(versions[len(versions)-1], g.Deltas)
	return append(slices.Clip(versions), rest...), err == nil
}

// Recall lays what an earlier life knew into a holder that knows nothing yet: it acts on that, alone, until it has a lease.
func (h *LeaseHolder) Restore(floor uint64, versions []Revision) {
	if len(h.versions) == 0 && len(versions) > 0 && len(versions) <= maxBetween+1 {
		h.versions, h.floor, h.acting = slices.Clone(versions), floor, strictest(versions)
	}
}
