// Package policy is the decision module: one Balancer decides for one balancer and shares nothing with the others.
// New hands it the seed, the settings (a plain map of dotted names to values) and the Host it acts through
// (host.go). Afterwards the front calls one method for each thing that happens: Listing, Row and Listed for a
// list; Asked, Started, Ended, Aborted for requests; Reported, Woke and Heard. Each but Heard gets the
// clock first. The ordinary path is route, as in docs/design.md; the rules are the gates maySend, mayReject.
package policy

import (
	"math"
	"slices"

	"hollylever/decay"
	"hollylever/outage"
	"hollylever/quota"
)

const (
	second     = int64(1e9)
	memory     = decay.TimeConstant // how long what was seen counts
	maxHoldUp  = 150 * int64(1e6)   // the process may be held up for so long between a decision and what comes of it
	margin     = 25 * int64(1e6)    // before the hard stop an answer must be out
	enough     = 60.0               // requests: with fewer in it, memory stretches
	slowest    = 0.1
	firstWidth = 3               // candidates of a key
	widening   = 7               // a busy answer widens so many times
	firstHold  = 33 * int64(1e6) // the first hold at full width; it doubles
	overMean   = 1.1             // over so many times the mean in flight, and overBy, a server is passed over
	overBy     = 0.3
	likeKind   = 2.0     // what all of its kind tell of a server counts as so many attempts of its own
	jam        = 3.0     // times the mean time of an attempt: a server that takes longer is left for others
	busyCounts = 2.0     // a busy answer counts as so many in flight
	strain     = 0.15    // more misses than this part of the reads strain the origin
	backPart   = 1.0 / 6 // of the expected time
	maxIdle    = 0.3     // of what all could report as strain: under it nothing is crowded
	few        = 0.05    // of the attempts without a connection: more, and no zone goes first
	crowd      = 0.15    // of the expected time may be spent by what is in flight
	youngRoom  = 4.0     // attempts in flight a server that all balancers may add while they know no rate
	leastPart  = 0.5     // of the room is left to keys not read lately
	knownKeys  = 8191    // places for keys read lately
	usualGrows = 1.0005  // an answer, so that the usual time is found again when it has risen
	late       = 0.75    // of the expected time: an attempt that takes longer is poor
	maxOverdue = 0.08    // of the requests may be overdue and get copies; more: origin or fleet is slow
	doubt      = 0.6     // of the chance of success that all have: under it a server is passed by
	firstGood  = 2.0     // what is taken of a server before it is known, with firstBad
	firstBad   = 0.1
	perAnswer  = 0.2 // credit that an answer earns, up to maxCredit
	maxCredit  = 10.0
	coldPart   = 0.9 // of the cold budget at most: machines differ, and so do balancers' parts of the traffic
	proves     = 8.0 // answers prove half of what they can of a cold server: all of that part of its budget
	coldSaved  = 1.5 // times what falls due between two requests for a cold server may wait there for one
	leastRoom  = 0.1 // under one, reads are let in by chance
	leastBorne = 0.3
	brokeFor   = 2    // so often no connection after a broken attempt is a restart
	firstRoom  = 40.0 // aside: reads all may have out at the origin beyond two each, at first
)

const tagList, tagHeld = 0, 1 // what a timer is for: the list, or with its index added a request

const running, perhaps, never, done ran = 0, 1, 2, 3 // running: in flight

type attempt struct {
	server int
	sent   int64
	ran    ran
}

type request struct {
	class             int
	key               uint64
	write, live       bool
	due, stop         int64 // due: an answer after it has no value; stop: the hard stop
	by                int64 // while nothing is out for it, its answer is due by then, whatever the clocks say
	hold, heldUntil   int64
	width, missed     int   // missed, aside: the cache that lacked the key, -1 if none did
	direct, turn      bool  // aside: it asks the origin, as the caches are crowded; it had its turn
	fetching, waiting bool  // aside: it asks the origin for its key, or waits for the one that does
	line              *line // in this one, if it takes turns
	attempts          []attempt
	out, over, place  int // attempts in flight; that have ended; its place in Balancer.live
}

type server struct {
	hash             uint64
	health           Health
	stamp, started   int64 // its last start: as the list has it, and the latest that it can have been
	kind, zone, cell int
	listed, warm     bool    // by the last list
	drains           bool    // and not ready since
	broke            int     // broke an attempt, and took no connection so often since, with no answer between
	size             float64 // by the list
	out              int     // attempts in flight
	held             held
	sent             sum // attempts
	good, bad, busy  sum
	credit, room     float64 // room, cold: what it may still be sent
	roomAt, cutAt    int64   // cutAt: when a connect failed, if nothing was answered since
	fills            int64   // until then it is slow as its cache fills
	told, left       float64 // others' word takes that from its chance; the part of the keys that stays away
	rate, strain     float64 // by its last load report, for all balancers; under 0: none came
}

