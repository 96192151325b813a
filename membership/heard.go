package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxWhole is of how many members whole lists are kept, where they do not fit into their cards: some agree on what most have.
const maxWhole = 8

// heard keeps the cards of members, a bounded number of them, and forgets who is silent.
type heard struct {
	mu    sync.Mutex
	cards map[string]Member
	whole []string // members that stand there with whole lists, the last one last
}

// put takes a card; an earlier life's that comes late changes nothing. A card of the same life that has the whole lists of the one that is kept
// adds these to it. Where there is no room, who has been gone for longest makes some.
func (h *heard) put(c MemberState, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cards == nil {
		h.cards = map[string]Member{}
	}
	old, known := h.cards[c.Name]
	switch {
	case !known && len(h.cards) >= MaxMembers && !h.makeRoom(now):
		return false
	case known && c.Incarnation == old.Incarnation && c.More == 0 && old.IsPartial() && c.lists() == old.More:
		old.Drains, old.Evacuations, old.whole = c.Drains, c.Evacuations, old.More
		h.cards[c.Name] = old
		h.keepWhole(c.Name)
		return true
	case known && (c.Incarnation < old.Incarnation || c.Incarnation == old.Incarnation && c.Seq <= old.Seq) && !old.IsGone(now):
		return false
	}
	m := Member{MemberState: c, LastSeen: now}
	if known && c.Incarnation == old.Incarnation && c.More != 0 && c.More == old.whole {
		m.Drains, m.Evacuations, m.whole = old.Drains, old.Evacuations, old.whole
	}
	h.cards[c.Name] = m
	return true
}

// makeRoom forgets the member that has been gone for longest, if one is gone.
func (h *heard) makeRoom(now time.Time) bool {
	longest := ""
	for name, m := range h.cards {
		if m.IsGone(now) && (longest == "" || m.LastSeen.Before(h.cards[longest].LastSeen)) {
			longest = name
		}
	}
	delete(h.cards, longest)
	return longest != ""
}

// keepWhole notes that a member stands here with whole lists, in place of the first of too many.
func (h *heard) keepWhole(name string) {
	h.whole = append(slices.DeleteFunc(h.whole, func(other string) bool { return other == name }), name)
	if len(h.whole) <= maxWhole {
		return
	}
	if first, known := h.cards[h.whole[0]]; known && first.whole != 0 {
		first.Drains, first.Evacuations, first.whole = nil, nil, 0
		h.cards[h.whole[0]] = first
	}
	h.whole = h.whole[1:]
}

// Partial tells whether the member's lists are a part of what it has.
func (m Member) IsPartial() bool { return m.More != 0 && m.More != m.whole }

func (h *heard) leave(name string) {
	h.mu.Lock()
	delete(h.cards, name)
	h.mu.Unlock()
}

// list gives the members that were heard lately, by name.
func (h *heard) list(now time.Time) []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Member
	for name, m := range h.cards {
		if now.Sub(m.LastSeen) > 60*goneAfter {
			delete(h.cards, name)
			continue
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Gone tells whether a member has been silent for so long that it counts as gone.
func (m Member) IsGone(now time.Time) bool { return now.Sub(m.LastSeen) > goneAfter }

// budget is so many bytes a second, saved up for one second.
type budget struct {
	mu     sync.Mutex
	rate   float64
	has    float64
	at     time.Time
	Missed int // messages that it had no room for
}

// reserves are the parts of a second's bytes that are kept back from each kind of message: leases and versions go before cards, and cards before
// signals, of which an incident makes many.
var reserves = map[byte]float64{isMessage: 0, isWant: 0, isCard: 1.0 / 4, isSignal: 1.0 / 2}

// take takes so many bytes for a message of a kind, if there are as many beyond what is kept back from it.
func (b *budget) take(bytes int, what byte, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return true
	}
	if b.at.IsZero() {
		b.has = b.rate
	}
	b.has = min(b.rate, b.has+now.Sub(b.at).Seconds()*b.rate)
	if b.at.IsZero() {
		b.has = b.rate
	}
	b.at = now
	if float64(bytes) > b.has-reserves[what]*b.rate {
		b.Missed++
		return false
	}
	b.has -= float64(bytes)
	return true
}
