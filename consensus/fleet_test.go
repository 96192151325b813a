package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

// Most is a bound on the processes of all towns here but the largest, for which measurements set it.
var terms = LeaseTiming{LeaseDuration: 1800 * time.Millisecond, ClockRateError: 0.01, MaxPause: 0, MaxMembers: 12}

// A town is a fleet under one true clock: processes with clocks of their own rate, a network that loses, delays, repeats and cuts, and
// the rules looked at after every step.
type town struct {
	t        testing.TB
	chance   *rand.Rand
	now      int64
	procs    []*proc
	queue    flights
	sent     uint64
	bytes    uint64
	bySender map[int]uint64
	cut      map[[2]int]bool
	loss     float64
	repeats  float64
	slow     int64 // the longest delay
	step     int
	looked   int64
	ids      int
	changes  map[string]Proposal
	settled  map[string]uint64 // proposals that were answered with a version
	refused  map[string]bool   // that were answered with a sure no
	digests  map[uint64]string // of versions, as somebody had them
	heard    []moment          // by version: when it was acted on first, as the latest and as the floor
	worst    int64             // the longest contradiction so far
	most     float64           // the largest sum of parts that all acted on
	broken   string            // the first rule broken
	unsafe   func(k *Replica)  // takes a part out
	forget   bool              // keepers do not write their votes
	blind    bool              // leases are not looked at again
	trace    *trace            // nil: not hashed
}

type moment struct{ latest, floor int64 }

type proc struct {
	town           *town
	n              int
	name           string
	rate           float64
	base, baseTrue int64 // its clock
	keeper         *Replica
	holder         *LeaseHolder
	disk           *disk
	keeps          bool // a keeper's state lasts
	down           bool
	stopped        bool
	buffer         []flight
	looked         [3]uint64 // life, floor and latest when the rules were looked at
	life           uint64
	waiting        map[string]bool
	ticketed       map[string]bool
}

type flight struct {
	at       int64
	n        uint64
	from, to int
	bytes    []byte
}

type flights []flight