// Balancer is what one balancer knows.
type Balancer struct {
	host                  Host
	values                map[string]any
	chance                chance
	began, now, seen      int64   // seen: the clock by which what was seen fades
	pace                  float64 // of that clock: slower while there is little to go by
	servers               []server
	kinds                 []kind
	all                   kind
	ready                 []int   // caches that the list calls ready
	size, warm            float64 // of them all, and of those that are not cold by the last list
	part                  float64 // of this balancer's cold room that this process has
	best                  []ranked
	scope                 Scope
	requests              []request
	live                  []int
	lines                 map[lineKey]*line
	classes               []class
	shares                *quota.Limiter   // of tenants
	outages               *outage.Detector // of zones
	failures, out         int              // of the list, in a row; attempts in flight at ready caches
	held                  held
	good, bad, warmed     sum // of all caches, as a server's; of warm ones
	reads, misses, fails  sum // answers to reads; those that needed the origin or failed; that failed
	fine, poor            sum // attempts that ended in time, and late or not at all
	known                 [knownKeys]read
	credit                float64        // for further attempts, wherever they go
	asked, turned         sum            // requests that came, and those rejected for the crowd
	lacked, settled, took sum            // misses (aside); attempts that caches settled, and their times
	unreached, overdue    sum            // attempts without a connection; those that took far longer than others
	usual                 float64        // time of an attempt while nothing is crowded
	bears                 float64        // part of the room for a crowd, borne
	room                  float64        // aside: how many reads may be out at the origin
	fetches               map[uint64]int // aside: key to the request that asks the origin for it
	zone, origin          int            // its own; aside: its index, -1 if none is listed
	aside, moving         bool           // moving: the list's sizes fall with load
	buffers, gone, scarce bool           // answers' are few; the gone may be sent to; all say reads miss
	copies, mayCancel     bool
	sentAt                int64 // the last attempt
	drift, stampError     int64
	settles, comeBackMost int64 // how long a key in order rests; 0: nothing may be said
	warmUp, tipAfter      int64
	startPart, multiple   float64
	can, balancers        float64 // the most a warm cache answered here lately, for its size
	canAt, brokeAt        int64   // when a server broke last
	maxAttempts           int
	figures               []string // of a load report
	tells                 bool     // whether it tells of strain
	rates, strains, heard float64  // by the last reports of ready caches: sums, and how many reported
}

// New begins a balancer with nothing known.
func New(now int64, seed uint64, values map[string]any, host Host) *Balancer {
	b := &Balancer{host: host, values: values, began: now, now: now, pace: 1, origin: -1, zone: -1,
		credit: 1, bears: 1, part: 1, fetches: map[uint64]int{}, lines: map[lineKey]*line{},
		outages: outage.New(memory), usual: float64(second), chance: chance{seed ^ 0x9e3779b97f4a7c15, 1}}
	for range 8 {
		b.chance.next()
	}
	b.readSettings()
	if b.text("registryMode") == "subscribe" {
		host.Subscribe()
	}
	return b
}

// passes moves the clocks. What was seen fades slower while few requests come: it rests on enough of them.
func (b *Balancer) passes(now int64) {
	b.seen += int64(float64(now-b.now) * b.pace)
	b.bears = min(1, b.bears+float64(now-b.now)/float64(40*second))
	b.now, b.pace = now, min(1, max(slowest, b.asked.ValueAt(b.seen)/enough))
}

// Listing begins a list; a Row for each entry and Listed follow.
func (b *Balancer) Listing(now int64, scope Scope) {
	b.scope = scope
	for s := range b.servers {
		b.servers[s].listed = false
	}
	if scope == Failed {
		// Guards against a registry that all ask at once: growing waits, spread by chance, of 3 s at most, half of the
		// time after which changes count as told: one more call may fail. What is pushed counts once it can be heard.
		b.failures = min(b.failures+1, 3)
		wait, most := float64(second/4)*float64(int(1)<<b.failures), float64(b.span("invariants.askEvery"))
		if b.text("registryMode") == "automatic" {
			most = float64(b.span("invariants.drainGrace")) / 8
		}
		if most > 0 {
			wait = min(wait, most)
		}
		b.host.Wake(tagList, int64((0.5+b.chance.part())*wait))
	} else if scope != Saved {
		b.failures = 0
	}
}

// Row is one entry of the list.
func (b *Balancer) Row(now int64, s int, address string, health Health, started int64, model, zone, cell int,
	size float64) {
	if s == len(b.servers) {
		b.servers = append(b.servers, server{})
	}
	h := &b.servers[s]
	if h.hash == 0 { // Its place is new, or was another's.
		hash := uint64(14695981039346656037)
		for i := range len(address) {
			hash = (hash ^ uint64(address[i])) * 1099511628211
		}
		*h = server{hash: hash, credit: 1, roomAt: now, rate: -1}
	}
	// Guards cold servers against stamps that are off: the latest start that the stamp and the telling allow.
	if started > h.stamp || b.stampError > 0 && started > 0 && started != h.stamp {
		h.stamp, h.started, h.rate = started, max(1, min(now, started+b.stampError)), -1
		h.strain, h.room, h.roomAt = 0, 0, 0
	}
	h.drains = health == Draining || h.drains && health == Gone
	h.health, h.kind, h.zone, h.cell, h.listed, h.size = health, model+1, zone, cell, true, 1
	for len(b.kinds) <= h.kind { // Of all: an attempt may end at one never called ready. Kind 0: not stated.
		b.kinds = append(b.kinds, kind{})
	}
	if size > 0 {
		// Guards keys against weights that move with load: what stays is the largest that any of a kind had.
		if k := &b.kinds[h.kind]; b.moving {
			k.size = max(k.size, size)
			size = k.size
		}
		h.size = size
	}
}

