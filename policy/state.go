package policy

import (
	"errors"
	"fmt"
	"math"
)

// What a balancer learnt, out and in. Nothing is decided here: Learnt copies what the module knows, Learn lays it into
// a module that has just begun and knows its list. Requests and attempts are not in it, and so nothing in it can prove that a
// attempt may go again.

// Bounds of what is taken.
const (
	maxHosts = 1 << 16
	maxKinds = 1 << 12
)

// Sum is one that decays: its value, and how long before the clock of evidence read Seen it was brought up to date.
type Sum struct {
	_     struct{} `cbor:",toarray"`
	Value float32
	Age   int64
}

// KindState is what was learnt of the servers of one kind, or of all.
type KindState struct {
	_                    struct{} `cbor:",toarray"`
	Answered, Took, Busy Sum
	Size                 float64
}

// ServerState is what was learnt of a server, known by its hash.
type ServerState struct {
	_                           struct{} `cbor:",toarray"`
	Hash                        uint64
	Started                     int64
	Held, Sent, Good, Bad, Busy Sum
	Credit                      float32
	CutAt                       int64
	Rate, Strain                float32
}

// State is what a balancer learnt. Times are of its clock at Now; ages are of its clock of evidence at Seen.
type State struct {
	_                                     struct{} `cbor:",toarray"`
	Now, Began, Seen                      int64
	Pace                                  float64
	Held, Good, Bad, Warmed               Sum
	Reads, Misses, Fails, Fine, Poor      Sum
	Asked, Turned, Lacked, Settled, Took  Sum
	Unreached, Overdue                    Sum
	Credit, Usual, Admit, OriginRoom, Can float64
	CanAt                                 int64
	All                                   KindState
	Kinds                                 []KindState
	Tenants                               []Sum
	Servers                               []ServerState
	Keys                                  []uint64 // read lately
	Places                                []uint32 // and where, in Servers
}

// scalars are the sums that stand alone, in the order of State's.
func (b *Balancer) scalars() [15]*sum {
	return [15]*sum{&b.good, &b.bad, &b.warmed, &b.reads, &b.misses, &b.fails, &b.fine, &b.poor, &b.asked, &b.turned,
		&b.lacked, &b.settled, &b.took, &b.unreached, &b.overdue}
}

func (s *State) scalars() [15]*Sum {
	return [15]*Sum{&s.Good, &s.Bad, &s.Warmed, &s.Reads, &s.Misses, &s.Fails, &s.Fine, &s.Poor, &s.Asked, &s.Turned,
		&s.Lacked, &s.Settled, &s.Took, &s.Unreached, &s.Overdue}
}

func (b *Balancer) sumOut(s sum) Sum {
	return Sum{Value: float32(max(0, s.Value)), Age: max(0, b.seen-s.UpdatedAt)}
}

func (b *Balancer) sumIn(s Sum) sum { return sum{Value: float64(s.Value), UpdatedAt: b.seen - s.Age} }

func (b *Balancer) kindOut(k *kind) KindState {
	return KindState{Answered: b.sumOut(k.answered), Took: b.sumOut(k.took), Busy: b.sumOut(k.busy), Size: k.size}
}

func (b *Balancer) kindIn(k KindState) kind {
	return kind{answered: b.sumIn(k.Answered), took: b.sumIn(k.Took), busy: b.sumIn(k.Busy), size: k.Size}
}

