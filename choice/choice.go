// The decision module: one Balancer decides for one balancer, sharing nothing with the others.
// New hands it the seed, the settings (a plain map of dotted names to values) and the Host it acts through
// (host.go). Afterwards the front calls one method for each thing that happens: Listing, Row and Listed for a
// list, Asked, Started, Ended and Aborted for retrievals, Woke, Probed, Told. Each takes the clock first.
// The ordinary path is route, from docs/design.md; the rules are the gates maySend and mayDismiss.
package choice

import (
	"math"
	"math/bits"
	"strconv"
)

const (
	second     = int64(1e9)
	sweepEvery = 25 * int64(1e6) // how often trips in flight are looked over
	firstWidth = 3               // candidates of a key
	widening   = 7               // a busy answer widens so many times
	firstHold  = 33 * int64(1e6) // the first hold at full width; it doubles
	overMean   = 1.1             // in flight over so many times the mean, and overBy, is passed over
	overBy     = 0.3
	memory     = 3 * second // how long a server's answers count
	firstGood  = 2.0        // what a server's chance of success is taken to be before it is known
	firstBad   = 0.1
	perAnswer  = 0.2 // credit that an answer earns
	mostCredit = 10.0
	busyCounts = 2.0  // a busy answer counts as so many in flight until as long again has passed
	strain     = 0.15 // more misses than this part of the reads strain the origin
	crowd      = 0.4  // of the expected time may be spent by the trips in flight
	firstRoom  = 8.0
	drownBy    = 5.0   // the margin grows by so many times the part of reads that it fails or answers late
	valueOver  = 100.0 // the mean value is over so many retrievals
	doubt      = 0.6   // of the chance that all have: below it a server is passed by
	coldPart   = 0.4   // of the cold budget: machines differ, and so do balancers' shares of the traffic
)

const (
	tagSweep = iota
	tagList
	tagHeld // and the retrieval's index
)

type ran int8

const (
	running ran = iota // in flight: it may run
	perhaps
	never
	done
)

type trip struct {
	server int
	sent   int64
	ran    ran
}

type retrieval struct {
	workload, tenant int
	key              uint64
	write, live      bool
	asked, due, stop int64 // due: an answer after it has no value; stop: the hard stop
	width            int
	hold, heldUntil  int64
	missed           int  // aside: the cache that lacked the key, -1 if none did
	fetching, queued bool // aside: it asks the origin for its key, or waits for the one that does
	trips            []trip
	out              int
	place            int // in Balancer.live
}

type server struct {
	hash             uint64
	health           Health
	started          int64
	kind, zone, cell int
	listed           bool
	out              int
	good, bad        sum
	held             held
	refused          sum   // busy answers of late: they count as in flight
	heard            int64 // when it last answered anything
	overdue          int   // trips in flight that are overdue while it is silent
	credit           float64
	room             float64 // cold: what it may still be sent
	roomAt           int64
}

// A sum decays: what was added counts less and less.
type sum struct {
	value float64
	at    int64
}

func (s *sum) read(now, life int64) float64 {
	if now > s.at {
		s.value *= math.Exp(-float64(now-s.at) / float64(life))
		s.at = now
	}
	return s.value
}

func (s *sum) add(now, life int64, x float64) { s.value = s.read(now, life) + x }

// held is the count in flight, averaged over time.
type held struct {
	mean float64
	at   int64
}

func (h *held) read(now int64, out int) float64 {
	if now > h.at {
		h.mean = float64(out) + (h.mean-float64(out))*math.Exp(-float64(now-h.at)/float64(memory))
		h.at = now
	}
	return h.mean
}

// took keeps the mean and the spread of answer times.
type took struct{ n, t, tt sum }

func (l *took) add(now, life int64, t float64) {
	l.n.add(now, life, 1)
	l.t.add(now, life, t)
	l.tt.add(now, life, t*t)
}

// chance is a multiply-with-carry generator.
type chance struct{ x, carry uint64 }

func (c *chance) next() uint64 {
	out := c.x
	hi, lo := bits.Mul64(c.x, 0xffebb71d94fcdaf9)
	lo, over := bits.Add64(lo, c.carry, 0)
	c.x, c.carry = lo, hi+over
	return out
}

func (c *chance) part() float64 { return float64(c.next()>>11) / (1 << 53) }