// Forget frees the place of a server that is gone, once no request has an attempt there.
func (b *Balancer) Forget(s int) { b.servers[s] = server{health: Gone} }

// Listed ends the list.
func (b *Balancer) Listed(now int64) {
	b.passes(now)
	b.held.Update(b.seen, b.out)
	b.ready, b.out, b.origin, b.size, b.warm = b.ready[:0], 0, -1, 0, 0
	b.rates, b.strains, b.heard = 0, 0, 0
	for s := range b.servers {
		h := &b.servers[s]
		if (b.scope == Whole || b.scope == Saved) && !h.listed {
			h.health = Gone
		}
		if b.open(h) && b.aside && h.kind == int(b.number("extra.originKind"))+1 {
			b.origin = s
		} else if b.open(h) {
			b.ready = append(b.ready, s)
			if h.warm = !b.cold(now, s); h.warm {
				b.warm += h.size
			}
			b.out += h.out
			b.size += h.size
			if h.rate >= 0 {
				b.rates += h.rate
				b.strains += h.strain
				b.heard++
			}
		}
	}
	b.best = append(b.best, make([]ranked, max(0, len(b.ready)-len(b.best)))...)
}

// open: the list lets a server be sent to. Where only draining binds, the list does not prove what is up.
func (b *Balancer) open(h *server) bool {
	return h.health == Ready || b.gone && h.health == Gone && h.hash != 0 && !h.drains
}

// Asked begins a request.
func (b *Balancer) Asked(now int64, i int, patience int64, class, tenant int, key uint64, keyGiven,
	write bool, predicted int64) {
	b.passes(now)
	b.requests = append(b.requests, make([]request, max(0, i+1-len(b.requests)))...)
	r, w := &b.requests[i], &b.classes[class]
	if !keyGiven {
		key = b.chance.next() // No key: any candidates are as good.
	}
	// Where clocks differ, the client may wait longer than told: attempts end when it goes; what is held ends in
	// time whatever the clocks say.
	*r = request{class: class, key: key, write: write, live: true, by: now + max(patience, b.drift),
		due: now + patience + b.drift, stop: now + patience + b.drift, width: firstWidth, missed: -1,
		attempts: r.attempts[:0], place: len(b.live)}
	if w.tardy == 0 {
		r.due = min(r.due, now+w.expected+int64(w.stretch*float64(predicted)))
	}
	b.live = append(b.live, i)
	b.tally(&b.asked)
	switch {
	case b.shares.ShouldReject(tenant, b.view(), b.chance.part):
		b.finish(now, i, OverShare)
	case !(b.aside && write) && b.busy() && b.crowded(now, r): // Aside, writes go by the caches.
		b.tally(&b.turned)
		// Guards reads against caches that slow down when crowded, while the origin has room.
		r.direct = b.aside && !write && b.origin >= 0 && float64(b.servers[b.origin].out+1) < b.room
		if !r.direct || !b.joins(now, i, keyGiven) {
			b.finish(now, i, Overloaded)
		}
	case !b.joins(now, i, keyGiven):
		b.finish(now, i, QueueFull)
	}
}

// route is the ordinary path: one of the key's candidates at random, from as many as busy answers call for.
func (b *Balancer) route(now int64, i int) {
	r, s := &b.requests[i], b.origin
	if r.direct && !r.fetching {
		b.fetch(now, i)
		return
	}
	// Guards reads that lost attempts at caches: the last one may not end as a miss, nor wait for credit not there.
	spent := len(r.attempts) > 0 && (len(r.attempts) == b.maxAttempts-1 || b.credit < 1)
	if b.aside && (r.write || r.missed >= 0 || r.direct || spent) {
		if s >= 0 && !r.write && float64(b.servers[s].out)+b.chance.part() > b.room {
			b.tally(&b.misses, &b.fails)
			b.wait(now, i, ServersBusy)
			return
		}
	} else {
		for s = b.pick(now, r); s < 0 && r.width < len(b.ready); s = b.pick(now, r) {
			r.width *= widening // None of the candidates may be sent anything: look further.
		}
	}
	switch {
	case now >= r.due:
		b.finish(now, i, DeadlineNear)
	case len(r.attempts) >= b.maxAttempts:
		b.finish(now, i, AttemptsSpent)
	case s < 0 && len(r.attempts) > 0 &&
		slices.ContainsFunc(b.ready, func(s int) bool { return b.mayReach(now, r, s) }):
		b.wait(now, i, NoCredit) // No server has credit for a further attempt: hold as at full width.
	case s < 0 || !b.maySend(now, r, s):
		b.finish(now, i, NoServer)
	default:
		b.send(now, i, s)
	}
}