// Learnt puts what the module knows into s, whose room is used again.
func (b *Balancer) Learnt(now int64, s *State) {
	b.passes(now)
	servers, keys, places, kinds, tenants := s.Servers[:0], s.Keys[:0], s.Places[:0], s.Kinds[:0], s.Tenants[:0]
	*s = State{Now: now, Began: b.began, Seen: b.seen, Pace: b.pace, Held: b.sumOut(sum(b.held)), Credit: b.credit, Usual: b.usual,
		Admit: b.shares.AdmittedFraction(), OriginRoom: b.room, Can: b.can, CanAt: b.canAt, All: b.kindOut(&b.all)}
	for n, own := range b.scalars() {
		*s.scalars()[n] = b.sumOut(*own)
	}
	for k := range b.kinds {
		kinds = append(kinds, b.kindOut(&b.kinds[k]))
	}
	for _, asked := range b.shares.RequestCounts() {
		tenants = append(tenants, b.sumOut(asked))
	}
	placed := make([]uint32, 0, len(b.servers))
	for i := range b.servers {
		h := &b.servers[i]
		placed = append(placed, uint32(len(servers)))
		if h.hash == 0 || h.health == Gone {
			placed[i] = maxHosts
			continue
		}
		servers = append(servers, ServerState{Hash: h.hash, Started: h.started, Held: b.sumOut(sum(h.held)), Sent: b.sumOut(h.sent),
			Good: b.sumOut(h.good), Bad: b.sumOut(h.bad), Busy: b.sumOut(h.busy), Credit: float32(h.credit), CutAt: h.cutAt,
			Rate: float32(h.rate), Strain: float32(h.strain)})
	}
	for _, r := range b.known {
		if r.key != 0 && r.server >= 0 && r.server < len(placed) && placed[r.server] != maxHosts {
			keys, places = append(keys, r.key), append(places, placed[r.server])
		}
	}
	s.Servers, s.Keys, s.Places, s.Kinds, s.Tenants = servers, keys, places, kinds, tenants
}

var errForm = errors.New("not what a module writes")

func fair(xs ...float64) bool {
	for _, x := range xs {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return false
		}
	}
	return true
}

func (s Sum) fair() bool { return fair(float64(s.Value)) && s.Age >= 0 }

func (k KindState) fair() bool {
	return k.Answered.fair() && k.Took.fair() && k.Busy.fair() && fair(k.Size)
}

// Check tells whether this can be what a module wrote: nothing of it may lead the module astray or out of bounds.
func (s *State) Check() error {
	good := fair(s.Pace, s.Credit, s.Usual, s.Admit, s.OriginRoom, s.Can) && s.Pace > 0 && s.Pace <= 1 && s.Usual > 0 && s.Admit <= 1 &&
		s.Credit <= maxCredit && s.Seen >= 0 && s.Began > 0 && s.Began <= s.Now && s.CanAt <= s.Now && s.Held.fair() && s.All.fair()
	for _, sum := range s.scalars() {
		good = good && sum.fair()
	}
	for _, k := range s.Kinds {
		good = good && k.fair()
	}
	for _, t := range s.Tenants {
		good = good && t.fair()
	}
	for n := range s.Servers {
		h := &s.Servers[n]
		good = good && h.Held.fair() && h.Sent.fair() && h.Good.fair() && h.Bad.fair() && h.Busy.fair() && h.CutAt <= s.Now &&
			fair(float64(h.Credit), float64(h.Strain), float64(h.Rate)+1) && h.Credit <= maxCredit
	}
	switch {
	case !good:
		return errForm
	case len(s.Servers) > maxHosts, len(s.Kinds) > maxKinds, len(s.Keys) > knownKeys, len(s.Keys) != len(s.Places):
		return fmt.Errorf("%w: %d hosts, %d kinds, %d keys, %d places", errForm, len(s.Servers), len(s.Kinds), len(s.Keys), len(s.Places))
	}
	for _, place := range s.Places {
		if int(place) >= len(s.Servers) {
			return errForm
		}
	}
	return nil
}

