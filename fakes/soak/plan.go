// Package soak plays a plan of faults, drawn from a seed, against several real processes on loopback, with clients before them and
// cache servers behind, and holds what both sides met against the protocol's rules. It is for tests and trials.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what an event does.
type Kind int

// The kinds of events.
const (
	HoldUp       Kind         = iota // a process does not run for a while
	Terminate                        // SIGTERM, SIGKILL as early as the protocol allows, and a new process
	Reload                           // a series of SIGHUP
	Hang                             // a server answers nothing for a while
	Busy                             // a server turns everything away
	Reset                            // a server resets connections under requests
	Slow                             // a server takes most of the deadline
	Drain                            // discovery says that a server drains, and takes that back
	Discovery                        // discovery ends all watches
	AcceptFault                      // the system fails accepts of a process for a moment
	ConnectFault                     // and its new connections
	Interrupts                       // and interrupts its reads and writes
	drawnKinds                       // how many kinds above are drawn alike
	Stall        = drawnKinds        // a server gives no more than the head of a long value
)

var kindNames = [...]string{"hold-up", "terminate", "reload", "hang", "busy", "reset", "slow", "drain", "discovery", "accept-fault", "connect-fault", "interrupts", "stall"}

func (k Kind) String() string { return kindNames[k] }

// Event is one fault.
type Event struct {
	At      time.Duration
	Kind    Kind
	Process int
	Server  int
	For     time.Duration
	Count   int // of signals
}

func (e Event) String() string {
	return fmt.Sprintf("%v %v process %d server %d for %v count %d", e.At, e.Kind, e.Process, e.Server, e.For, e.Count)
}

// Plan is what one run plays.
type Plan struct {
	Seed      uint64
	Length    time.Duration
	Processes int
	Servers   int
	Clients   int           // connections that ask one request after another
	Pipelines int           // that write many at once
	Crowd     int           // that stay idle
	Deadline  time.Duration // the longest
	Events    []Event
}

func (p Plan) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %v, %d processes, %d servers, %d clients, %d pipelines, a crowd of %d, deadline %v", p.Seed, p.Length, p.Processes,
		p.Servers, p.Clients, p.Pipelines, p.Crowd, p.Deadline)
	for _, e := range p.Events {
		fmt.Fprintf(&out, "\n  %v", e)
	}
	return out.String()
}

const (
	minDeadline, maxDeadline = 400 * time.Millisecond, 1200 * time.Millisecond
	longDeadline             = 3500 * time.Millisecond // in some plans: over the cap of the protocol
	maxHoldUp                = 150 * time.Millisecond
	warmUp                   = 500 * time.Millisecond // before the first event
	quietEnd                 = time.Second            // after the last
	maxStalls                = 3                      // in one plan
	stallStream              = 77                     // of the seed's random numbers: that of no other draw
)

// NewPlan draws a plan. systemFaults: the processes' system calls can be made to fail.
func NewPlan(seed uint64, length time.Duration, systemFaults bool) Plan {
	chance := rand.New(rand.NewPCG(seed, 45))
	p := Plan{Seed: seed, Length: length, Processes: 2 + chance.IntN(3), Servers: 4 + chance.IntN(5), Clients: 12 + chance.IntN(24),
		Pipelines: chance.IntN(3), Deadline: between(chance, minDeadline, maxDeadline)}
	if chance.IntN(5) == 0 {
		p.Deadline = longDeadline
	}
	if chance.IntN(3) == 0 {
		p.Crowd = 150 + chance.IntN(150)
	}
	limit := drawnKinds
	if !systemFaults {
		limit = AcceptFault
	}
	for range 6 + chance.IntN(14) {
		e := Event{At: between(chance, warmUp, length-quietEnd), Kind: Kind(chance.IntN(int(limit))), Process: chance.IntN(p.Processes),
			Server: chance.IntN(p.Servers), For: between(chance, 50*time.Millisecond, length/3), Count: 1 + chance.IntN(4)}
		if e.Kind == HoldUp {
			e.For = between(chance, 20*time.Millisecond, maxHoldUp)
		}
		p.Events = append(p.Events, e)
		if e.Kind == Terminate && chance.IntN(2) == 0 { // Held up as the signal comes.
			p.Events = append(p.Events, Event{At: e.At, Kind: HoldUp, Process: e.Process, For: maxHoldUp})
		}
	}
	p.Events = append(p.Events, stalls(p)...)
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// stalls draws the events of kind Stall, for half of the plans. Their chance is their own, so that a seed's other events stay as they
// were before there were stalls.
func stalls(p Plan) (events []Event) {
	chance := rand.New(rand.NewPCG(p.Seed, stallStream))
	for range chance.IntN(2) * (1 + chance.IntN(maxStalls)) {
		events = append(events, Event{At: between(chance, warmUp, p.Length-quietEnd), Kind: Stall, Server: chance.IntN(p.Servers),
			For: between(chance, 50*time.Millisecond, p.Length/3)})
	}
	return events
}

func between(chance *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(chance.Int64N(int64(most-least)))
}

// Without is the plan less the events from one place to another.
func (p Plan) Without(from, to int) Plan {
	p.Events = append(slices.Clone(p.Events[:from]), p.Events[to:]...)
	return p
}

// Shrink drops events as long as a plan still fails, in few tries.
func Shrink(p Plan, tries int, fails func(Plan) bool) Plan {
	for size := (len(p.Events) + 1) / 2; size > 0 && tries > 0; size /= 2 {
		for from := 0; from < len(p.Events) && tries > 0; tries-- {
			smaller := p.Without(from, min(from+size, len(p.Events)))
			if fails(smaller) {
				p = smaller
			} else {
				from += size
			}
		}
	}
	return p
}