func (b *Balancer) send(now int64, i, s int) {
	r, h := &b.requests[i], &b.servers[s]
	h.room--
	if s != b.origin && len(r.attempts) > 0 {
		h.credit--
		b.credit--
	}
	r.attempts = append(r.attempts, attempt{server: s, sent: now})
	h.sent.Add(b.seen, 1)
	b.sentAt = now
	b.count(r, s, 1)
	until := r.stop
	if r.strained() || b.buffers {
		until = r.due
	}
	b.host.Send(i, s, until)
	// Guards against an attempt that falls silent: it is overdue before its end.
	if overdue := now + max(b.classes[r.class].expected/2, int64(jam*b.all.each(b.seen, 0))); s != b.origin {
		if r.heldUntil = 0; overdue < until {
			r.heldUntil = overdue
			b.host.Wake(tagHeld+i, overdue-now)
		}
	}
}

// count keeps the numbers in flight.
func (b *Balancer) count(r *request, s, by int) {
	h := &b.servers[s]
	h.held.Update(b.seen, h.out)
	b.held.Update(b.seen, b.out)
	r.out += by
	h.out += by
	if b.open(h) && s != b.origin {
		b.out += by
	}
}

// usually is how many attempts are in flight at a server over time, for its size, and how long each takes; busy
// answers are others' attempts. While few tell of it, its kind tells more, by answers, as silence is its own.
func (b *Balancer) usually(s int) (load, each float64) {
	h := &b.servers[s]
	k, n := &b.kinds[h.kind], h.sent.ValueAt(b.seen)
	own := h.held.Update(b.seen, h.out) + busyCounts*h.busy.ValueAt(b.seen)
	each = (own*float64(memory)/b.pace + likeKind*k.each(b.seen, b.all.each(b.seen, 0))) / (n + likeKind)
	return own / h.size, b.filled(h, each)
}

// each is how long an attempt takes in the mean; before that is known, as long as others do.
func (k *kind) each(seen int64, others float64) float64 {
	busy := k.busy.ValueAt(seen)
	n := k.answered.ValueAt(seen) + busy + likeKind
	return (k.took.ValueAt(seen) + busy*float64(memory) + likeKind*others) / n
}

// rank puts the first width caches of a key's ranking into b.best, in its order (all: in the list's).
func (b *Balancer) rank(key uint64, width int, ordered bool) int {
	if width >= len(b.ready) && !ordered {
		for j, s := range b.ready {
			b.best[j].server = s
		}
		return len(b.ready)
	}
	n := 0
	for _, s := range b.ready {
		mix := (key ^ b.servers[s].hash) * 0x9e3779b97f4a7c15
		mix = (mix ^ mix>>32) * 0xd6e8feb86659fd93
		mix ^= mix >> 32
		score := math.Log((float64(mix>>11)+0.5)/(1<<53))/b.servers[s].size - b.away(key, s) // Larger: more keys.
		if n < width {
			n++
		} else if score <= b.best[n-1].score {
			continue
		}
		j := n - 1
		for ; j > 0 && b.best[j-1].score < score; j-- {
			b.best[j] = b.best[j-1]
		}
		b.best[j] = ranked{score, s}
	}
	return n
}

