package agreed

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
var testTiming = Terms{Lease: 1800 * time.Millisecond, RateError: 0.01, Pause: 0, Most: 12}

// A town is a fleet under one true clock: processes with clocks of their own rate, a network that loses, delays, repeats and cuts, and
// the rules looked at after every step.
type simulation struct {
	t                    testing.TB
	random               *rand.Rand
	now                  int64
	processes            []*process
	queue                messageQueue
	sent                 uint64
	bytes                uint64
	bytesBySender        map[int]uint64
	cutLinks             map[[2]int]bool
	lossRate             float64
	repeatRate           float64
	maxDelay             int64 // the longest delay
	step                 int
	lastTick             int64
	proposalCount        int
	proposals            map[string]Change
	accepted             map[string]uint64 // proposals that were answered with a version
	refused              map[string]bool   // that were answered with a sure no
	digests              map[uint64]string // of versions, as somebody had them
	firstUses            []firstUse        // by version: when it was acted on first, as the latest and as the floor
	longestContradiction int64             // the longest contradiction so far
	largestShareSum      float64           // the largest sum of parts that all acted on
	violation            string            // the first rule broken
	beforeEach           func(k *Keeper)   // takes a part out
	dropsVotes           bool              // keepers do not write their votes
	ignoresLeaseExpiry   bool              // leases are not looked at again
	trace                *traceHash        // nil: not hashed
}

type firstUse struct{ latest, floor int64 }

type process struct {
	sim                    *simulation
	index                  int
	name                   string
	clockRate              float64
	clockBase, clockBaseAt int64 // its clock
	replica                *Keeper
	holder                 *Holder
	disk                   *memoryStorage
	hasDisk                bool // a keeper's state lasts
	isDown                 bool
	isPaused               bool
	pausedInbox            []sentMessage
	lastChecked            [3]uint64 // life, floor and latest when the rules were looked at
	incarnation            uint64
	waiting                map[string]bool
	ticketed               map[string]bool
}

type sentMessage struct {
	at       int64
	n        uint64
	from, to int
	bytes    []byte
}

type messageQueue []sentMessage

func (f messageQueue) Len() int { return len(f) }
func (f messageQueue) Less(i, j int) bool {
	return f[i].at < f[j].at || f[i].at == f[j].at && f[i].n < f[j].n
}
func (f messageQueue) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *messageQueue) Push(x any)   { *f = append(*f, x.(sentMessage)) }
func (f *messageQueue) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// fly puts a message on its way.
func (sim *simulation) deliverAfter(after int64, from, to int, bytes []byte) {
	sim.sent++
	sim.bytes += uint64(len(bytes))
	sim.bytesBySender[from] += uint64(len(bytes))
	heap.Push(&sim.queue, sentMessage{sim.now + after, sim.sent, from, to, bytes})
}

// disk is a Lasting that a crash leaves.
type memoryStorage struct {
	records    [][]byte
	dropsVotes bool // votes are not written
	trace      *traceHash
}

func (d *memoryStorage) Add(records [][]byte) error {
	d.trace.add(1, records)
	for _, r := range records {
		var as record
		if d.dropsVotes && strictDecoding.Unmarshal(r, &as) == nil && as.HardState != nil {
			continue
		}
		d.records = append(d.records, slices.Clone(r))
	}
	return nil
}

func (d *memoryStorage) Swap(records [][]byte) error {
	d.trace.add(2)
	d.records = nil
	return d.Add(records)
}

func (p *process) clock() int64 {
	return p.clockBase + int64(float64(p.sim.now-p.clockBaseAt)*p.clockRate)
}

// Send puts a message on its way, in its packed form.
func (p *process) Send(to string, m *Message) {
	sim := p.sim
	sim.trace.add(3, sim.now, p.index, to, withoutPart(m))
	dest := slices.IndexFunc(sim.processes, func(q *process) bool { return q.name == to })
	if dest < 0 {
		return
	}
	if dest == p.index {
		sim.deliverAfter(0, p.index, dest, m.Pack())
		return
	}
	for range 2 {
		if !sim.cutLinks[[2]int{p.index, dest}] && sim.random.Float64() >= sim.lossRate {
			sim.deliverAfter(ms/10+sim.random.Int64N(sim.maxDelay), p.index, dest, m.Pack())
		}
		if sim.random.Float64() >= sim.repeatRate {
			break
		}
	}
}

