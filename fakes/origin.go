package fakes

import (
	"sync"
	"time"
)

// Origin is what the cache hosts fetch from. It takes so long for a fetch, and so many at once; the others wait.
type Origin struct {
	mu      sync.Mutex
	takes   time.Duration
	room    chan struct{}
	fetched map[string]int
	fetches int
	ran     map[string]int // ids of one-shots
	twice   int
}

// NewOrigin makes one.
func NewOrigin(takes time.Duration, atOnce int) *Origin {
	return &Origin{takes: takes, room: make(chan struct{}, atOnce), fetched: map[string]int{}, ran: map[string]int{}}
}

// Fetch gives a key's value.
func (o *Origin) Fetch(key string) string {
	o.room <- struct{}{}
	o.mu.Lock()
	takes := o.takes
	o.mu.Unlock()
	time.Sleep(takes)
	<-o.room
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fetched[key]++
	o.fetches++
	return key
}

// Takes sets how long a fetch takes from now on.
func (o *Origin) Takes(takes time.Duration) {
	o.mu.Lock()
	o.takes = takes
	o.mu.Unlock()
}

// Ran notes that a write has had its effect; oneShot: it may have it once.
func (o *Origin) Ran(id string, oneShot bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ran[id]++; oneShot && o.ran[id] > 1 {
		o.twice++
	}
}

// Fetches tells how many fetches there were, and of how many keys, since the last call of Forget.
func (o *Origin) Fetches() (fetches, keys int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fetches, len(o.fetched)
}

// Forget begins the counts anew.
func (o *Origin) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fetches, o.fetched = 0, map[string]int{}
}

// Twice tells how many effects one-shots had that they may not have had.
func (o *Origin) Twice() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.twice
}
