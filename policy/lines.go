package policy

import (
	"math"
	"slices"
)

// Lines of keys: requests of a key that take turns, in the order in which they came. Each key has its own,
// so that none delays another's, and a line takes no more than can have their turn while an answer has value.

const (
	maxWaiting = 256 // in one line, however quick it is
	strained   = 4.6 // the odds, as a logarithm, by which a key is held up
	heldUp     = 0.9 // of its attempts fail then
	wellAgain  = 4.0 // room of a line that nobody needs
)

type lineKey struct {
	key     uint64
	inOrder bool
}

// line is of one key. Those that wait have had no attempt.
type line struct {
	waiting          []int
	under            int     // had their turn and are not over, or have an attempt without an outcome
	rests            int64   // nobody's turn comes before
	room             float64 // how many may be under way
	each             float64 // how long a turn takes
	turning, inOrder bool
}

// joins lets a request go or puts it into the line of its key; false if its turn would come too late.
func (b *Balancer) joins(now int64, i int, keyGiven bool) bool {
	r := &b.requests[i]
	at := lineKey{r.key, keyGiven && b.classes[r.class].inOrder}
	l := b.lines[at]
	if l == nil && at.inOrder {
		l = b.newLine(now, at)
	}
	if l == nil || !l.inOrder && l.idle(now-10*memory) {
		b.route(now, i)
		return true
	}
	last, ahead := min(r.due, r.by)-margin, float64(len(l.waiting)+l.under)
	if len(l.waiting) >= maxWaiting || max(now, l.rests)+int64(ahead*l.each/l.room) >= last {
		return false
	}
	r.line, l.waiting = l, append(l.waiting, i)
	b.host.Wake(tagHeld+i, max(0, last-now))
	b.turns(now, l)
	return true
}

// newLine makes room first: of those that nobody stands in none is kept for long.
func (b *Balancer) newLine(now int64, at lineKey) *line {
	for k, l := range b.lines {
		if len(b.lines) > 64+2*len(b.live) && l.idle(now) {
			delete(b.lines, k)
		}
	}
	b.lines[at] = &line{room: 1, inOrder: at.inOrder, rests: now}
	return b.lines[at]
}

func (l *line) idle(now int64) bool { return l.under == 0 && len(l.waiting) == 0 && now >= l.rests }

// turns lets those go whose turn it is. One that ends at once makes room for the next.
func (b *Balancer) turns(now int64, l *line) {
	for !l.turning && len(l.waiting) > 0 && float64(l.under) < l.room {
		i := l.waiting[0]
		if now < l.rests {
			b.host.Wake(tagHeld+i, l.rests-now)
			return
		}
		l.waiting, l.under = slices.Delete(l.waiting, 0, 1), l.under+1
		l.turning, b.requests[i].turn = true, true
		b.route(now, i)
		l.turning = false
	}
}

// waited: a timer of one in line has come due, for its turn or for its answer.
func (b *Balancer) waited(now int64, i int) {
	r := &b.requests[i]
	if b.turns(now, r.line); r.live && !r.turn && now >= min(r.due, r.by)-margin {
		b.finish(now, i, QueueFull)
	}
}

// strained tells whether a request's key is held up wherever it goes.
func (r *request) strained() bool { return r.line != nil && !r.line.inOrder }

// suspects gathers what speaks for a key held up behind all servers: its attempts fail at one after the other.
func (b *Balancer) suspects(now int64, r *request, s int, how Outcome) {
	k, poor := &b.known[r.key%knownKeys], b.poor.ValueAt(b.seen)
	poor = (poor + 0.1) / (poor + b.fine.ValueAt(b.seen) + 1)
	switch {
	case how == OK && k.key == r.key:
		k.strain = max(0, k.strain+math.Log((1-heldUp)/(1-poor)))
	case how != Errored && how != TimedOut:
	case k.key != r.key:
		*k = read{key: r.key, server: -1, failed: s, strain: min(strained/2, math.Log(heldUp/poor))}
	case k.failed != s:
		k.failed = s
		k.strain += min(strained/2, math.Log(heldUp/poor))
		if at := (lineKey{r.key, false}); k.strain >= strained && b.lines[at] == nil {
			k.strain = 0
			b.newLine(now, at)
		}
	}
}

// paces has the key of an attempt that may still run rest for as long as the settings say, and one that is held
// up take as many turns as are answered soon.
func (b *Balancer) paces(now int64, r *request, how Outcome, took int64) {
	l := r.line
	switch {
	case l == nil:
	case l.inOrder && (how == TimedOut || how == Reset || how == Cancelled):
		l.rests = max(l.rests, now+b.settles)
	case l.inOrder || how != OK && how != Errored && how != TimedOut:
	case how == OK && took < b.classes[r.class].expected/2:
		l.room += 1 / max(1, l.room)
	default:
		l.room = max(1.0/16, l.room*0.7)
	}
}

// leave takes a request that is over out of its line, once each of its attempts has ended.
func (b *Balancer) leave(now int64, i int) {
	r, l := &b.requests[i], b.requests[i].line
	if l == nil || r.live || r.over < len(r.attempts) {
		return
	}
	r.line = nil
	if r.turn {
		l.under--
	} else if at := slices.Index(l.waiting, i); at >= 0 {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
	if len(r.attempts) > 0 {
		l.each += (float64(now-r.attempts[0].sent) - l.each) / 4
	}
	if l.rests = max(l.rests, now); l.room < 1 {
		l.rests = now + int64(l.each*(1/l.room-1))
	} else if l.room >= wellAgain && len(l.waiting) == 0 && !l.inOrder {
		delete(b.lines, lineKey{r.key, false})
	}
	b.turns(now, l)
}