// pick takes a candidate at random and passes over one well above the mean; all over: the least loaded.
func (b *Balancer) pick(now int64, r *request) int {
	ordered := b.misses.ValueAt(b.seen) > strain*(b.reads.ValueAt(b.seen)+1)
	n := b.rank(r.key, r.width, ordered)
	mean := float64(b.out)/float64(max(1, len(b.ready))) + b.held.Update(b.seen, b.out)/max(1, b.size)
	limit := overMean*mean + overBy
	// Guards a short origin: while many reads miss, a key keeps to the cache that answered it last, then to the
	// ranking's order, to be fetched once. While the origin fails: the first of the ranking, whatever its load.
	strict := ordered && (b.scarce || b.fails.ValueAt(b.seen) > strain*(b.reads.ValueAt(b.seen)+1))
	if last := b.known[r.key%knownKeys]; ordered && !strict && last.key == r.key {
		for j := range n {
			if b.best[j].server == last.server {
				b.best[0], b.best[j] = b.best[j], b.best[0]
			}
		}
	}
	// Those in this balancer's zone go first: crossing costs. Not while the origin fails, as keys need one order
	// for all then, nor while connects fail: a lost zone is found out server by server.
	near, unreached := 0, b.unreached.ValueAt(b.seen)
	for j := 0; j < n && !strict && unreached < few*(b.good.ValueAt(b.seen)+1); j++ {
		if c := b.best[j]; b.servers[c.server].zone == b.zone || b.servers[c.server].told < 0 {
			copy(b.best[near+1:j+1], b.best[near:j])
			b.best[near] = c
			near++
		}
	}
	// Aside, a key that moves costs an attempt and a fetch of its own: only what is nearly jammed loses keys.
	slow := b.all.each(b.seen, 0)
	if b.aside {
		slow *= jam
	}
	least, last, lightest := -1, -1, 0.0
	for ; n > 0; n, near = n-1, near-1 {
		j := 0
		if !ordered {
			if j = near; near <= 0 {
				j = n
			}
			j = b.chance.below(j)
		}
		s := b.best[j].server
		copy(b.best[j:n], b.best[j+1:n])
		h := &b.servers[s]
		tried := slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.server == s })
		if !b.mayReach(now, r, s) || len(r.attempts) > 0 && min(b.credit, h.credit) < 1 ||
			tried && len(b.ready) > len(r.attempts) {
			continue
		}
		if h.told < 0 && b.classes[r.class].effect == NonIdempotent || b.doubted(s, b.chance.part) {
			if last < 0 || h.out < b.servers[last].out {
				last = s
			}
			continue
		}
		// The mean over time too: with few in flight the count of the moment does not show the slow ones.
		load, each := b.usually(s)
		load += float64(h.out)
		if r.width < len(b.ready) && each > jam*b.all.each(b.seen, 0) && h.told >= 0 {
			continue // Guards against a key that is more than its three can take: as after a busy answer.
		}
		if strict || load <= limit && math.Pow(b.chance.part(), 0.2)*each <= slow {
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

// doubted draws from the posterior of a server's chance of success, as a part of what all have: all may fail.
func (b *Balancer) doubted(s int, part func() float64) bool {
	h := &b.servers[s]
	good, bad := h.good.ValueAt(b.seen)+firstGood, h.bad.ValueAt(b.seen)+firstBad
	// Guards against dead servers that the list still shows: one failed connect tells more than one error.
	ago := float64(b.now-h.cutAt) / float64(memory)
	if h.cutAt > 0 && part() < math.Exp(-ago) || h.told > 0 && part() < h.told || h.told >= 0 && b.outages.ShouldAvoid(h.zone, b.now, part()) {
		return true
	}
	if bad < 0.6 || h.told < 0 {
		return false
	}
	n, all, normal := good+bad, b.good.ValueAt(b.seen)+firstGood, part()+part()+part()+part()-2 // of variance 1/3
	return good/n+normal*math.Sqrt(3*good*bad/(n+1))/n < doubt*all/(all+b.bad.ValueAt(b.seen)+firstBad)
}

// Avoids tells whether a server would sooner be passed by than not, as it is doubted; it draws nothing.
func (b *Balancer) Avoids(s int) bool { return b.doubted(s, func() float64 { return 0.5 }) }

func (b *Balancer) cold(now int64, s int) bool {
	return b.servers[s].started > 0 && now < b.servers[s].started+b.warmUp
}

// coldRoom is the budget of a cold server here: what warm ones answer this balancer, for their size, and the
// stated start and warm-up. Little is saved up, as all balancers may have a request for it at once.
func (b *Balancer) coldRoom(now int64, s int) float64 {
	h, toRate := &b.servers[s], b.pace*float64(second)/float64(memory)
	part := b.startPart + (1-b.startPart)*max(0, float64(now-h.started)/float64(b.warmUp))
	b.can, b.canAt = max(b.warmed.ValueAt(b.seen)*toRate, b.can*math.Exp(-float64(now-b.canAt)/float64(10*memory))), now
	top, good := coldPart*b.multiple, h.good.ValueAt(b.seen)*b.pace // What it settles proves that it can do more.
	part *= min(1, top) + max(0, top-1)*good/(good+proves*(1+h.busy.ValueAt(b.seen)+h.bad.ValueAt(b.seen)))
	share, comes := max(b.can*h.size, 0.5/b.balancers), b.asked.ValueAt(b.seen)*toRate*h.size/max(1, b.size)
	if b.can == 0 { // No warm server has answered yet: there may be none.
		share = max(share, comes)
	}
	rate := share * part * b.part
	share = max(share, comes)
	saved := max(float64(b.tipAfter)/float64(4*second), coldSaved/share)
	h.room, h.roomAt = min(h.room+rate*float64(now-h.roomAt)/float64(second), rate*saved), now
	return h.room
}

// mayReach: the rules allow an attempt there. None that drains, no cold one pushed over, no effect twice.
func (b *Balancer) mayReach(now int64, r *request, s int) bool {
	w, to, cold := &b.classes[r.class], &b.servers[s], s != b.origin && b.cold(now, s)
	if cold && to.roomAt < now && b.coldRoom(now, s) < 1 {
		to.room = math.Floor(to.room + b.chance.part()) // A part of one is let in by chance, and spent either way.
	}
	if !b.open(to) || cold && to.room < 1 {
		return false
	}
	for t := range r.attempts {
		was := &b.servers[r.attempts[t].server]
		switch {
		case r.attempts[t].ran == never:
		case w.effect == NonIdempotent, r.attempts[t].ran == running && !b.copies:
			return false
		case w.effect == Idempotent && (now-r.attempts[t].sent >= w.remembers-max(w.remembers/10, maxHoldUp)-b.span("allowed.dialTimeout") ||
			w.group == "zone" && was.zone != to.zone || w.group == "cell" && was.cell != to.cell):
			return false
		}
	}
	return true
}

// maySend is the gate before Host.Send.
func (b *Balancer) maySend(now int64, r *request, s int) bool {
	return r.live && (r.line == nil || r.turn) && now < r.stop && len(r.attempts) < b.maxAttempts &&
		b.mayReach(now, r, s)
}

// mayReject is the gate before Host.Reject: trying again must do no harm.
func (b *Balancer) mayReject(r *request) bool {
	w := &b.classes[r.class]
	return w.effect == Safe || w.effect == Idempotent && w.group == "all" ||
		!slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.ran != never })
}