func newSimulation(t testing.TB, seed uint64, keepers, others int, disks bool) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: 1e12, lastTick: 1e12, cutLinks: map[[2]int]bool{}, maxDelay: 3 * ms, accepted: map[string]uint64{},
		refused: map[string]bool{}, bytesBySender: map[int]uint64{}, proposals: map[string]Change{}, digests: map[uint64]string{}}
	for n := range keepers + others {
		p := &process{sim: sim, index: n, name: fmt.Sprintf("b%d", n), clockRate: 1 + testTiming.RateError*(2*sim.random.Float64()-1), clockBase: sim.random.Int64N(1e15),
			hasDisk: disks, waiting: map[string]bool{}, ticketed: map[string]bool{}}
		sim.processes = append(sim.processes, p)
	}
	for n := range sim.processes {
		sim.startProcess(n, n < keepers, keepers)
	}
	return sim
}

// start begins a process, with what lasts of it.
func (sim *simulation) startProcess(n int, keeps bool, keepers int) {
	p := sim.processes[n]
	p.clockBaseAt, p.clockBase = sim.now, p.clockBase+sim.random.Int64N(1e9)
	p.incarnation++
	life := uint64(n+1)<<32 | p.incarnation
	names := make([]string, keepers)
	for i := range names {
		names[i] = sim.processes[i].name
	}
	p.holder = NewHolder(p.clock(), p.name, life, testTiming, names, p, sim.random.IntN)
	if keeps {
		if p.disk == nil || !p.hasDisk {
			p.disk = &memoryStorage{dropsVotes: sim.dropsVotes}
		}
		p.disk.trace = sim.trace
		k, err := NewKeeper(p.clock(), p.name, life, testTiming, names, p.disk.records, p.disk, p, sim.random.IntN)
		if err != nil {
			sim.t.Fatalf("step %d: %v", sim.step, err)
		}
		p.replica = k
	}
	p.isDown, p.isPaused, p.pausedInbox = false, false, nil
}

// one plays one thing: a message that arrives, or time that passes.
func (sim *simulation) advance() {
	sim.step++
	if len(sim.queue) == 0 || sim.queue[0].at > sim.lastTick+10*ms {
		sim.lastTick += 10 * ms
		sim.now = max(sim.now, sim.lastTick)
		for _, p := range sim.processes {
			p.tick()
		}
	} else {
		f := heap.Pop(&sim.queue).(sentMessage)
		sim.now = max(sim.now, f.at)
		if q := sim.processes[f.to]; q.isPaused && len(q.pausedInbox) < 64 {
			q.pausedInbox = append(q.pausedInbox, f)
		} else if !q.isPaused && !q.isDown && !sim.cutLinks[[2]int{f.from, f.to}] {
			q.receive(f.bytes)
		}
	}
	sim.checkInvariants()
}

func (p *process) tick() {
	if p.isDown || p.isPaused {
		return
	}
	now := p.clock()
	if p.replica != nil {
		if p.sim.beforeEach != nil {
			p.sim.beforeEach(p.replica)
		}
		p.replica.Look(now)
	}
	p.holder.Rate = p.requestRate()
	p.holder.Look(now)
}

// rateOf is the traffic that comes to a process: it changes, and one may lie.
func (p *process) requestRate() float64 {
	rate := float64(1 + (p.sim.step/5000+p.index*7)%9*50)
	if p.index == 1 {
		return 100 * rate
	}
	return rate
}

func (p *process) receive(bytes []byte) {
	m, err := Unpack(bytes)
	if err != nil {
		p.sim.t.Fatalf("step %d: %v", p.sim.step, err)
	}
	switch now := p.clock(); {
	case m.Grant != nil:
		p.holder.Heard(now, m.Grant)
	case m.Outcome != nil:
		p.handleResult(m.From, m.Outcome)
	case p.replica != nil:
		if p.sim.beforeEach != nil {
			p.sim.beforeEach(p.replica)
		}
		p.replica.Heard(now, m)
	}
}

func (p *process) handleResult(from string, o *Outcome) {
	sim := p.sim
	switch {
	case o.Ticket != nil:
		if c, waits := sim.proposals[o.ID]; waits && p.waiting[o.ID] {
			p.ticketed[o.ID] = true
			p.Send(from, &Message{From: p.name, Propose: &c, Ticket: o.Ticket})
		}
		return
	case o.Number != 0:
		sim.accepted[o.ID] = o.Number
	case o.Sure && (!p.ticketed[o.ID] || !strings.HasPrefix(o.Wrong, "nobody leads")):
		sim.refused[o.ID] = true // Nobody leads: sure as long as nobody was sent it with a ticket.
	}
	delete(p.waiting, o.ID)
}