// Learn lays what was learnt, so long ago, into a module that has just been told its list and has decided nothing. s has
// been checked. It tells how many servers of the list were known.
func (b *Balancer) Learn(now int64, s *State, ago int64) (known int) {
	shift := now - ago - s.Now // Guards against a system's clock that stepped between the two.
	at := func(then int64) int64 { return min(now, then+shift) }
	b.seen, b.pace, b.now = s.Seen, s.Pace, now
	b.began, b.held = at(s.Began), held(b.sumIn(s.Held))
	b.credit, b.usual, b.room, b.can, b.canAt = s.Credit, s.Usual, s.OriginRoom, s.Can, at(s.CanAt)
	for n, own := range b.scalars() {
		*own = b.sumIn(*s.scalars()[n])
	}
	b.all = b.kindIn(s.All)
	for k := range min(len(b.kinds), len(s.Kinds)) {
		b.kinds[k] = b.kindIn(s.Kinds[k])
	}
	asked := make([]sum, len(s.Tenants))
	for t := range s.Tenants {
		asked[t] = b.sumIn(s.Tenants[t])
	}
	b.shares.Restore(s.Admit, asked)
	byHash := make(map[uint64]int, len(b.servers))
	for i := range b.servers {
		byHash[b.servers[i].hash] = i
	}
	places := make([]int, len(s.Servers))
	for n := range s.Servers {
		from := &s.Servers[n]
		i, listed := byHash[from.Hash]
		if places[n] = -1; !listed || from.Hash == 0 || from.Started < b.servers[i].started {
			continue // Gone; or it has restarted since, and is cold: nothing that was learnt holds.
		}
		h := &b.servers[i]
		places[n], known = i, known+1
		h.started = from.Started // The list may be the older news.
		h.held, h.sent, h.good, h.bad, h.busy = held(b.sumIn(from.Held)), b.sumIn(from.Sent), b.sumIn(from.Good), b.sumIn(from.Bad),
			b.sumIn(from.Busy)
		h.credit, h.rate, h.strain = float64(from.Credit), float64(from.Rate), float64(from.Strain)
		if h.cutAt = 0; from.CutAt > 0 {
			h.cutAt = at(from.CutAt)
		}
		h.room, h.roomAt = 0, now // What was saved for a cold one may be spent by the process that saved it.
	}
	for n, key := range s.Keys {
		if place := places[s.Places[n]]; place >= 0 {
			b.known[key%knownKeys] = read{key: key, server: place}
		}
	}
	b.seen += int64(float64(ago) * s.Pace) // All that was learnt has faded over the gap as it would have.
	b.Listing(now, Incremental)
	b.Listed(now)
	return known
}

// Quota sets a tenant's, in requests a second, for all balancers together.
func (b *Balancer) Quota(tenant int, rps float64) { b.shares.SetQuota(tenant, rps) }

// Portion sets which part of what all balancers may do is this one's, in place of an even one of those that the settings state.
func (b *Balancer) Portion(part float64) { b.balancers = 1 / min(1, max(part, 1e-6)) }

// Scarce sets whether all balancers agree that reads miss: a key keeps to one order for all then, to be fetched once.
func (b *Balancer) Scarce(is bool) { b.scarce = is }

// Leave sets which part of the keys does not go to a zone's servers now. Keys that come back are free of where they were read last: else
// they would stay there for as long as many reads miss. For the time of fills after the last step its servers are not passed over as slow: their
// answers are fetches, and a cache that is passed over for that never fills.
func (b *Balancer) Leave(zone int, part float64, fills int64) {
	was := 0.0
	for s := range b.servers {
		if h := &b.servers[s]; h.zone == zone && h.hash != 0 {
			if was = max(was, h.left); part > 0 || h.left > 0 {
				h.fills = b.now + fills
			}
			h.left = part
		}
	}
	if part >= was {
		return
	}
	for n := range b.known {
		if p := partOf(b.known[n].key); p >= part && p < was {
			b.known[n] = read{}
		}
	}
}

// filled is how long an attempt takes at a server, but no longer than elsewhere while its cache fills.
func (b *Balancer) filled(h *server, each float64) float64 {
	if b.now < h.fills {
		return min(each, b.all.each(b.seen, 0))
	}
	return each
}

// partOf is where a key stands among all, 0 to 1: the same for all balancers.
func partOf(key uint64) float64 { return float64(key*0x9e3779b97f4a7c15>>11) / (1 << 53) }

// away is what sets a server last in a key's ranking, while the key does not go to its zone. One that this balancer has the turn to try is ranked as ever.
func (b *Balancer) away(key uint64, s int) float64 {
	if h := &b.servers[s]; h.left > 0 && h.told >= 0 && partOf(key) < h.left {
		return math.Inf(1)
	}
	return 0
}

// Share sets which part of the balancer's attempts this process sends: its part of what cold servers may be sent.
func (b *Balancer) Share(part float64) { b.part = part }
