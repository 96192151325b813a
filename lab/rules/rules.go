// Package rules checks the four rules after every event: no retrieval lost, no effect twice, drains kept, no cold host pushed over. It is told
// what happens, in the order in which it does, and answers with the breach that this made, if any. It has no clock, no chance and no I/O, so that
// a world of events, a virtual clock and sockets can all use it. State is given back as retrievals end: what is kept is bounded by what is open.
package rules

import "fmt"

// Rule is one of the four.
type Rule string

// The rules.
const (
	Lost   Rule = "no retrieval lost"
	Twice  Rule = "no effect twice"
	Drains Rule = "drains kept"
	Pushed Rule = "no cold host pushed over"
)

// Breach says which rule was broken, by what, and at which event.
type Breach struct {
	Rule      Rule
	Retrieval int64 // -1: none
	Host      int   // -1: none
	Event     int64 // counted from 1, over all that was told
	At        int64 // nanoseconds
	Why       string
}

func (b *Breach) Error() string {
	return fmt.Sprintf("event %d at %.3f s: %s: retrieval %d, host %d: %s", b.Event, float64(b.At)/1e9, b.Rule, b.Retrieval, b.Host, b.Why)
}

// Effect says whether a retrieval may run again.
type Effect int

// As the workloads have it. Stamped ones may run again while their host's group remembers them.
const (
	Harmless Effect = iota
	Stamped
	OneShot
)

// Limits are what the rules are measured by, in nanoseconds where they are times.
type Limits struct {
	Grace      int64   // after a balancer was told that a host drains, fresh work may still begin there for so long
	Remembers  int64   // repeats of stamped retrievals are dropped for so long
	WarmUp     int64   // after its start a host is cold for so long,
	StartPart  float64 // can do this part of its usual at first,
	Multiple   float64 // and falls over when asked for so many times what it can,
	TipAfter   int64   // for so long
	SecondCopy bool    // two trips of a retrieval may be out at once
}

type retrieval struct {
	effect   Effect
	stop     int64
	answered bool
	out      int   // trips
	ran      int   // times that it had its effect
	ranAt    int64 // first
}

type host struct {
	can     float64 // retrievals a second, warm
	started int64   // 0: long ago
	told    map[int]int64
	window  []int64 // arrivals of the last second while cold
	over    int64   // since when it is asked for too much; 0: it is not
}

// Rules is the state of a check.
type Rules struct {
	limits Limits
	events int64
	open   map[int64]*retrieval
	hosts  []host
}

// New begins a check.
func New(limits Limits) *Rules { return &Rules{limits: limits, open: map[int64]*retrieval{}} }

// Events tells how many things were told.
func (r *Rules) Events() int64 { return r.events }

// Open tells how many retrievals have not ended.
func (r *Rules) Open() int { return len(r.open) }

func (r *Rules) breach(now int64, rule Rule, i int64, h int, format string, args ...any) *Breach {
	return &Breach{rule, i, h, r.events, now, fmt.Sprintf(format, args...)}
}

// Host sets what a host can do when warm, and when it last started.
func (r *Rules) Host(now int64, h int, can float64, started int64) {
	r.events++
	for len(r.hosts) <= h {
		r.hosts = append(r.hosts, host{told: map[int]int64{}})
	}
	r.hosts[h] = host{can: can, started: started, told: r.hosts[h].told}
}

// Told: a balancer has heard that a host drains, or that it is in use.
func (r *Rules) Told(now int64, balancer, h int, drains bool) {
	r.events++
	if _, since := r.hosts[h].told[balancer]; drains && !since {
		r.hosts[h].told[balancer] = now
	} else if !drains {
		delete(r.hosts[h].told, balancer)
	}
}

// Asked begins a retrieval that has to have its answer by stop.
func (r *Rules) Asked(now int64, i int64, effect Effect, stop int64) *Breach {
	r.events++
	if r.open[i] != nil {
		return r.breach(now, Lost, i, -1, "its id is open already")
	}
	r.open[i] = &retrieval{effect: effect, stop: stop}
	return nil
}

// Sent: a trip goes to a host.
func (r *Rules) Sent(now int64, balancer int, i int64, h int) *Breach {
	r.events++
	one := r.open[i]
	switch {
	case one == nil || one.answered:
		return r.breach(now, Lost, i, h, "sent after its final answer")
	case now >= one.stop:
		return r.breach(now, Lost, i, h, "sent after its hard stop")
	case one.out > 0 && (!r.limits.SecondCopy || one.effect == OneShot):
		return r.breach(now, Twice, i, h, "a second copy is out")
	}
	one.out++
	if since, drains := r.hosts[h].told[balancer]; drains && now > since+r.limits.Grace {
		return r.breach(now, Drains, i, h, "sent %.3f s after balancer %d was told", float64(now-since)/1e9, balancer)
	}
	return r.arrived(now, i, h)
}

// arrived counts what a cold host is asked for.
func (r *Rules) arrived(now, i int64, h int) *Breach {
	to := &r.hosts[h]
	if to.started == 0 || now >= to.started+r.limits.WarmUp {
		to.window, to.over = to.window[:0], 0
		return nil
	}
	const second = int64(1e9)
	to.window = append(to.window, now)
	old := 0
	for old < len(to.window) && to.window[old] <= now-second {
		old++
	}
	to.window = append(to.window[:0], to.window[old:]...)
	can := to.can * (r.limits.StartPart + (1-r.limits.StartPart)*float64(now-to.started)/float64(r.limits.WarmUp))
	switch {
	case float64(len(to.window)) <= r.limits.Multiple*can:
		to.over = 0
	case to.over == 0:
		to.over = max(1, now)
	case now-to.over >= r.limits.TipAfter:
		return r.breach(now, Pushed, i, h, "%d in a second, where it can do %.1f", len(to.window), can)
	}
	return nil
}

// Ran: a trip had its effect at a host, or was dropped there as a repeat.
func (r *Rules) Ran(now int64, i int64, h int, dropped bool) *Breach {
	r.events++
	one := r.open[i]
	if one == nil || dropped {
		return nil
	}
	if one.ran++; one.ran == 1 {
		one.ranAt = now
		return nil
	}
	if one.effect == OneShot || one.effect == Stamped && now-one.ranAt > r.limits.Remembers {
		return r.breach(now, Twice, i, h, "its effect came %d times", one.ran)
	}
	return nil
}

// Ended: a trip is over, whatever came of it.
func (r *Rules) Ended(now int64, i int64) {
	r.events++
	if one := r.open[i]; one != nil {
		one.out--
		r.forget(i, one)
	}
}

// Answered: the client has a final answer, or has gone.
func (r *Rules) Answered(now int64, i int64) *Breach {
	r.events++
	one := r.open[i]
	switch {
	case one == nil || one.answered:
		return r.breach(now, Lost, i, -1, "a second final answer")
	case now > one.stop:
		return r.breach(now, Lost, i, -1, "answered %.3f s after its hard stop", float64(now-one.stop)/1e9)
	}
	one.answered = true
	r.forget(i, one)
	return nil
}

func (r *Rules) forget(i int64, one *retrieval) {
	if one.answered && one.out <= 0 {
		delete(r.open, i)
	}
}

// Last is asked at the end: a retrieval whose time is over and that has no answer is lost.
func (r *Rules) Last(now int64) *Breach {
	first := int64(-1)
	for i, one := range r.open {
		if !one.answered && now > one.stop && (first < 0 || i < first) {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	return r.breach(now, Lost, first, -1, "no answer by its hard stop")
}