// propose asks a keeper to accept a change.
func (sim *simulation) propose(from, to int, c Change) string {
	sim.proposalCount++
	c.ID = fmt.Sprintf("p%d", sim.proposalCount)
	if p := sim.processes[from]; !p.isDown && !p.isPaused {
		p.waiting[c.ID], sim.proposals[c.ID] = true, c
		p.Send(sim.processes[to].name, &Message{From: p.name, Propose: &c})
	}
	return c.ID
}

// rules looks at what all act on. Contradictions are counted between processes under leases.
func (sim *simulation) checkInvariants() {
	fail := func(format string, with ...any) {
		if sim.violation == "" {
			sim.violation = fmt.Sprintf("step %d: ", sim.step) + fmt.Sprintf(format, with...)
		}
	}
	parts := 0.0
	for _, p := range sim.processes {
		if p.isDown {
			continue
		}
		a := p.holder.Acting(p.clock())
		sim.trace.add(4, p.index, a.Floor, a.Latest, a.Leased, a.Document, p.holder.Until(), p.holder.Leader(), p.holder.Contrary, p.holder.Wait(p.clock()))
		if k := p.replica; k != nil {
			sim.trace.add(5, k.Leads(), k.Founded(), k.Holders(p.clock()), k.state.MinRevision, k.log.applied, k.Wait(p.clock()))
		}
		if !p.isPaused && len(sim.processes) <= testTiming.Most {
			parts += a.Part
		}
		looked := p.lastChecked
		p.lastChecked = [3]uint64{p.incarnation, a.Floor, a.Latest}
		for _, v := range p.holder.known.active {
			if looked == p.lastChecked {
				break
			}
			if was, known := sim.digests[v.Number]; !known {
				sim.digests[v.Number] = v.Digest()
			} else if was != v.Digest() {
				fail("two histories: version %d is %s and %s", v.Number, was, v.Digest())
			}
			if v.ID != "" && sim.refused[v.ID] {
				fail("proposal %s was answered no for sure, and is version %d", v.ID, v.Number)
			}
		}
		for uint64(len(sim.firstUses)) <= a.Latest {
			sim.firstUses = append(sim.firstUses, firstUse{})
		}
		for v := int(a.Latest); v > 0 && sim.firstUses[v].latest == 0; v-- {
			sim.firstUses[v].latest = sim.now
		}
		for v := int(a.Floor); v > 0 && sim.firstUses[v].floor == 0; v-- {
			sim.firstUses[v].floor = sim.now
		}
		if !a.Leased && !(sim.ignoresLeaseExpiry && p.holder.expiresAt != 0) || p.isPaused {
			continue // Alone it says so; and while it is stopped it decides nothing.
		}
		if next := int(a.Latest) + 1; next < len(sim.firstUses) {
			if sim.firstUses[next].floor != 0 {
				fail("%s is under a lease knowing %d, and %d is loose already", p.name, a.Latest, next)
			}
			if sim.firstUses[next].latest != 0 {
				sim.longestContradiction = max(sim.longestContradiction, sim.now-sim.firstUses[next].latest)
			}
		}
	}
	if sim.largestShareSum = max(sim.largestShareSum, parts); parts > 1+1e-9 {
		fail("the parts that all act on are %v of the whole", parts)
	}
	if sim.longestContradiction > int64(testTiming.T()) {
		fail("processes contradicted each other for %v, over T = %v", time.Duration(sim.longestContradiction), testTiming.T())
	}
}

// wake lets a stopped process go on, with what has waited for it, as if nothing had been.
func (p *process) resume() {
	p.isPaused = false
	for _, f := range p.pausedInbox {
		p.sim.deliverAfter(0, f.from, f.to, f.bytes)
	}
	p.pausedInbox = nil
}

// trouble changes what the network and the processes do, by chance.
func (sim *simulation) injectFault(keepers int) {
	n, m := sim.random.IntN(len(sim.processes)), sim.random.IntN(len(sim.processes))
	p := sim.processes[n]
	switch sim.random.IntN(14) {
	case 0: // A cut in two, both ways.
		side := make([]bool, len(sim.processes))
		for i := range side {
			side[i] = sim.random.IntN(2) == 0
		}
		for i := range sim.processes {
			for j := range sim.processes {
				sim.cutLinks[[2]int{i, j}] = side[i] != side[j]
			}
		}
	case 1: // One way.
		sim.cutLinks[[2]int{n, m}] = true
	case 2, 3, 4:
		clear(sim.cutLinks)
	case 5:
		sim.lossRate, sim.repeatRate, sim.maxDelay = sim.random.Float64()*0.3, sim.random.Float64()*0.3, ms+sim.random.Int64N(300*ms)
	case 6:
		sim.lossRate, sim.repeatRate, sim.maxDelay = 0, 0, 3*ms
	case 7, 8:
		p.isDown = true
	case 9, 10, 11:
		for i, q := range sim.processes {
			if q.isDown {
				sim.startProcess(i, i < keepers, keepers)
			}
			q.resume()
		}
	case 12:
		p.isPaused = true
	case 13:
		p.resume()
	}
}