func (c *chance) below(n int) int { hi, _ := bits.Mul64(c.next(), uint64(n)); return int(hi) }

type workload struct {
	effect       Effect
	group        string
	remembers    int64 // how long repeats of a stamped retrieval are dropped
	expected     int64
	stretch      float64
	tardy, value float64
	took         took
}

type tenant struct {
	quota  float64
	asked  sum
	bucket float64
	at     int64
}

// Balancer is the module's state for one balancer.
type Balancer struct {
	host       Host
	values     map[string]any
	chance     chance
	servers    []server
	ready      []int // caches that the list calls ready
	origin     int   // aside: the origin's index, -1 if none is listed
	aside      bool
	scope      Scope
	failures   int
	retrievals []retrieval
	live       []int
	fetches    map[uint64]int // aside: key to the retrieval that asks the origin for it
	workloads  []workload
	tenants    []tenant
	originTook took
	out        int // trips in flight at ready caches
	held       held
	refused    sum
	good, bad  sum // of all caches, as a server's
	warmed     sum // answers of warm caches
	warm       int
	began      int64
	answers    sum // of caches, errors too
	meanValue  float64
	room       float64 // aside: how many reads may be out at the origin
	// Answers of caches to reads; those that needed the origin or failed; of these, those late or failed.
	reads, misses, drowned sum
	fine, poor             sum     // trips that ended in time, and late or not at all
	admit                  float64 // the part of what is beyond a share that is let in
	best                   []ranked
	mostTrips              int
	copies                 bool
	mayCallOff             bool
	startPart              float64
	warmUp                 int64
	multiple               float64
	tipAfter               int64
	balancers              float64
	comeBack               int64
}

type ranked struct {
	score  uint64
	server int
}

func (b *Balancer) number(name string) float64 { x, _ := b.values[name].(float64); return x }
func (b *Balancer) text(name string) string    { s, _ := b.values[name].(string); return s }
func (b *Balancer) yes(name string) bool       { y, _ := b.values[name].(bool); return y }
func (b *Balancer) span(name string) int64     { return int64(b.number(name) * 1e6) }

// New begins a balancer with nothing known.
func New(now int64, seed uint64, values map[string]any, host Host) *Balancer {
	b := &Balancer{host: host, values: values, origin: -1, fetches: map[uint64]int{}, admit: 1, began: now, room: firstRoom}
	b.chance = chance{seed ^ 0x9e3779b97f4a7c15, 1}
	for range 8 {
		b.chance.next()
	}
	b.aside = b.text("extra.mode") == "aside"
	b.mostTrips = max(1, int(b.number("allowed.mostTrips")))
	b.copies, b.mayCallOff = b.yes("allowed.secondCopies"), b.yes("allowed.cancelling")
	b.startPart, b.warmUp = b.number("invariants.startCapacity"), b.span("invariants.warmUp")
	b.multiple, b.tipAfter = b.number("invariants.fallMultiple"), b.span("invariants.tipAfter")
	b.balancers = max(1, b.number("balancers"))
	if b.yes("allowed.retryAfter") {
		b.comeBack = b.span("allowed.maxRetryAfter")
	}
	for i := range int(b.number("workloads")) {
		at := "workloads." + strconv.Itoa(i) + "."
		w := workload{group: b.text(at + "group"), remembers: b.span(at + "dedupWindow"), expected: b.span(at + "expectedTime"),
			stretch: b.number(at + "aimStretch"), tardy: b.number(at + "tardyValue"),
			value: b.number(at + "value")}
		switch b.text(at + "effect") {
		case "guarded":
			w.effect = Stamped
		case "single_shot":
			w.effect = OneShot
		}
		b.workloads, b.meanValue = append(b.workloads, w), w.value
	}
	for i := range int(b.number("tenants")) {
		b.tenants = append(b.tenants, tenant{quota: b.number("tenants." + strconv.Itoa(i) + ".quotaRps"), at: now})
	}
	if b.text("registryMode") == "subscribe" {
		host.Subscribe()
	}
	host.Wake(tagSweep, sweepEvery)
	return b
}

