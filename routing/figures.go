package routing

import (
	"slices"
	"strings"
	"time"

	"hollylever/transport"
)

// Figures holds the values that the admin endpoint prints: counts since the start, and the current state.
type Figures struct {
	Replies []Replies
	Handed  int // attempts sent completely
	Open    int // admitted requests without a final answer yet
	Servers int // endpoints in the list
	Avoided int // of these, the ones that currently get no traffic, as ejected or as outliers

	Rejections []RejectionCount
	Late       int // requests whose final answer was sent after the client's timeout
	Unanswered int // requests whose client stayed connected, but did not read the final answer within writeTimeout
	Closed     []CloseCount

	Unread   int                   // requests rejected as their client may have disconnected, unseen behind bytes that wait to be read
	Repeated int                   // requests that got the result of an earlier one of their ID
	Turns    transport.TurnFigures // waits of clients that caused more work than usual, for processor time

	ClientMemory      int64 // bytes that clients make the process hold: connections, buffers, requests and responses
	ClientMemoryLimit int64 // bytes
}

// Replies counts the final answers to requests of one workload: successes (Settled), rejections (Dismissed) and errors
// (GivenUp).
type Replies struct {
	Workload                    string
	Settled, Dismissed, GivenUp int
}

// RejectionCount is the number of requests rejected for one reason since the start. They are safe to retry.
type RejectionCount struct {
	Reason string
	Count  int
}

// CloseCount is the number of client connections that ended in one way since the start.
type CloseCount struct {
	End   string
	Count int
}

// Figures returns the current figures, from the same counters as the log's summary.
func (b *Balancer) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &b.counters
	f := Figures{
		Replies:    make([]Replies, len(b.catalog.workloads)),
		Handed:     c.total(counterAttemptsSent),
		Open:       len(b.requests.openIDs),
		Rejections: c.rejections(),
		Late:       c.total(counterLate),
		Unanswered: c.total(counterUnanswered),
		Closed:     c.closes(),
		Unread:     c.total(counterRejectedUnread),
		Repeated:   c.total(counterRepeated),
		Turns:      c.turns,

		ClientMemory:      b.memory.InUse(),
		ClientMemoryLimit: b.memory.Limit(),
	}
	for name, w := range b.catalog.workloads {
		f.Replies[w] = Replies{
			Workload:  name,
			Settled:   c.totalFor(outcomeAnswered, w),
			Dismissed: c.totalFor(outcomeRejected, w) + c.totalFor(counterNotAdmitted, w),
			GivenUp:   c.totalFor(outcomeFailed, w) + c.totalFor(counterMalformed, w),
		}
	}
	for i := range b.endpoints.all {
		if b.endpoints.all[i].isPresent() {
			f.Servers++
			if b.isAvoided(i) {
				f.Avoided++
			}
		}
	}
	return f
}

// EndpointStatus is the state of an endpoint at this balancer.
type EndpointStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Listed  string `json:"listed"`  // status in the list
	ByHand  bool   `json:"by_hand"` // ejected, by whichever source
	Avoided bool   `json:"avoided"` // currently gets no traffic, as ejected or as an outlier
	Trips   int    `json:"trips"`   // attempts that it holds
	Started int64  `json:"since_ms"`
}

// Hosts returns the endpoints that are in the list or ejected, sorted by ID.
func (b *Balancer) Hosts() []EndpointStatus {
	b.mu.Lock()
	all := make([]EndpointStatus, 0, len(b.endpoints.byName))
	for i := range b.endpoints.all {
		e := &b.endpoints.all[i]
		isEjected := b.ejections.all[e.name]
		if !e.isPresent() && (e.name == "" || !isEjected) {
			continue
		}
		all = append(all, EndpointStatus{
			ID:      e.name,
			Address: e.address,
			Kind:    nameAt(b.catalog.machineTypeNames, e.machineType),
			Zone:    nameAt(b.catalog.zoneNames, e.zone),
			Listed:  statusByHealth[e.health],
			ByHand:  isEjected,
			Avoided: b.isAvoided(i),
			Trips:   e.attempts,
			Started: startMillis(e.listedStart),
		})
	}
	for name := range b.ejections.all {
		if _, isListed := b.endpoints.byName[name]; !isListed {
			all = append(all, EndpointStatus{ID: name, Listed: "not listed", ByHand: true, Avoided: true})
		}
	}
	b.mu.Unlock()
	slices.SortFunc(all, func(x, y EndpointStatus) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// ClientCounts are the numbers of client connections.
type ClientCounts struct {
	Connected int
	Partial   int // of these, the ones in the middle of a command
}

// CountTurns adds the waits of clients for processor time since the last call.
func (b *Balancer) CountTurns(figures transport.TurnFigures) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.addTurns(figures)
}

// Summary logs the counts since the last summary, and the current state. cpu is the CPU time and collections the number
// of garbage collections of the process.
func (b *Balancer) Summary(clients ClientCounts, cpu time.Duration, collections uint64) {
	b.mu.Lock()
	line := b.log.Info().Int("clients", clients.Connected).Int("clients_partial", clients.Partial).
		Int64("client_memory_kb", b.memory.InUse()>>10).Int("hosts_open", b.pool.Count()).
		Int("held", b.requests.indices.InUse()).Int("servers", len(b.endpoints.byName)).Uint64("index", b.list.index).
		Int64("cpu_ms", cpu.Milliseconds()).Uint64("collections", collections)
	since, turns := b.counters.sinceSummary(), b.counters.recentTurns
	b.counters.recentTurns = transport.TurnFigures{}
	b.mu.Unlock()
	if turns.Waits > 0 {
		line = line.Int("turn_waits", turns.Waits).Int64("turn_waited_ms", turns.Waited.Milliseconds()).
			Int64("turn_longest_wait_ms", turns.LongestWait.Milliseconds())
	}
	logCounters(line, since).Msg("summary")
}

// AttemptsSent returns how many attempts were sent since the start.
func (b *Balancer) AttemptsSent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.total(counterAttemptsSent)
}

// RequestCount returns how many requests were admitted since the start.
func (b *Balancer) RequestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.total(counterRequests)
}

// ReadCounts returns how many reads were answered since the start, and how many of these were cache misses.
func (b *Balancer) ReadCounts() (reads, misses int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.reads, b.counters.misses
}

// maxOpenRequestIDs bounds the request IDs in a log line.
const maxOpenRequestIDs = 16

// OpenRequests returns how many requests have no final answer yet, and up to maxOpenRequestIDs of their IDs.
func (b *Balancer) OpenRequests() (open int, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.requests.openIDs {
		if len(ids) == maxOpenRequestIDs {
			break
		}
		ids = append(ids, id)
	}
	return len(b.requests.openIDs), ids
}