// change proposes something somewhere.
func (sim *simulation) proposeAtRandom(keepers int) {
	host := []string{fmt.Sprint("h", sim.random.IntN(6))}
	c := Change{By: "op", Limits: map[string]int64{"held": sim.random.Int64N(100) - 1}}
	if sim.random.IntN(2) == 0 {
		c.Out = host
	} else {
		c.Back = host
	}
	sim.propose(sim.random.IntN(len(sim.processes)), sim.random.IntN(keepers), c)
}

// steps is how many are played: few by the way, a million where it is asked for.
func stepCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		return n
	}
	return few
}

// TestFleet plays troubles by chance: no two histories, nothing loose while a lease under an older version is left, nothing contrary for
// longer than T, nothing in force that was refused for sure; and when troubles end, all act on the latest under leases.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, keepers := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(keepers), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := runSimulation(t, seed, keepers, stepCount(25_000))
				if sim.violation != "" {
					t.Fatalf("seed %d: %s", seed, sim.violation)
				}
				t.Logf("seed %d: %d versions, %d accepted, %d refused for sure, longest contradiction %v of %v", seed, len(sim.digests), len(sim.accepted),
					len(sim.refused), time.Duration(sim.longestContradiction), testTiming.T())
				if sim.healAndCheck(keepers); sim.violation != "" {
					t.Fatalf("seed %d: %s", seed, sim.violation)
				}
			}
		})
	}
}

func runSimulation(t testing.TB, seed uint64, keepers, n int, without ...func(sim *simulation)) *simulation {
	sim := newSimulation(t, seed, keepers, 4, seed%3 != 2)
	for _, take := range without {
		take(sim)
	}
	for sim.step < n && sim.violation == "" {
		if sim.random.IntN(250) == 0 {
			sim.injectFault(keepers)
		}
		if sim.random.IntN(120) == 0 {
			sim.proposeAtRandom(keepers)
		}
		sim.keepMajorityAlive(keepers)
		sim.advance()
	}
	return sim
}

// TestManyPlans is not for CI: HOLLYLEVER_PLANS short runs, each from its seed.
func TestInvariantsHoldUnderManyFaultPlans(t *testing.T) {
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
				sim := runSimulation(t, seed, []int{3, 5, 7}[seed/3%3], 2500)
				if sim.violation != "" && told.Add(1) < 5 {
					t.Errorf("seed %d: %s", seed, sim.violation)
				}
				versions.Add(int64(len(sim.digests)))
				for at := worst.Load(); sim.longestContradiction > at && !worst.CompareAndSwap(at, sim.longestContradiction); at = worst.Load() {
				}
			}
		}()
	}
	wait.Wait()
	t.Logf("%d plans, %d versions, longest contradiction %v of %v", plans, versions.Load(), time.Duration(worst.Load()), testTiming.T())
}

// TestSizes is not for CI: what agreement costs with many holders, in the time of the run. HOLLYLEVER_SIZES names how many.
func TestMessageCostBySize(t *testing.T) {
	if os.Getenv("HOLLYLEVER_SIZES") == "" {
		t.Skip("only where it is asked for")
	}
	for _, word := range strings.Split(os.Getenv("HOLLYLEVER_SIZES"), ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		sim := newSimulation(t, 1, 3, n-3, true)
		all := func(floor bool, version uint64) bool {
			for _, p := range sim.processes {
				a := p.holder.Acting(p.clock())
				if !a.Leased || a.Latest < version || floor && a.Floor < version {
					return false
				}
			}
			return true
		}
		for !all(true, 1) {
			sim.advance()
		}
		began, bytes, sent := sim.now, sim.bytes, sim.sent
		clear(sim.bytesBySender)
		for sim.now < began+int64(10*time.Second) {
			sim.advance()
		}
		leads := slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica != nil && p.replica.Leads() })
		t.Logf("%d processes at rest: %.0f bytes and %.1f messages a process and second; who leads sends %.0f bytes a second", n,
			float64(sim.bytes-bytes)/10/float64(n), float64(sim.sent-sent)/10/float64(n), float64(sim.bytesBySender[leads])/10)
		var strict, loose []int64
		for v := uint64(2); v < 12; v++ {
			began := sim.now
			sim.propose(n-1, leads, Change{Out: []string{fmt.Sprint("h", v)}})
			for !all(false, v) {
				sim.advance()
			}
			strict = append(strict, sim.now-began)
			for !all(true, v) {
				sim.advance()
			}
			loose = append(loose, sim.now-began)
		}
		slices.Sort(strict)
		slices.Sort(loose)
		t.Logf("%d processes: what is strict counts at the last after a median of %v, most %v; what is loose after %v, most %v", n, time.Duration(strict[5]),
			time.Duration(strict[9]), time.Duration(loose[5]), time.Duration(loose[9]))
		if sim.violation != "" {
			t.Error(sim.violation)
		}
	}
}

