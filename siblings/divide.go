// Package siblings is about the processes of one balancer: over an upgrade there are two of them, at times three, and what a balancer
// may take (descriptors, memory, room at cold hosts) they may take together. divide.go decides how that is divided, without I/O
// or clock; siblings.go keeps a row for each process in files that all of them see.
//
// One rule keeps the sum, whatever is late, lost or dead: a claim is lowered only to what is in use or above, and raised only into
// what the others' claims leave, by one process at a time.
package siblings

import "math"

// Phase is what a process is doing.
type Phase string

// The phases of a process, in their order.
const (
	Starting Phase = "starting" // it takes no clients yet
	Serving  Phase = "serving"
	Draining Phase = "leaving" // it takes nobody new, and ends
)

// Amount is how much of each limit.
type Resources struct {
	ClientConnections   int64 `json:"clients"` // descriptors in front
	EndpointConnections int64 `json:"hosts"`   // descriptors to hosts
	MemoryBytes         int64 `json:"memory"`  // bytes
}

// parts are the limits one by one; each is divided by itself.
func (a *Resources) parts() [3]*int64 {
	return [3]*int64{&a.ClientConnections, &a.EndpointConnections, &a.MemoryBytes}
}

// Row is what a process says of itself.
type Row struct {
	Pid   int       `json:"pid"`
	Since int64     `json:"since"` // when it began, by the machine's clock (sinceBase)
	Phase Phase     `json:"phase"`
	Claim Resources `json:"claim"` // what it may take, and others may not
	Use   Resources `json:"use"`
	Trips float64   `json:"trips"` // handed over of late
}

// first is what one that starts needs at first, of the limit that is meant.
func first(total Resources, part int) int64 {
	if part == memory {
		return total.MemoryBytes / 4 // It has taken some before it can say so.
	}
	return *total.parts()[part] / 8
}

const (
	clients, hosts, memory = 0, 1, 2 // places in parts

	few = 8
)

// leaves is what one that leaves still needs of a limit: its clients may each ask once more, few at a time.
func leaves(total, use Resources, part int) int64 {
	switch part {
	case clients:
		return use.ClientConnections
	case hosts:
		return use.EndpointConnections + use.ClientConnections/4 + few
	}
	return max(use.MemoryBytes, first(total, memory))
}

// Aim is what a process should come to of the whole. Those that serve share by what they use, and what nobody uses evenly: so nobody is
// asked to go for a process that has no clients yet, and the division follows clients as they move over.
func Aim(total Resources, own Row, others []Row) (aim Resources) {
	var serving, starting int64
	var leaving, used Resources
	add := func(to *Resources, what Resources) {
		for n, x := range to.parts() {
			*x += *what.parts()[n]
		}
	}
	for _, r := range append([]Row{own}, others...) {
		switch r.Phase {
		case Serving:
			serving++
			add(&used, r.Use)
		case Starting:
			starting++
		case Draining: // One of which nothing is known changes no aim; it only stops what would be raised.
			add(&leaving, r.Claim)
		}
	}
	for n, to := range aim.parts() {
		whole, used, use := *total.parts()[n], *used.parts()[n], *own.Use.parts()[n]
		rest := max(0, whole-*leaving.parts()[n])
		switch {
		case own.Phase == Draining:
			*to = leaves(total, own.Use, n)
		case own.Phase == Starting && serving+starting > 1:
			*to = min(rest, first(total, n))
		case own.Phase == Starting:
			*to = rest
		case n == memory: // What is used there changes slowly, and comes down to what is allowed.
			*to = max(0, rest-starting*first(total, n)) / serving
		default:
			*to = use + max(0, rest-starting*first(total, n)-used)/serving
		}
	}
	if len(others) == 0 && own.Phase != Draining {
		aim.MemoryBytes -= first(total, memory) // For one that starts: it takes that much before it can say so.
	}
	return aim
}

// Divide says what a process claims next. raise: nobody else raises a claim at this time.
func Divide(total Resources, own Row, others []Row, raise bool) (claim Resources) {
	aim := Aim(total, own, others)
	for n, to := range claim.parts() {
		now, wanted, used := *own.Claim.parts()[n], *aim.parts()[n], *own.Use.parts()[n]
		if wanted <= now {
			*to = min(now, max(wanted, used))
			continue
		}
		if *to = now; !raise {
			continue
		}
		left := *total.parts()[n]
		for _, o := range others {
			left -= *o.Claim.parts()[n]
		}
		*to = max(now, min(wanted, left))
	}
	return claim
}

// Allowed is what a process may come to now: less than it claims while it comes down to its aim.
func Allowed(total Resources, own Row, others []Row) (allowed Resources) {
	aim := Aim(total, own, others)
	for n, to := range allowed.parts() {
		*to = min(*own.Claim.parts()[n], *aim.parts()[n])
	}
	return allowed
}

const (
	leastPart  = 0.1 // so that one that has sent nothing yet can begin
	successors = 0.5 // beside one that leaves: its clients come over at once, and what is meant for cold hosts with them
)

// Part is the process's part of the trips that all send.
func Part(own Row, others []Row) float64 {
	if len(others) == 0 {
		return 1
	}
	all, least := own.Trips, leastPart
	for _, o := range others {
		if all += o.Trips; own.Phase == Serving && o.Phase == Draining {
			least = successors
		}
	}
	if !(all > 0) || math.IsInf(all, 0) {
		return 1 / float64(1+len(others))
	}
	return max(least, own.Trips/all)
}

// Writes tells whether this process is the one that writes down what was learnt: who has served longest, or who leaves last.
func Writes(own Row, others []Row) bool {
	for _, o := range others {
		if own.Phase == Serving && o.Phase == Serving && o.Since < own.Since || own.Phase == Draining && o.Phase != Draining {
			return false
		}
	}
	return own.Phase != Starting
}

// sound tells whether a row can be what a process wrote.
func (r *Row) sound(total Resources) bool {
	for n, claim := range r.Claim.parts() {
		if *claim < 0 || *claim > *total.parts()[n] {
			return false
		}
	}
	return (r.Phase == Starting || r.Phase == Serving || r.Phase == Draining) && r.Trips >= 0
}