func (f flights) Len() int { return len(f) }
func (f flights) Less(i, j int) bool {
	return f[i].at < f[j].at || f[i].at == f[j].at && f[i].n < f[j].n
}
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)   { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// fly puts a message on its way.
func (w *town) fly(after int64, from, to int, bytes []byte) {
	w.sent++
	w.bytes += uint64(len(bytes))
	w.bySender[from] += uint64(len(bytes))
	heap.Push(&w.queue, flight{w.now + after, w.sent, from, to, bytes})
}

// disk is a Lasting that a crash leaves.
type disk struct {
	records [][]byte
	forget  bool // votes are not written
	trace   *trace
}

func (d *disk) Append(records [][]byte) error {
	d.trace.add(1, records)
	for _, r := range records {
		var as record
		if d.forget && strict.Unmarshal(r, &as) == nil && as.Hard != nil {
			continue
		}
		d.records = append(d.records, slices.Clone(r))
	}
	return nil
}

func (d *disk) Replace(records [][]byte) error {
	d.trace.add(2)
	d.records = nil
	return d.Append(records)
}

func (p *proc) clock() int64 { return p.base + int64(float64(p.town.now-p.baseTrue)*p.rate) }

// Send puts a message on its way, in its packed form.
func (p *proc) Send(to string, m *Message) {
	t := p.town
	t.trace.add(3, t.now, p.n, to, withoutPart(m))
	dest := slices.IndexFunc(t.procs, func(q *proc) bool { return q.name == to })
	if dest < 0 {
		return
	}
	if dest == p.n {
		t.fly(0, p.n, dest, m.Marshal())
		return
	}
	for range 2 {
		if !t.cut[[2]int{p.n, dest}] && t.chance.Float64() >= t.loss {
			t.fly(ms/10+t.chance.Int64N(t.slow), p.n, dest, m.Marshal())
		}
		if t.chance.Float64() >= t.repeats {
			break
		}
	}
}

func newTown(t testing.TB, seed uint64, keepers, others int, disks bool) *town {
	w := &town{t: t, chance: rand.New(rand.NewPCG(seed, 7)), now: 1e12, looked: 1e12, cut: map[[2]int]bool{}, slow: 3 * ms, settled: map[string]uint64{},
		refused: map[string]bool{}, bySender: map[int]uint64{}, changes: map[string]Proposal{}, digests: map[uint64]string{}}
	for n := range keepers + others {
		p := &proc{town: w, n: n, name: fmt.Sprintf("b%d", n), rate: 1 + terms.ClockRateError*(2*w.chance.Float64()-1), base: w.chance.Int64N(1e15),
			keeps: disks, waiting: map[string]bool{}, ticketed: map[string]bool{}}
		w.procs = append(w.procs, p)
	}
	for n := range w.procs {
		w.start(n, n < keepers, keepers)
	}
	return w
}

// start begins a process, with what lasts of it.
func (w *town) start(n int, keeps bool, keepers int) {
	p := w.procs[n]
	p.baseTrue, p.base = w.now, p.base+w.chance.Int64N(1e9)
	p.life++
	life := uint64(n+1)<<32 | p.life
	names := make([]string, keepers)
	for i := range names {
		names[i] = w.procs[i].name
	}
	p.holder = NewLeaseHolder(p.clock(), p.name, life, terms, names, p, w.chance.IntN)
	if keeps {
		if p.disk == nil || !p.keeps {
			p.disk = &disk{forget: w.forget}
		}
		p.disk.trace = w.trace
		k, err := NewReplica(p.clock(), p.name, life, terms, names, p.disk.records, p.disk, p, w.chance.IntN)
		if err != nil {
			w.t.Fatalf("step %d: %v", w.step, err)
		}
		p.keeper = k
	}
	p.down, p.stopped, p.buffer = false, false, nil
}

// one plays one thing: a message that arrives, or time that passes.
func (w *town) one() {
	w.step++
	if len(w.queue) == 0 || w.queue[0].at > w.looked+10*ms {
		w.looked += 10 * ms
		w.now = max(w.now, w.looked)
		for _, p := range w.procs {
			p.look()
		}
	} else {
		f := heap.Pop(&w.queue).(flight)
		w.now = max(w.now, f.at)
		if q := w.procs[f.to]; q.stopped && len(q.buffer) < 64 {
			q.buffer = append(q.buffer, f)
		} else if !q.stopped && !q.down && !w.cut[[2]int{f.from, f.to}] {
			q.hear(f.bytes)
		}
	}
	w.rules()
}

func (p *proc) look() {
	if p.down || p.stopped {
		return
	}
	now := p.clock()
	if p.keeper != nil {
		if p.town.unsafe != nil {
			p.town.unsafe(p.keeper)
		}
		p.keeper.Tick(now)
	}
	p.holder.RequestRate = p.rateOf()
	p.holder.Tick(now)
}

// rateOf is the traffic that comes to a process: it changes, and one may lie.
func (p *proc) rateOf() float64 {
	rate := float64(1 + (p.town.step/5000+p.n*7)%9*50)
	if p.n == 1 {
		return 100 * rate
	}
	return rate
}

func (p *proc) hear(bytes []byte) {
	m, err := UnmarshalMessage(bytes)
	if err != nil {
		p.town.t.Fatalf("step %d: %v", p.town.step, err)
	}
	switch now := p.clock(); {
	case m.LeaseResponse != nil:
		p.holder.HandleLeaseResponse(now, m.LeaseResponse)
	case m.ProposalResult != nil:
		p.outcome(m.From, m.ProposalResult)
	case p.keeper != nil:
		if p.town.unsafe != nil {
			p.town.unsafe(p.keeper)
		}
		p.keeper.HandleMessage(now, m)
	}
}

func (p *proc) outcome(from string, o *ProposalResult) {
	t := p.town
	switch {
	case o.Ticket != nil:
		if c, waits := t.changes[o.ID]; waits && p.waiting[o.ID] {
			p.ticketed[o.ID] = true
			p.Send(from, &Message{From: p.name, Proposal: &c, Ticket: o.Ticket})
		}
		return
	case o.Revision != 0:
		t.settled[o.ID] = o.Revision
	case o.IsFinal && (!p.ticketed[o.ID] || !strings.HasPrefix(o.Reason, "nobody leads")):
		t.refused[o.ID] = true // Nobody leads: sure as long as nobody was sent it with a ticket.
	}
	delete(p.waiting, o.ID)
}

// propose asks a keeper to accept a change.
func (w *town) propose(from, to int, c Proposal) string {
	w.ids++
	c.ID = fmt.Sprintf("p%d", w.ids)
	if p := w.procs[from]; !p.down && !p.stopped {
		p.waiting[c.ID], w.changes[c.ID] = true, c
		p.Send(w.procs[to].name, &Message{From: p.name, Proposal: &c})
	}
	return c.ID
}

// rules looks at what all act on. Contradictions are counted between processes under leases.
func (w *town) rules() {
	fail := func(format string, with ...any) {
		if w.broken == "" {
			w.broken = fmt.Sprintf("step %d: ", w.step) + fmt.Sprintf(format, with...)
		}
	}
	parts := 0.0
	for _, p := range w.procs {
		if p.down {
			continue
		}
		a := p.holder.EffectiveConfig(p.clock())
		w.trace.add(4, p.n, a.MinRevision, a.LatestRevision, a.IsLeased, a.ReplicatedConfig, p.holder.LeaseExpiry(), p.holder.Leader(), p.holder.ConflictingResponses, p.holder.TimeUntilTick(p.clock()))
		if k := p.keeper; k != nil {
			w.trace.add(5, k.IsLeader(), k.IsBootstrapped(), k.ActiveLeases(p.clock()), k.state.Floor, k.applied, k.TimeUntilTick(p.clock()))
		}
		if !p.stopped && len(w.procs) <= terms.MaxMembers {
			parts += a.BudgetShare
		}
		looked := p.looked
		p.looked = [3]uint64{p.life, a.MinRevision, a.LatestRevision}
		for _, v := range p.holder.versions {
			if looked == p.looked {
				break
			}
			if was, known := w.digests[v.Number]; !known {
				w.digests[v.Number] = v.Digest()
			} else if was != v.Digest() {
				fail("two histories: version %d is %s and %s", v.Number, was, v.Digest())
			}
			if v.ProposalID != "" && w.refused[v.ProposalID] {
				fail("proposal %s was answered no for sure, and is version %d", v.ProposalID, v.Number)
			}
		}
		for uint64(len(w.heard)) <= a.LatestRevision {
			w.heard = append(w.heard, moment{})
		}
		for v := int(a.LatestRevision); v > 0 && w.heard[v].latest == 0; v-- {
			w.heard[v].latest = w.now
		}
		for v := int(a.MinRevision); v > 0 && w.heard[v].floor == 0; v-- {
			w.heard[v].floor = w.now
		}
		if !a.IsLeased && !(w.blind && p.holder.until != 0) || p.stopped {
			continue // Alone it says so; and while it is stopped it decides nothing.
		}
		if next := int(a.LatestRevision) + 1; next < len(w.heard) {
			if w.heard[next].floor != 0 {
				fail("%s is under a lease knowing %d, and %d is loose already", p.name, a.LatestRevision, next)
			}
			if w.heard[next].latest != 0 {
				w.worst = max(w.worst, w.now-w.heard[next].latest)
			}
		}
	}
	if w.most = max(w.most, parts); parts > 1+1e-9 {
		fail("the parts that all act on are %v of the whole", parts)
	}
	if w.worst > int64(terms.MaxDisagreement()) {
		fail("processes contradicted each other for %v, over T = %v", time.Duration(w.worst), terms.MaxDisagreement())
	}
}

// wake lets a stopped process go on, with what has waited for it, as if nothing had been.
func (p *proc) wake() {
	p.stopped = false
	for _, f := range p.buffer {
		p.town.fly(0, f.from, f.to, f.bytes)
	}
	p.buffer = nil
}

// trouble changes what the network and the processes do, by chance.
func (w *town) trouble(keepers int) {
	n, m := w.chance.IntN(len(w.procs)), w.chance.IntN(len(w.procs))
	p := w.procs[n]
	switch w.chance.IntN(14) {
	case 0: // A cut in two, both ways.
		side := make([]bool, len(w.procs))
		for i := range side {
			side[i] = w.chance.IntN(2) == 0
		}
		for i := range w.procs {
			for j := range w.procs {
				w.cut[[2]int{i, j}] = side[i] != side[j]
			}
		}
	case 1: // One way.
		w.cut[[2]int{n, m}] = true
	case 2, 3, 4:
		clear(w.cut)
	case 5:
		w.loss, w.repeats, w.slow = w.chance.Float64()*0.3, w.chance.Float64()*0.3, ms+w.chance.Int64N(300*ms)
	case 6:
		w.loss, w.repeats, w.slow = 0, 0, 3*ms
	case 7, 8:
		p.down = true
	case 9, 10, 11:
		for i, q := range w.procs {
			if q.down {
				w.start(i, i < keepers, keepers)
			}
			q.wake()
		}
	case 12:
		p.stopped = true
	case 13:
		p.wake()
	}
}

// change proposes something somewhere.
func (w *town) change(keepers int) {
	host := []string{fmt.Sprint("h", w.chance.IntN(6))}
	c := Proposal{Author: "op", Limits: map[string]int64{"held": w.chance.Int64N(100) - 1}}
	if w.chance.IntN(2) == 0 {
		c.EjectEndpoints = host
	} else {
		c.UnejectEndpoints = host
	}
	w.propose(w.chance.IntN(len(w.procs)), w.chance.IntN(keepers), c)
}

// steps is how many are played: few by the way, a million where it is asked for.
func steps(few int) int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		return n
	}
	return few
}