// TestRulesAreSeenBroken takes out one part after the other that the rules rest on; each time a rule is seen broken.
func TestInvariantChecksDetectRemovedGuards(t *testing.T) {
	for part, c := range map[string]struct {
		without func(sim *simulation)
		want    string
	}{
		"the wait for leases under older versions": {func(sim *simulation) {
			sim.beforeEach = func(k *Keeper) {
				if clear(k.leader.leases.granted); k.leader.since != 0 {
					k.leader.since = 1
				}
			}
		}, "is loose already"},
		"the look at a lease after a pause": {func(sim *simulation) { sim.ignoresLeaseExpiry = true }, "is loose already|over T"},
		"what is written of votes": {func(sim *simulation) {
			for sim.dropsVotes = true; len(sim.queue) > 0; {
				heap.Pop(&sim.queue)
			}
			for n, p := range sim.processes[:3] {
				p.disk = nil
				sim.startProcess(n, true, 3)
			}
		}, "two histories|answered no|is loose already"},
		"a majority's word before a grant": {func(sim *simulation) {
			sim.beforeEach = func(k *Keeper) {
				if k.Leads() && k.leader.leases.confirming != 0 {
					k.grantConfirmedLeases(k.leader.leases.confirmingAt, k.leader.leases.requestCount, 0)
				}
			}
		}, "over T|is loose already|of the whole"},
	} {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 60; seed += 3 { // With disks.
				if sim := runSimulation(t, seed, 3, 25_000, c.without); sim.violation != "" {
					if !regexp.MustCompile(c.want).MatchString(sim.violation) {
						t.Errorf("seed %d: %s", seed, sim.violation)
					}
					return
				}
			}
			t.Error("no rule was broken without it")
		})
	}
}

// keepMajority guards a fleet whose keepers have no disks: a majority that dies at once takes the history along, by what is stated.
func (sim *simulation) keepMajorityAlive(keepers int) {
	if sim.processes[0].hasDisk {
		return
	}
	for _, p := range sim.processes[:keepers] {
		if p.isDown {
			alive := 0
			for _, q := range sim.processes[:keepers] {
				if !q.isDown && q.replica.Founded() && q.replica.state.Voters[q.name] == q.replica.incarnation {
					alive++
				}
			}
			if alive <= keepers/2+1 {
				p.isDown = false // It was not to die yet.
			}
		}
	}
}

// calm ends all troubles; then the fleet has to come to rest on one version.
func (sim *simulation) healAndCheck(keepers int) {
	clear(sim.cutLinks)
	sim.lossRate, sim.repeatRate, sim.maxDelay = 0, 0, 3*ms
	for i, p := range sim.processes {
		if p.isDown {
			sim.startProcess(i, i < keepers, keepers)
		}
		p.resume()
	}
	for end := sim.now + int64(20*time.Second); sim.now < end && sim.violation == ""; {
		sim.advance()
	}
	id := sim.propose(len(sim.processes)-1, 0, Change{Out: []string{"last"}})
	for end, n := sim.now+int64(8*time.Second), 0; sim.now < end && sim.violation == ""; n++ {
		if sim.advance(); n%500 == 499 && sim.accepted[id] == 0 {
			for to := range keepers {
				sim.processes[0].waiting[id] = true
				sim.processes[0].Send(sim.processes[to].name, &Message{From: sim.processes[0].name, Propose: &Change{ID: id, Out: []string{"last"}}})
			}
		}
	}
	number := sim.accepted[id]
	for _, p := range sim.processes {
		if a := p.holder.Acting(p.clock()); !a.Leased || a.Latest < number || number == 0 || a.Floor != a.Latest || !slices.Contains(a.Bans, "last") {
			if sim.violation == "" {
				sim.violation = fmt.Sprintf("after calm %s acts on %d to %d, leased %v; the last proposal is %d", p.name, a.Floor, a.Latest, a.Leased, number)
			}
		}
	}
}