// Listing begins a list; Row calls and Listed follow.
func (b *Balancer) Listing(now int64, scope Scope) {
	b.scope = scope
	for s := range b.servers {
		b.servers[s].listed = false
	}
	if scope == Failed {
		// Guards against a registry that all balancers ask at once: growing waits, spread by chance.
		b.failures = min(b.failures+1, 6)
		b.host.Wake(tagList, int64((0.5+b.chance.part())*float64(second/4)*float64(int(1)<<b.failures)))
	} else if scope != Saved {
		b.failures = 0
	}
}

// Row is one entry of the list.
func (b *Balancer) Row(now int64, s int, address string, health Health, started int64, kind, zone, cell int) {
	if s == len(b.servers) {
		hash := uint64(14695981039346656037)
		for i := range len(address) {
			hash = (hash ^ uint64(address[i])) * 1099511628211
		}
		b.servers = append(b.servers, server{hash: hash, credit: 1, heard: now, roomAt: now})
	}
	h := &b.servers[s]
	if started > h.started && started+b.warmUp > now {
		h.room, h.roomAt = 0, now // Guards against a burst at a server that has just started.
	}
	h.health, h.kind, h.zone, h.cell, h.listed = health, kind, zone, cell, true
	h.started = max(h.started, started)
}

// Listed ends the list.
func (b *Balancer) Listed(now int64) {
	b.ready, b.out, b.origin = b.ready[:0], 0, -1
	for s := range b.servers {
		h := &b.servers[s]
		if (b.scope == Whole || b.scope == Saved) && !h.listed {
			h.health = Gone
		}
		if h.health != Ready {
			continue
		}
		if b.aside && h.kind == int(b.number("extra.originKind")) {
			b.origin = s
			continue
		}
		b.ready = append(b.ready, s)
		b.out += h.out
	}
	for len(b.best) < len(b.ready) {
		b.best = append(b.best, ranked{})
	}
	b.countWarm(now)
}

func (b *Balancer) countWarm(now int64) {
	b.warm = 0
	for _, s := range b.ready {
		if !b.cold(now, s) {
			b.warm++
		}
	}
}

// Asked begins a retrieval.
func (b *Balancer) Asked(now int64, i int, patience int64, workload, tenant int, key uint64, keyGiven, write,
	again bool, predicted int64) {
	for len(b.retrievals) <= i {
		b.retrievals = append(b.retrievals, retrieval{})
	}
	r, w := &b.retrievals[i], &b.workloads[workload]
	if !keyGiven {
		key = b.chance.next() // No key: its candidates are as good as any.
	}
	*r = retrieval{workload: workload, tenant: tenant, key: key, write: write, live: true, asked: now,
		stop: now + patience, due: now + patience, width: firstWidth, missed: -1, trips: r.trips[:0],
		place: len(b.live)}
	if w.tardy == 0 {
		r.due = min(r.due, now+w.expected+int64(w.stretch*float64(predicted)))
	}
	b.live = append(b.live, i)
	b.meanValue += (w.value - b.meanValue) / valueOver
	if b.beyondShare(now, tenant) && b.chance.part() > b.admit || b.crowded(now, w) {
		b.finish(now, i)
		return
	}
	b.route(now, i)
}

// route is the ordinary path: one of the key's candidates at random, the set as wide as busy answers made it.
func (b *Balancer) route(now int64, i int) {
	r := &b.retrievals[i]
	if now >= r.due || len(r.trips) >= b.mostTrips {
		b.finish(now, i)
		return
	}
	s := b.origin
	if !b.aside || !(r.write || r.missed >= 0) {
		s = b.pick(now, r)
		for s < 0 && r.width < len(b.ready) {
			r.width *= widening // None of the candidates may be sent anything: look further.
			s = b.pick(now, r)
		}
	}
	if s == b.origin && s >= 0 && !r.write && float64(b.servers[s].out) >= b.room ||
		s < 0 && len(r.trips) > 0 {
		if s >= 0 {
			b.misses.add(now, memory, 1)
		}
		b.wait(now, i) // Nobody has room or credit for a further trip: hold as at full width.
	} else if s < 0 || !b.maySend(now, r, s) {
		b.finish(now, i)
	} else {
		b.send(now, i, s)
	}
}