// finish gives a request that is given up on its final answer, at once.
func (b *Balancer) finish(now int64, i int, why Reason) {
	r := &b.requests[i]
	reject, comeBack := b.mayReject(r), b.comeBackMost
	if comeBack > 0 { // While an answer still has value, and not all at once.
		part := (0.5 + b.chance.part()) * backPart
		comeBack = min(comeBack, int64(part*float64(b.classes[r.class].expected)))
	}
	b.drop(now, i, -1)
	if reject {
		b.host.Reject(i, why, comeBack)
	} else {
		b.host.Fail(i, why)
	}
	b.leave(now, i)
}

// drop forgets a request that has its final answer. Those that waited for its fetch go to the cache that
// holds the key now, or one of them to the origin.
func (b *Balancer) drop(now int64, i, stored int) {
	r := &b.requests[i]
	r.live = false
	last := b.live[len(b.live)-1]
	b.live[r.place], b.requests[last].place = last, r.place
	b.live = b.live[:len(b.live)-1]
	for t := range r.attempts {
		if r.attempts[t].ran == running && b.mayCancel {
			b.host.Cancel(i, t)
		}
	}
	if !r.fetching {
		return
	}
	key := r.key
	delete(b.fetches, key)
	for n := len(b.live) - 1; n >= 0; n = min(n, len(b.live)) - 1 {
		w := b.live[n]
		if r := &b.requests[w]; !r.waiting || r.key != key {
			continue
		} else if r.waiting = false; stored >= 0 && b.maySend(now, r, stored) {
			r.missed = -1
			b.send(now, w, stored)
		} else {
			b.fetch(now, w)
		}
	}
}

// fetch asks the origin for a read's key, or waits for the request that does already.
func (b *Balancer) fetch(now int64, i int) {
	r := &b.requests[i]
	if leader, out := b.fetches[r.key]; out && leader != i {
		r.waiting, r.heldUntil = true, max(now, min(r.due, r.by)-margin)
		b.host.Wake(tagHeld+i, r.heldUntil-now)
		return
	}
	b.fetches[r.key], r.fetching = i, true
	b.route(now, i)
}

// wait holds a request for a reason; the hold doubles each time and ends while an answer still has value.
func (b *Balancer) wait(now int64, i int, why Reason) {
	r := &b.requests[i]
	r.hold = max(firstHold, 2*r.hold)
	if now+r.hold >= min(r.due, r.by) || len(r.attempts) >= b.maxAttempts {
		b.finish(now, i, why)
		return
	}
	r.heldUntil = now + r.hold
	b.host.Wake(tagHeld+i, r.hold)
}

// Started says that the answer of a streamed request has begun; it is the client's now and has no hard stop.
func (b *Balancer) Started(now int64, i, t int) {
	r := &b.requests[i] // It gets no copy any more, and what still comes of it crowds no server.
	r.due, r.stop, r.heldUntil, r.attempts[t].ran = math.MaxInt64, math.MaxInt64, 0, done
	b.count(r, r.attempts[t].server, -1)
}

// Ended tells how an attempt ended. A request that has had its final answer may still have attempts that end.
func (b *Balancer) Ended(now int64, i, t, s, note int, how Outcome, took int64, noMore bool) {
	b.passes(now)
	r := &b.requests[i]
	if r.attempts[t].ran == running {
		b.count(r, s, -1)
	}
	r.over++
	switch how {
	case OK:
		r.attempts[t].ran = done
	case Full, Unreached, Unsent, Missing:
		r.attempts[t].ran = never
	default:
		r.attempts[t].ran = perhaps
	}
	if h := &b.servers[s]; how == Unreached {
		b.tally(&b.unreached)
		// Guards servers that broke attempts, take no connection and come back cold before the list tells; and the
		// others against what may have brought it on: more in flight than one bears.
		if h.broke += min(1, h.broke); h.broke > brokeFor {
			h.started, h.room, h.roomAt = now, 0, 0
			if h.broke == brokeFor+1 && now > b.brokeAt+second/2 {
				b.bears, b.brokeAt = max(leastBorne, b.bears*0.7), now
			}
		}
		h.cutAt = now
	} else if how == Reset {
		h.broke = max(1, h.broke)
	}
	b.learn(now, r, s, note, how, took)
	if how == Missing && r.missed < 0 {
		r.missed = s
	}
	b.paces(now, r, how, took)
	switch {
	case !r.live:
	case noMore && how == OK:
		b.drop(now, i, r.missed)
	case noMore:
		b.drop(now, i, -1)
	case r.out > 0 || r.due == math.MaxInt64: // Another attempt may still answer, or does.
	case how == TimedOut || how == Unsent && b.drift > 0, // The client has gone, whatever was told.
		now >= r.stop || s == b.origin && how != Full && how != Unreached,
		how == Errored && (r.strained() || b.fails.ValueAt(b.seen) > strain*b.reads.ValueAt(b.seen)): // As the next.
		b.finish(now, i, AttemptFailed)
	case how == Missing:
		b.fetch(now, i)
	case s == b.origin, how == Full && r.width >= len(b.ready): // A short origin takes no more connections.
		b.wait(now, i, ServersBusy)
	case how == Full:
		r.width *= widening
		b.route(now, i)
	default:
		b.route(now, i)
	}
	b.leave(now, i)
}