// TestFleet plays troubles by chance: no two histories, nothing loose while a lease under an older version is left, nothing contrary for
// longer than T, nothing in force that was refused for sure; and when troubles end, all act on the latest under leases.
func TestFleet(t *testing.T) {
	for _, keepers := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(keepers), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				w := play(t, seed, keepers, steps(25_000))
				if w.broken != "" {
					t.Fatalf("seed %d: %s", seed, w.broken)
				}
				t.Logf("seed %d: %d versions, %d accepted, %d refused for sure, longest contradiction %v of %v", seed, len(w.digests), len(w.settled),
					len(w.refused), time.Duration(w.worst), terms.MaxDisagreement())
				if w.calm(keepers); w.broken != "" {
					t.Fatalf("seed %d: %s", seed, w.broken)
				}
			}
		})
	}
}

func play(t testing.TB, seed uint64, keepers, n int, without ...func(w *town)) *town {
	w := newTown(t, seed, keepers, 4, seed%3 != 2)
	for _, take := range without {
		take(w)
	}
	for w.step < n && w.broken == "" {
		if w.chance.IntN(250) == 0 {
			w.trouble(keepers)
		}
		if w.chance.IntN(120) == 0 {
			w.change(keepers)
		}
		w.keepMajority(keepers)
		w.one()
	}
	return w
}

