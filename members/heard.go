package members

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// heard keeps the cards of members, a bounded number of them, and forgets who is silent.
type heard struct {
	mu    sync.Mutex
	cards map[string]Member
}

// put takes a card; an earlier life's that comes late changes nothing.
func (h *heard) put(c Card, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cards == nil {
		h.cards = map[string]Member{}
	}
	old, known := h.cards[c.Name]
	if !known && len(h.cards) >= MostMembers || known && (c.Life < old.Life || c.Life == old.Life && c.Seq <= old.Seq) && !old.Gone(now) {
		return false
	}
	h.cards[c.Name] = Member{c, now}
	return true
}

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
		if now.Sub(m.Heard) > 60*goneAfter {
			delete(h.cards, name)
			continue
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Gone tells whether a member has been silent for so long that it counts as gone.
func (m Member) Gone(now time.Time) bool { return now.Sub(m.Heard) > goneAfter }

// budget is so many bytes a second, saved up for one second.
type budget struct {
	mu     sync.Mutex
	rate   float64
	has    float64
	at     time.Time
	Missed int // messages that it had no room for
}

func (b *budget) take(bytes int, now time.Time) bool {
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
	if float64(bytes) > b.has {
		b.Missed++
		return false
	}
	b.has -= float64(bytes)
	return true
}