// learn takes from an outcome what it tells about the server, the fleet and the origin.
func (b *Balancer) learn(now int64, r *request, s, note int, how Outcome, took int64) {
	h, w := &b.servers[s], &b.classes[r.class]
	well := how == OK || how == Missing
	poor := !well || how == OK && float64(took) > late*float64(w.expected)
	if how == Cancelled && !r.live || r.strained() {
		return // What holds its key up is no server's fault.
	}
	b.suspects(now, r, s, how)
	silent := how == Unreached || how == TimedOut // That tells of the server or its zone, not of load.
	if silent {
		b.outages.RecordFailure(h.zone, s, now)
	} else if how != Cancelled && how != Unsent && how != Reset && s != b.origin {
		b.outages.RecordResponse(h.zone, now)
	}
	if well {
		h.cutAt, h.broke, h.credit = 0, 0, min(maxCredit, h.credit+perAnswer)
		b.credit = min(maxCredit, b.credit+perAnswer)
		b.tally(&h.good)
	} else if how != Full && how != Unsent {
		b.tally(&h.bad) // Quick errors too: a server that fails fast never looks busy.
	}
	if poor && !silent {
		b.tally(&b.poor)
	} else if !poor {
		b.tally(&b.fine)
	}
	b.shares.RecordOutcomes(b.fine.ValueAt(b.seen), b.poor.ValueAt(b.seen))
	switch {
	// Guards writes against reads that crowd a short origin: the reads' room gives way and comes back.
	case s == b.origin && !r.write && how == OK && took < w.expected/2:
		b.room += 1 / max(1, b.room)
	case s == b.origin && !r.write:
		b.room = max(leastRoom, b.room*0.8)
		b.tally(&b.misses)
	case s == b.origin:
	case well:
		b.tally(&b.good)
		if h.warm {
			b.warmed.Add(b.seen, 1/max(1, b.warm))
		}
	case how == Full:
		b.tally(&h.busy, &b.all.busy, &b.kinds[h.kind].busy)
	case how != Unsent:
		b.tally(&b.bad)
	}
	if s == b.origin || !well && how != Errored {
		return
	}
	if how == OK {
		b.tally(&b.settled)
		b.took.Add(b.seen, float64(took))
		// The least mean of late: what attempts take while nothing is crowded.
		b.usual = min(b.took.ValueAt(b.seen)/b.settled.ValueAt(b.seen), b.usual*usualGrows)
		k := &b.known[r.key%knownKeys]
		if k.key != r.key {
			*k = read{key: r.key}
		}
		k.server = s
	}
	for _, k := range [2]*kind{&b.all, &b.kinds[h.kind]} {
		k.answered.Add(b.seen, 1)
		k.took.Add(b.seen, float64(took))
	}
	if how == Missing {
		b.tally(&b.lacked)
	}
	if !r.write {
		b.tally(&b.reads)
		if how != OK || note > 1 {
			b.tally(&b.misses)
			if poor {
				b.tally(&b.fails)
			}
		}
	}
}

// busy tells whether caches are, as far as they report: attempts that hang at dead ones crowd nobody.
func (b *Balancer) busy() bool { return !b.tells || b.heard == 0 || b.strains > maxIdle*b.heard }

// crowded tells by Little's law that a new attempt would wait too long at the rate of answers, misses left out.
// Guards against queues that make all answers late: once full they stay full of work that nobody wants.
func (b *Balancer) crowded(now int64, r *request) bool {
	w := &b.classes[r.class]
	young := math.Exp(-float64(now-b.began) / float64(memory)) // Before it knows its rate: some for each server.
	hanging, silent := b.hanging()
	free := 1 + float64(len(b.ready)-silent)*(1+youngRoom*young)/b.balancers
	seen := 1 - math.Exp(-float64(b.seen+second/4)/float64(memory))
	rate := (b.all.answered.ValueAt(b.seen) - b.lacked.ValueAt(b.seen)) / seen / float64(memory) * b.pace
	part := crowd
	if !r.write && b.known[r.key%knownKeys].key != r.key {
		// It would most likely miss: it goes first, but keys must stay known, or all would be turned away for good.
		part *= max(leastPart, 1-b.turned.ValueAt(b.seen)/(b.asked.ValueAt(b.seen)+1))
	}
	full := b.all.busy.ValueAt(b.seen) / (b.all.answered.Value + b.all.busy.Value + 1)
	room := (1 - full) * b.bears * (free + (1-full)*rate*(b.usual+part*max(0, float64(w.expected)-b.usual)))
	// The root is slack for chance: small counts vary most. Where nothing was sent for long, one tells how things are.
	return float64(b.out-hanging) > room+math.Sqrt(room) && now < b.sentAt+w.expected
}

