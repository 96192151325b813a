package routing

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hollylever/policy"
	"hollylever/transport"
)

// count names what is counted, and for which workload; none: for no workload.
type count struct {
	what     string
	workload int
}

const none = -1

// Replies are the final answers that went out to retrievals of one workload.
type Replies struct {
	Workload                    string
	Settled, Dismissed, GivenUp int
}

// Figures are what operators read: counts since the start, and how things stand now.
type Figures struct {
	Replies []Replies
	Handed  int // trips whose last byte was handed over
	Open    int // retrievals taken that have no final answer yet
	Servers int // by the list
	Avoided int // of those, the ones that get nothing now, by hand or by choice

	Rejections []RejectionCount
	Late       int // requests whose final answer went out after their client's time
	Unanswered int // requests whose client stayed and did not read the final answer for 10 s
	Closed     []CloseCount
}

// CloseCount is how many client connections ended in one way since the start.
type CloseCount struct {
	End   string
	Count int
}

// Figures puts them together from the counts that the log's summary reads too.
func (b *Balancer) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := Figures{Replies: make([]Replies, len(b.workloads)), Handed: b.counts[count{"handed", none}], Open: len(b.open), Rejections: b.rejections(),
		Late: b.counts[count{countLate, none}], Unanswered: b.counts[count{countUnanswered, none}], Closed: b.closes()}
	for name, w := range b.workloads {
		f.Replies[w] = Replies{name, b.counts[count{"settled", w}],
			b.counts[count{"dismissed", w}] + b.counts[count{"sent_back", w}],
			b.counts[count{"given_up", w}] + b.counts[count{"sent_back_wrong", w}]}
	}
	for s := range b.servers {
		if h := &b.servers[s]; h.name != "" && h.health != policy.Removed {
			f.Servers++
			if b.avoids(s) {
				f.Avoided++
			}
		}
	}
	return f
}

// closes lists the ways in which client connections ended, under the lock.
func (b *Balancer) closes() []CloseCount {
	var all []CloseCount
	for _, end := range transport.ClientEnds {
		all = append(all, CloseCount{end.String(), b.counts[count{countClosed + end.String(), none}]})
	}
	return all
}

// avoids tells whether a server gets nothing now, by hand or by choice; under the lock.
func (b *Balancer) avoids(s int) bool {
	h := &b.servers[s]
	return b.banned[h.name] || h.health == policy.Ready && b.module.IsLikelyOutlier(s)
}

// HostStands is how a cache host stands with this balancer.
type HostStands struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Listed  string `json:"listed"` // as discovery has it
	ByHand  bool   `json:"by_hand"`
	Avoided bool   `json:"avoided"` // gets nothing now, by hand or by choice
	Trips   int    `json:"trips"`   // held that went there
	Started int64  `json:"since_ms"`
}

// Hosts are those that the list has and those that are out by hand, in order of their ids.
func (b *Balancer) Hosts() []HostStands {
	b.mu.Lock()
	all := make([]HostStands, 0, len(b.byName))
	for s := range b.servers {
		if h := &b.servers[s]; h.name != "" && (h.health != policy.Removed || b.banned[h.name]) {
			all = append(all, HostStands{h.name, h.address, named(b.kindNames, h.kind), named(b.zoneNames, h.zone), names[h.health], b.banned[h.name],
				b.avoids(s), h.trips, sinceMS(h.started)})
		}
	}
	for name := range b.banned {
		if _, listed := b.byName[name]; !listed {
			all = append(all, HostStands{ID: name, Listed: "not listed", ByHand: true, Avoided: true})
		}
	}
	b.mu.Unlock()
	slices.SortFunc(all, func(x, y HostStands) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// Ready tells whether this process takes clients.
func (b *Balancer) Ready() bool { return b.taking.Load() && b.knowsAny() }

// Takes tells that clients are taken from now on, or no more.
func (b *Balancer) Takes(clients bool) { b.taking.Store(clients) }

// Ends tells by when all has to have its answer: what comes too late for its latency target before that is rejected at once, and what
// was taken up before and has a later deadline gets its final answer then.
func (b *Balancer) Ends(at time.Time) {
	b.ends.Store(b.began.UnixNano() + int64(at.Sub(b.began)))
	time.AfterFunc(time.Until(at), b.expireAll)
}

// expireAll gives each request that has none its final answer.
func (b *Balancer) expireAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.slots {
		if slot := &b.slots[i]; slot.told != nil && !slot.final {
			b.counts[count{countExpired, none}]++
			b.module.ExpireRequest(b.now(), i)
		}
	}
}

// Summary logs what has been counted since the last one, and what that took.
func (b *Balancer) Summary(clients int, cpu time.Duration, collections uint64) {
	b.mu.Lock()
	line := b.log.Info().Int("clients", clients).Int("hosts_open", b.pool.Count()).
		Int("held", b.held.Out()).Int("servers", len(b.byName)).Uint64("index", b.index).
		Int64("cpu_ms", cpu.Milliseconds()).Uint64("collections", collections)
	since := map[string]int{}
	for c, n := range b.counts {
		if n -= b.summed[c]; n > 0 {
			name, _ := strings.CutSuffix(c.what, "_wrong")
			since[name] += n // Only what happened is named.
		}
	}
	b.summed = maps.Clone(b.counts)
	b.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(since)) {
		line = line.Int(name, since[name])
	}
	line.Msg("summary")
}

// Lock is the one round the module, for who looks whether it is to be had.
func (b *Balancer) Lock() sync.Locker { return &b.mu }

// Allow sets how many bytes of retrievals may be held from now on, and which part of the balancer's trips this process sends.
func (b *Balancer) Allow(heap int64, part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mostHeap = heap
	b.module.SetProcessShare(part)
}

// Handed tells how many trips were handed over since the start.
func (b *Balancer) Handed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[count{"handed", none}]
}