func (b *Balancer) send(now int64, i, s int) {
	r, h := &b.retrievals[i], &b.servers[s]
	if b.cold(now, s) {
		h.room--
	}
	if len(r.trips) > 0 && s != b.origin {
		h.credit--
	}
	r.trips = append(r.trips, trip{server: s, sent: now})
	h.held.read(now, h.out)
	b.held.read(now, b.out)
	r.out++
	h.out++
	if h.health == Ready && s != b.origin {
		b.out++
	}
	b.host.Send(i, s, r.stop)
}

// rank puts the first width caches of a key's ranking into b.best, in no promised order beyond that.
func (b *Balancer) rank(key uint64, width int) int {
	if width >= len(b.ready) {
		for j, s := range b.ready {
			b.best[j].server = s
		}
		return len(b.ready)
	}
	n := 0
	for _, s := range b.ready {
		score := (key ^ b.servers[s].hash) * 0x9e3779b97f4a7c15
		score = (score ^ score>>32) * 0xd6e8feb86659fd93
		score ^= score >> 32
		if n == width && score <= b.best[n-1].score {
			continue
		}
		if n < width {
			n++
		}
		j := n - 1
		for ; j > 0 && b.best[j-1].score < score; j-- {
			b.best[j] = b.best[j-1]
		}
		b.best[j] = ranked{score, s}
	}
	return n
}

func (b *Balancer) pick(now int64, r *retrieval) int {
	n := b.rank(r.key, r.width)
	limit := (overMean * (float64(b.out) + b.held.read(now, b.out)) / float64(max(1, len(b.ready)))) + overBy
	ordered := r.width == firstWidth && b.strained(now)
	if ordered {
		limit *= 1 + drownBy*b.drowned.read(now, memory)/(b.reads.read(now, memory)+1)
	}
	least, last, lightest := -1, -1, 0.0
	for ; n > 0; n-- {
		j := 0
		if !ordered {
			j = b.chance.below(n)
		}
		s := b.best[j].server
		copy(b.best[j:n], b.best[j+1:n])
		h := &b.servers[s]
		if b.cold(now, s) && b.coldRoom(now, s) < 1 || !b.mayRepeatAt(now, r, s) || tried(r, s) ||
			len(r.trips) > 0 && h.credit < 1 {
			continue
		}
		if b.doubted(now, s) {
			if last < 0 || h.out < b.servers[last].out {
				last = s
			}
			continue
		}
		load := float64(h.out) + h.held.read(now, h.out) + busyCounts*h.refused.read(now, memory)
		if load <= limit {
			return s
		}
		if least < 0 || load < lightest {
			least, lightest = s, load
		}
	}
	if least < 0 && r.width >= len(b.ready) {
		return last // All that may be sent anything are in doubt: still better than nothing.
	}
	return least
}

func tried(r *retrieval, s int) bool {
	for t := range r.trips {
		if r.trips[t].server == s {
			return true
		}
	}
	return false
}

// doubted draws from the posterior of a server's chance of success and compares it with what all have.
func (b *Balancer) doubted(now int64, s int) bool {
	h := &b.servers[s]
	if h.bad.read(now, memory)+float64(h.overdue) < 0.5 {
		return false
	}
	mean, spread := b.posterior(now, s)
	normal := b.chance.part() + b.chance.part() + b.chance.part() + b.chance.part() - 2 // variance 1/3
	return mean+normal*math.Sqrt(3)*spread < doubt
}

// posterior is the mean and spread of a server's chance of success, as a part of the chance that all have.
func (b *Balancer) posterior(now int64, s int) (float64, float64) {
	h := &b.servers[s]
	good, bad := h.good.read(now, memory)+firstGood, h.bad.read(now, memory)+float64(h.overdue)+firstBad
	all, amiss := b.good.read(now, memory)+firstGood, b.bad.read(now, memory)+firstBad
	n := good + bad
	return good / n * (all + amiss) / all, math.Sqrt(good*bad/(n*n*(n+1))) * (all + amiss) / all
}

func (b *Balancer) cold(now int64, s int) bool {
	h := &b.servers[s]
	return h.started > 0 && now < h.started+b.warmUp
}