// hanging counts the servers of zones that seem lost, and others that do not answer while most do, and what is in
// flight there: that crowds nobody.
func (b *Balancer) hanging() (out, servers int) {
	unreachedOut, unreached := 0, 0
	for _, s := range b.ready {
		switch h := &b.servers[s]; {
		case b.outages.IsSuspected(h.zone):
			out, servers = out+h.out, servers+1
		case h.cutAt > 0:
			unreachedOut, unreached = unreachedOut+h.out, unreached+1
		}
	}
	if unreached <= (len(b.ready)-servers)/2 {
		out, servers = out+unreachedOut, servers+unreached
	}
	return out, servers
}

// view is what is known of this balancer's part of all traffic; load reports tell more than it could see itself.
func (b *Balancer) view() quota.Traffic {
	view := quota.Traffic{Now: b.seen, WindowSeconds: float64(memory) / b.pace / float64(second), EvenShare: 1 / b.balancers}
	if all := b.rates / b.heard * float64(len(b.ready)); all > 0 {
		view.TrafficShare = (b.good.ValueAt(b.seen) + math.Sqrt(b.good.Value+1)) / (all * view.WindowSeconds)
	}
	return view
}

// Aborted says that the client has gone.
func (b *Balancer) Aborted(now int64, i int) {
	if b.requests[i].live {
		b.drop(now, i, -1)
	}
	b.leave(now, i)
}

// Expire gives a request its final answer now, whatever it waits for, as the process ends. One whose answer has begun goes on.
func (b *Balancer) Expire(now int64, i int) {
	b.passes(now)
	if r := &b.requests[i]; r.live && r.due != math.MaxInt64 {
		b.finish(now, i, DeadlineNear)
	}
}

// Woke says that a timer has come due.
func (b *Balancer) Woke(now int64, tag int) {
	b.passes(now)
	switch {
	case tag == tagList:
		b.host.Subscribe()
	case tag-tagHeld < len(b.requests):
		if r := &b.requests[tag-tagHeld]; r.live && r.line != nil && !r.turn {
			b.waited(now, tag-tagHeld)
		} else if r.live && r.heldUntil > 0 && r.heldUntil <= now {
			if r.heldUntil = 0; r.waiting { // The fetch did not come: its answer may not wait any longer.
				b.finish(now, tag-tagHeld, DeadlineNear)
				return
			}
			if r.out == 0 {
				b.route(now, tag-tagHeld)
			} else {
				b.hedge(now, tag-tagHeld)
			}
		}
	}
}

// hedge sends a second copy, paid from credit, for an attempt that is far overdue: few where the origin or the
// fleet may be slow, any from a zone that seems lost.
func (b *Balancer) hedge(now int64, i int) {
	r, asked := &b.requests[i], b.asked.ValueAt(b.seen)
	silent := r.attempts[len(r.attempts)-1].server
	overdue := &b.servers[silent]
	b.outages.RecordFailure(overdue.zone, silent, now)
	overdue.cutAt = now
	lost := b.outages.IsSuspected(overdue.zone)
	if !lost {
		b.tally(&b.overdue)
	}
	few := b.overdue.Value < maxOverdue*asked && b.turned.ValueAt(b.seen) < maxOverdue/4*asked
	if !b.copies || b.classes[r.class].effect == NonIdempotent || r.strained() || !few && !lost {
		return
	}
	if s := b.pick(now, r); s >= 0 && now < r.due && b.maySend(now, r, s) {
		overdue.bad.Add(b.seen, 1)
		b.send(now, i, s)
	}
}

// Heard sets what others' word takes from a server's chance; under 0: it is this one's turn to try it.
func (b *Balancer) Heard(s int, part float64) { b.servers[s].told = part }

// Reported takes a server's load report, its figures in the order of the settings; NaN for those that it lacks.
func (b *Balancer) Reported(now int64, s int, load []float64) {
	h := &b.servers[s]
	if !b.open(h) || s == b.origin {
		return
	}
	if h.rate < 0 {
		h.rate = 0
		b.heard++
	}
	b.rates, b.strains = b.rates-h.rate, b.strains-h.strain
	for i, x := range load {
		switch what := b.figures[i]; {
		case math.IsNaN(x):
		case what == "served_ps":
			h.rate = x
		case what == "cpu_share":
			h.strain = min(1, x)
		case what == "pending":
			h.strain = x / (x + 1)
		}
	}
	b.rates, b.strains = b.rates+h.rate, b.strains+h.strain
}