// TestManyPlans is not for CI: HOLLYLEVER_PLANS short runs, each from its seed.
func TestManyPlans(t *testing.T) {
	plans, err := strconv.Atoi(os.Getenv("HOLLYLEVER_PLANS"))
	if err != nil {
		t.Skip("only where it is asked for")
	}
	var worst, versions, told atomic.Int64
	var wait sync.WaitGroup
	for lane := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := uint64(lane); seed < uint64(plans); seed += 6 {
				w := play(t, seed, []int{3, 5, 7}[seed/3%3], 2500)
				if w.broken != "" && told.Add(1) < 5 {
					t.Errorf("seed %d: %s", seed, w.broken)
				}
				versions.Add(int64(len(w.digests)))
				for at := worst.Load(); w.worst > at && !worst.CompareAndSwap(at, w.worst); at = worst.Load() {
				}
			}
		}()
	}
	wait.Wait()
	t.Logf("%d plans, %d versions, longest contradiction %v of %v", plans, versions.Load(), time.Duration(worst.Load()), terms.MaxDisagreement())
}

// TestSizes is not for CI: what agreement costs with many holders, in the time of the run. HOLLYLEVER_SIZES names how many.
func TestSizes(t *testing.T) {
	if os.Getenv("HOLLYLEVER_SIZES") == "" {
		t.Skip("only where it is asked for")
	}
	for _, word := range strings.Split(os.Getenv("HOLLYLEVER_SIZES"), ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		w := newTown(t, 1, 3, n-3, true)
		all := func(floor bool, version uint64) bool {
			for _, p := range w.procs {
				a := p.holder.EffectiveConfig(p.clock())
				if !a.IsLeased || a.LatestRevision < version || floor && a.MinRevision < version {
					return false
				}
			}
			return true
		}
		for !all(true, 1) {
			w.one()
		}
		began, bytes, sent := w.now, w.bytes, w.sent
		clear(w.bySender)
		for w.now < began+int64(10*time.Second) {
			w.one()
		}
		leads := slices.IndexFunc(w.procs, func(p *proc) bool { return p.keeper != nil && p.keeper.IsLeader() })
		t.Logf("%d processes at rest: %.0f bytes and %.1f messages a process and second; who leads sends %.0f bytes a second", n,
			float64(w.bytes-bytes)/10/float64(n), float64(w.sent-sent)/10/float64(n), float64(w.bySender[leads])/10)
		var strict, loose []int64
		for v := uint64(2); v < 12; v++ {
			began := w.now
			w.propose(n-1, leads, Proposal{EjectEndpoints: []string{fmt.Sprint("h", v)}})
			for !all(false, v) {
				w.one()
			}
			strict = append(strict, w.now-began)
			for !all(true, v) {
				w.one()
			}
			loose = append(loose, w.now-began)
		}
		slices.Sort(strict)
		slices.Sort(loose)
		t.Logf("%d processes: what is strict counts at the last after a median of %v, most %v; what is loose after %v, most %v", n, time.Duration(strict[5]),
			time.Duration(strict[9]), time.Duration(loose[5]), time.Duration(loose[9]))
		if w.broken != "" {
			t.Error(w.broken)
		}
	}
}