// coldRoom is the rule's budget for a cold server: this balancer's part follows its part of the warm answers.
func (b *Balancer) coldRoom(now int64, s int) float64 {
	h := &b.servers[s]
	age := float64(now-h.started) / float64(b.warmUp)
	part := b.startPart + (1-b.startPart)*max(0, age)
	rate := b.warmed.read(now, memory) / (float64(memory) / float64(second)) / float64(max(1, b.warm))
	rate = max(rate, 0.5/b.balancers) * coldPart * b.multiple * part
	h.room = min(h.room+rate*float64(now-h.roomAt)/float64(second), 1+rate*float64(b.tipAfter)/float64(second)/4)
	h.roomAt = now
	return h.room
}

// mayRepeatAt tells whether the effect allows a trip to this server after the trips so far.
func (b *Balancer) mayRepeatAt(now int64, r *retrieval, s int) bool {
	w := &b.workloads[r.workload]
	for t := range r.trips {
		before := &r.trips[t]
		if before.ran == never {
			continue
		}
		if w.effect == OneShot || before.ran == running && !b.copies {
			return false
		}
		if w.effect == Stamped {
			was, to := &b.servers[before.server], &b.servers[s]
			if now-before.sent >= w.remembers*9/10 || w.group == "zone" && was.zone != to.zone ||
				w.group == "cell" && was.cell != to.cell {
				return false
			}
		}
	}
	return true
}

// maySend is the gate before Host.Send.
func (b *Balancer) maySend(now int64, r *retrieval, s int) bool {
	return r.live && now < r.stop && len(r.trips) < b.mostTrips && b.servers[s].health == Ready &&
		(!b.cold(now, s) || s == b.origin || b.coldRoom(now, s) >= 1) && b.mayRepeatAt(now, r, s)
}

// mayDismiss is the gate before Host.Dismiss: the client must be free to try again.
func (b *Balancer) mayDismiss(r *retrieval) bool {
	w := &b.workloads[r.workload]
	for t := range r.trips {
		if r.trips[t].ran != never && (w.effect == OneShot || w.effect == Stamped && w.group != "all") {
			return false
		}
	}
	return true
}

// finish gives the final answer: the retrieval is given up on.
func (b *Balancer) finish(now int64, i int) {
	r := &b.retrievals[i]
	if !r.live {
		return
	}
	dismiss := b.mayDismiss(r)
	b.drop(now, i, -1)
	if dismiss {
		b.host.Dismiss(i, b.comeBack/4)
	} else {
		b.host.GiveUp(i)
	}
}

// drop forgets a retrieval that has its final answer, and lets those that waited for its fetch go on:
// to the cache that holds the key now, or one of them to the origin.
func (b *Balancer) drop(now int64, i, stored int) {
	r := &b.retrievals[i]
	r.live = false
	last := b.live[len(b.live)-1]
	b.live[r.place], b.retrievals[last].place = last, r.place
	b.live = b.live[:len(b.live)-1]
	for t := range r.trips {
		if r.trips[t].ran == running && b.mayCallOff {
			b.host.CallOff(i, t)
		}
	}
	if !r.fetching {
		return
	}
	key := r.key
	delete(b.fetches, key)
	for n := len(b.live) - 1; n >= 0; n-- {
		if n >= len(b.live) {
			continue
		}
		w := b.live[n]
		if r := &b.retrievals[w]; !r.queued || r.key != key {
			continue
		} else if r.queued = false; stored >= 0 && b.maySend(now, r, stored) {
			r.missed = -1
			b.send(now, w, stored)
		} else {
			b.fetch(now, w)
		}
	}
}

// fetch asks the origin for a read's key, or waits for the retrieval that does already.
func (b *Balancer) fetch(now int64, i int) {
	r := &b.retrievals[i]
	if leader, out := b.fetches[r.key]; out && leader != i {
		r.queued = true
		return
	}
	b.fetches[r.key] = i
	r.fetching = true
	b.route(now, i)
}

// Started: the answer of a streamed retrieval has begun; it belongs to the client.
func (b *Balancer) Started(now int64, i, t int) {
	r := &b.retrievals[i]
	if r.live {
		r.stop, r.due = math.MaxInt64, math.MaxInt64
	}
}

// Ended tells how a trip ended.
func (b *Balancer) Ended(now int64, i, t, s, note int, how Outcome, tookTime int64, noMore bool) {
	r, h := &b.retrievals[i], &b.servers[s]
	h.held.read(now, h.out)
	b.held.read(now, b.out)
	r.out--
	h.out--
	if h.health == Ready && s != b.origin {
		b.out--
	}
	switch how {
	case OK:
		r.trips[t].ran = done
	case Full, Unreached, Unsent, Missing:
		r.trips[t].ran = never
	default:
		r.trips[t].ran = perhaps
	}
	if !r.write && s != b.origin && (how == OK || how == Missing || how == Errored) {
		b.reads.add(now, memory, 1)
		if how != OK || note > 1 {
			b.misses.add(now, memory, 1)
			if how == Errored {
				b.drowned.add(now, memory, 1)
			}
		}
	} else if s == b.origin && !r.write {
		// Guards against reads that crowd writes out of a short origin: their part gives way and comes back.
		if how == OK && tookTime < b.workloads[r.workload].expected/2 {
			b.room += 1 / b.room
		} else {
			b.room = max(1, b.room*0.8)
			b.misses.add(now, memory, 1)
		}
	}
	b.learn(now, r, s, how, tookTime)
	if noMore || !r.live {
		if r.live && how == OK {
			b.drop(now, i, r.missed)
		} else if r.live {
			b.drop(now, i, -1)
		}
		return
	}
	if now >= r.stop {
		if r.out == 0 {
			b.finish(now, i)
		}
		return
	}
	switch how {
	case Full:
		if s == b.origin || r.width >= len(b.ready) {
			b.wait(now, i)
			return
		}
		r.width *= widening
		b.route(now, i)
	case Missing:
		if r.missed < 0 {
			r.missed = s
		}
		b.fetch(now, i)
	default:
		if r.out > 0 {
			return
		}
		if s == b.origin {
			b.finish(now, i)
		} else {
			b.route(now, i)
		}
	}
}

// wait holds a retrieval at full width; the hold doubles and ends before the hard stop.
func (b *Balancer) wait(now int64, i int) {
	r := &b.retrievals[i]
	r.hold = max(firstHold, 2*r.hold)
	if now+r.hold >= r.due || len(r.trips) >= b.mostTrips {
		b.finish(now, i)
		return
	}
	r.heldUntil = now + r.hold
	b.host.Wake(tagHeld+i, r.hold)
}

// learn takes what an outcome tells about a server and about the fleet.
func (b *Balancer) learn(now int64, r *retrieval, s int, how Outcome, tookTime int64) {
	h, w := &b.servers[s], &b.workloads[r.workload]
	amiss := 0.0
	switch how {
	case OK, Missing:
		h.heard = now
		h.good.add(now, memory, 1)
		h.credit = min(mostCredit, h.credit+perAnswer)
		if s == b.origin {
			b.originTook.add(now, 2*memory, float64(tookTime))
			break
		}
		b.good.add(now, memory, 1)
		b.answers.add(now, memory, 1)
		if how == OK {
			w.took.add(now, 4*memory, float64(tookTime))
		}
		if !b.cold(now, s) {
			b.warmed.add(now, memory, 1)
		}
	case Full:
		h.heard = now
		if s != b.origin {
			h.refused.add(now, memory, 1)
			b.refused.add(now, memory, 1)
		}
		amiss = 1
	case Errored, TimedOut, Unreached, Reset, CalledOff:
		if how == Errored {
			h.heard = now
			if s != b.origin {
				b.answers.add(now, memory, 1)
			}
		}
		if how != CalledOff || r.live {
			h.bad.add(now, memory, 1)
			if s != b.origin {
				b.bad.add(now, memory, 1)
			}
			amiss = 1
		}
	}
	if how == OK && tookTime > w.expected*3/4 {
		amiss = 1
	}
	b.fine.add(now, second, 1-amiss)
	b.poor.add(now, second, amiss)
}

// crowded tells, by Little's law, that a new trip would wait for most of its expected time.
// Guards against queues that turn all answers late: once full they stay full of work nobody wants.
func (b *Balancer) crowded(now int64, w *workload) bool {
	part := crowd * min(3, max(1, w.value/b.meanValue))        // What is worth most is let in longest.
	young := math.Exp(-float64(now-b.began) / float64(memory)) // Before it knows its rate, one a server.
	free := float64(len(b.ready)) * max(young, 1/b.balancers)
	return float64(b.out) > 1+free+part*b.rate(now, &b.answers)*float64(w.expected)
}