// TestRulesAreSeenBroken takes out one part after the other that the rules rest on; each time a rule is seen broken.
func TestRulesAreSeenBroken(t *testing.T) {
	for part, c := range map[string]struct {
		without func(w *town)
		want    string
	}{
		"the wait for leases under older versions": {func(w *town) {
			w.unsafe = func(k *Replica) {
				if clear(k.holders); k.ledAt != 0 {
					k.ledAt = 1
				}
			}
		}, "is loose already"},
		"the look at a lease after a pause": {func(w *town) { w.blind = true }, "is loose already|over T"},
		"what is written of votes": {func(w *town) {
			for w.forget = true; len(w.queue) > 0; {
				heap.Pop(&w.queue)
			}
			for n, p := range w.procs[:3] {
				p.disk = nil
				w.start(n, true, 3)
			}
		}, "two histories|answered no|is loose already"},
		"a majority's word before a grant": {func(w *town) {
			w.unsafe = func(k *Replica) {
				if k.IsLeader() && k.reading != 0 {
					k.confirmed(k.readAt, k.asked, 0)
				}
			}
		}, "over T|is loose already|of the whole"},
	} {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 60; seed += 3 { // With disks.
				if w := play(t, seed, 3, 25_000, c.without); w.broken != "" {
					if !regexp.MustCompile(c.want).MatchString(w.broken) {
						t.Errorf("seed %d: %s", seed, w.broken)
					}
					return
				}
			}
			t.Error("no rule was broken without it")
		})
	}
}

// keepMajority guards a fleet whose keepers have no disks: a majority that dies at once takes the history along, by what is stated.
func (w *town) keepMajority(keepers int) {
	if w.procs[0].keeps {
		return
	}
	for _, p := range w.procs[:keepers] {
		if p.down {
			alive := 0
			for _, q := range w.procs[:keepers] {
				if !q.down && q.keeper.IsBootstrapped() && q.keeper.state.Voters[q.name] == q.keeper.life {
					alive++
				}
			}
			if alive <= keepers/2+1 {
				p.down = false // It was not to die yet.
			}
		}
	}
}

// calm ends all troubles; then the fleet has to come to rest on one version.
func (w *town) calm(keepers int) {
	clear(w.cut)
	w.loss, w.repeats, w.slow = 0, 0, 3*ms
	for i, p := range w.procs {
		if p.down {
			w.start(i, i < keepers, keepers)
		}
		p.wake()
	}
	for end := w.now + int64(20*time.Second); w.now < end && w.broken == ""; {
		w.one()
	}
	id := w.propose(len(w.procs)-1, 0, Proposal{EjectEndpoints: []string{"last"}})
	for end, n := w.now+int64(8*time.Second), 0; w.now < end && w.broken == ""; n++ {
		if w.one(); n%500 == 499 && w.settled[id] == 0 {
			for to := range keepers {
				w.procs[0].waiting[id] = true
				w.procs[0].Send(w.procs[to].name, &Message{From: w.procs[0].name, Proposal: &Proposal{ID: id, EjectEndpoints: []string{"last"}}})
			}
		}
	}
	number := w.settled[id]
	for _, p := range w.procs {
		if a := p.holder.EffectiveConfig(p.clock()); !a.IsLeased || a.LatestRevision < number || number == 0 || a.MinRevision != a.LatestRevision || !slices.Contains(a.EjectedEndpoints, "last") {
			if w.broken == "" {
				w.broken = fmt.Sprintf("after calm %s acts on %d to %d, leased %v; the last proposal is %d", p.name, a.MinRevision, a.LatestRevision, a.IsLeased, number)
			}
		}
	}
}