// rate is a sum's events a nanosecond, allowing for a start not long ago.
func (b *Balancer) rate(now int64, s *sum) float64 {
	return s.read(now, memory) / (1 - math.Exp(-float64(now-b.began+second/4)/float64(memory))) / float64(memory)
}

// beyondShare tells whether a tenant is over its share of what comes in here.
func (b *Balancer) beyondShare(now int64, t int) bool {
	if t < 0 {
		return false
	}
	b.tenants[t].asked.add(now, memory, 1)
	part := math.Inf(1)
	for j := range b.tenants {
		if q := b.tenants[j].quota; q > 0 {
			part = min(part, b.tenants[j].asked.read(now, memory)/(q*float64(memory)/float64(second)))
		}
	}
	part = min(1, max(part, 1/b.balancers))
	n := &b.tenants[t]
	rate := n.quota * part
	n.bucket = min(n.bucket+rate*float64(now-n.at)/float64(second), 1+rate/2)
	n.at = now
	if n.bucket >= 1 {
		n.bucket--
		return false
	}
	return n.quota > 0
}

// Aborted: the client has gone.
func (b *Balancer) Aborted(now int64, i int) {
	if b.retrievals[i].live {
		b.drop(now, i, -1)
	}
}

// Woke: a timer has come due.
func (b *Balancer) Woke(now int64, tag int) {
	switch tag {
	case tagSweep:
		b.sweep(now)
		b.host.Wake(tagSweep, sweepEvery)
	case tagList:
		b.host.Subscribe()
	default:
		i := tag - tagHeld
		if r := &b.retrievals[i]; r.live && r.heldUntil > 0 && r.heldUntil <= now {
			r.heldUntil = 0
			b.route(now, i)
		}
	}
}

// sweep looks over what is in flight: silence is evidence before any outcome.
func (b *Balancer) sweep(now int64) {
	b.countWarm(now)
	for s := range b.servers {
		b.servers[s].overdue = 0
	}
	fine, poor := b.fine.read(now, second), b.poor.read(now, second)
	if poor > 0.06*(fine+poor)+0.5 {
		b.admit = max(0.02, b.admit*0.95)
	} else {
		b.admit = min(1, b.admit+0.01)
	}
	for n := len(b.live) - 1; n >= 0; n-- {
		if n >= len(b.live) {
			continue
		}
		i := b.live[n]
		r := &b.retrievals[i]
		if r.out == 0 {
			if now+2*sweepEvery >= r.due { // Nothing is out: the answer may not wait for the next sweep.
				b.finish(now, i)
			}
			continue
		}
		last := &r.trips[len(r.trips)-1]
		if last.ran != running || last.server == b.origin {
			continue
		}
		h := &b.servers[last.server]
		l := &b.workloads[r.workload].took
		if now-last.sent < b.limit(now, l, b.workloads[r.workload].expected) || h.heard >= last.sent {
			continue
		}
		h.overdue++
		if mean, _ := b.posterior(now, last.server); mean < doubt && now < r.due && len(r.trips) < b.mostTrips && b.workloads[r.workload].effect != OneShot {
			// Guards against hung servers: what may run again does not wait for one that is silent.
			if b.copies {
				if s := b.pick(now, r); s >= 0 && b.maySend(now, r, s) {
					b.send(now, i, s)
				}
			} else if b.mayCallOff {
				b.host.CallOff(i, len(r.trips)-1)
			}
		}
	}
}

// strained tells whether the origin cannot keep up: then each key keeps to the order of its ranking.
func (b *Balancer) strained(now int64) bool {
	return b.misses.read(now, memory) > strain*(b.reads.read(now, memory)+1)
}

// limit is the age at which a trip is overdue.
func (b *Balancer) limit(now int64, l *took, expected int64) int64 {
	n := l.n.read(now, 4*memory)
	if n < 3 {
		return expected / 2
	}
	mean := l.t.read(now, 4*memory) / n
	spread := math.Sqrt(max(0, l.tt.read(now, 4*memory)/n-mean*mean))
	return min(expected, max(expected/8, int64(mean+3*spread)))
}

// Probed and Told: this module sends neither probes nor messages; what comes all the same is passed by.
func (b *Balancer) Probed(now int64, s int, how Outcome, tookTime int64) {}

// Told is a message of another balancer.
func (b *Balancer) Told(now int64, from int, data []byte) {}
