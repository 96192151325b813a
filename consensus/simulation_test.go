package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

// testTiming has a bound on the processes that holds for all simulations but those of TestMessageCostBySize.
var testTiming = LeaseTiming{LeaseDuration: 1800 * time.Millisecond, ClockRateError: 0.01, MaxPause: 0, MaxMembers: 12}

// simulation is a fleet under one true clock: processes with clocks of their own rate, a network that loses, delays,
// repeats and cuts, and the invariants checked after every step. All chance comes from one seed.
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
	proposals            map[string]Proposal
	accepted             map[string]uint64 // proposals that were answered with a revision
	refused              map[string]bool   // those that were refused for good
	digests              map[uint64]string // of revisions, as the first process had them
	firstUses            []firstUse        // by revision
	longestContradiction int64             // nanoseconds, so far
	largestShareSum      float64           // of the budget shares that all acted on
	violation            string            // the first invariant broken; empty: none
	beforeEach           func(r *Replica)  // takes a guard out before each call of a replica
	dropsVotes           bool              // replicas do not write their votes
	ignoresLeaseExpiry   bool              // leases are not looked at again after the first
	trace                *traceHash        // nil: not hashed
}

// firstUse is when a revision was acted on first: as the latest, and as the min revision.
type firstUse struct{ asLatest, asMinimum int64 }

// process is one member of a simulated fleet: a lease holder, and on the first ones a replica.
type process struct {
	sim                    *simulation
	index                  int
	name                   string
	clockRate              float64
	clockBase, clockBaseAt int64 // its clock
	replica                *Replica
	holder                 *LeaseHolder
	disk                   *memoryStorage
	hasDisk                bool // the replica's state outlasts a crash
	isDown                 bool
	isPaused               bool
	pausedInbox            []sentMessage
	lastChecked            [3]uint64 // incarnation, min and latest revision when the invariants were checked last
	incarnation            uint64
	waiting                map[string]bool
	ticketed               map[string]bool
}

// sentMessage is a message on its way; n orders those that arrive together.
type sentMessage struct {
	at       int64
	n        uint64
	from, to int
	bytes    []byte
}

// messageQueue is a heap by time of arrival.
type messageQueue []sentMessage

func (f messageQueue) Len() int { return len(f) }

func (f messageQueue) Less(i, j int) bool {
	return f[i].at < f[j].at || f[i].at == f[j].at && f[i].n < f[j].n
}

func (f messageQueue) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

func (f *messageQueue) Push(x any) { *f = append(*f, x.(sentMessage)) }

func (f *messageQueue) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// memoryStorage is a Storage that outlasts a crash of its process.
type memoryStorage struct {
	records    [][]byte
	dropsVotes bool // votes are not written
	trace      *traceHash
}

func (d *memoryStorage) Append(records [][]byte) error {
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

func (d *memoryStorage) Replace(records [][]byte) error {
	d.trace.add(2)
	d.records = nil
	return d.Append(records)
}

// discardSender loses all messages.
type discardSender struct{}

func (discardSender) Send(string, *Message) {}

// newSimulation begins a fleet whose first processes have replicas. Without disks a replica that crashes comes back
// with no state.
func newSimulation(t testing.TB, seed uint64, replicas, others int, disks bool) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: 1e12, lastTick: 1e12,
		cutLinks: map[[2]int]bool{}, maxDelay: 3 * ms, accepted: map[string]uint64{},
		refused: map[string]bool{}, bytesBySender: map[int]uint64{}, proposals: map[string]Proposal{},
		digests: map[uint64]string{}}
	for n := range replicas + others {
		p := &process{sim: sim, index: n, name: fmt.Sprintf("b%d", n),
			clockRate: 1 + testTiming.ClockRateError*(2*sim.random.Float64()-1), clockBase: sim.random.Int64N(1e15),
			hasDisk: disks, waiting: map[string]bool{}, ticketed: map[string]bool{}}
		sim.processes = append(sim.processes, p)
	}
	for n := range sim.processes {
		sim.startProcess(n, n < replicas, replicas)
	}
	return sim
}

// startProcess begins a process anew, with what its disk has.
func (sim *simulation) startProcess(n int, hasReplica bool, replicas int) {
	p := sim.processes[n]
	p.clockBaseAt, p.clockBase = sim.now, p.clockBase+sim.random.Int64N(1e9)
	p.incarnation++
	incarnation := uint64(n+1)<<32 | p.incarnation
	names := make([]string, replicas)
	for i := range names {
		names[i] = sim.processes[i].name
	}
	p.holder = NewLeaseHolder(p.clock(), p.name, incarnation, testTiming, names, p, sim.random.IntN)
	if hasReplica {
		if p.disk == nil || !p.hasDisk {
			p.disk = &memoryStorage{dropsVotes: sim.dropsVotes}
		}
		p.disk.trace = sim.trace
		r, err := NewReplica(p.clock(), p.name, incarnation, testTiming, names, p.disk.records, p.disk, p,
			sim.random.IntN)
		if err != nil {
			sim.t.Fatalf("step %d: %v", sim.step, err)
		}
		p.replica = r
	}
	p.isDown, p.isPaused, p.pausedInbox = false, false, nil
}

// runSimulation plays a number of steps with random faults and proposals, or until an invariant is broken.
func runSimulation(t testing.TB, seed uint64, replicas, n int, without ...func(sim *simulation)) *simulation {
	sim := newSimulation(t, seed, replicas, 4, seed%3 != 2)
	for _, take := range without {
		take(sim)
	}
	for sim.step < n && sim.violation == "" {
		if sim.random.IntN(250) == 0 {
			sim.injectFault(replicas)
		}
		if sim.random.IntN(120) == 0 {
			sim.proposeAtRandom(replicas)
		}
		sim.keepMajorityAlive(replicas)
		sim.advance()
	}
	return sim
}

// stepCount is how many steps a run has: few in CI, as many as HOLLYLEVER_STEPS says by hand.
func stepCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		return n
	}
	return few
}

// advance plays one step: a message that arrives, or time that passes.
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

// deliverAfter has a message arrive after some nanoseconds.
func (sim *simulation) deliverAfter(after int64, from, to int, bytes []byte) {
	sim.sent++
	sim.bytes += uint64(len(bytes))
	sim.bytesBySender[from] += uint64(len(bytes))
	heap.Push(&sim.queue, sentMessage{sim.now + after, sim.sent, from, to, bytes})
}

// clock is what this process's own clock shows.
func (p *process) clock() int64 {
	return p.clockBase + int64(float64(p.sim.now-p.clockBaseAt)*p.clockRate)
}

// Send puts a message on its way, in its encoded form. One to the process itself always arrives.
func (p *process) Send(to string, m *Message) {
	sim := p.sim
	sim.trace.add(3, sim.now, p.index, to, withoutBudgetShare(m))
	dest := slices.IndexFunc(sim.processes, func(q *process) bool { return q.name == to })
	if dest < 0 {
		return
	}
	if dest == p.index {
		sim.deliverAfter(0, p.index, dest, m.Marshal())
		return
	}
	for range 2 {
		if !sim.cutLinks[[2]int{p.index, dest}] && sim.random.Float64() >= sim.lossRate {
			sim.deliverAfter(ms/10+sim.random.Int64N(sim.maxDelay), p.index, dest, m.Marshal())
		}
		if sim.random.Float64() >= sim.repeatRate {
			break
		}
	}
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
		p.replica.Tick(now)
	}
	p.holder.RequestRate = p.requestRate()
	p.holder.Tick(now)
}

// requestRate is the traffic of a process: it changes, and process 1 claims too much.
func (p *process) requestRate() float64 {
	rate := float64(1 + (p.sim.step/5000+p.index*7)%9*50)
	if p.index == 1 {
		return 100 * rate
	}
	return rate
}

func (p *process) receive(bytes []byte) {
	m, err := UnmarshalMessage(bytes)
	if err != nil {
		p.sim.t.Fatalf("step %d: %v", p.sim.step, err)
	}
	switch now := p.clock(); {
	case m.LeaseResponse != nil:
		p.holder.HandleLeaseResponse(now, m.LeaseResponse)
	case m.ProposalResult != nil:
		p.handleResult(m.From, m.ProposalResult)
	case p.replica != nil:
		if p.sim.beforeEach != nil {
			p.sim.beforeEach(p.replica)
		}
		p.replica.HandleMessage(now, m)
	}
}

// handleResult takes the answer to a proposal; one that asks for a ticket sends the proposal again.
func (p *process) handleResult(from string, o *ProposalResult) {
	sim := p.sim
	switch {
	case o.Ticket != nil:
		if c, waits := sim.proposals[o.ID]; waits && p.waiting[o.ID] {
			p.ticketed[o.ID] = true
			p.Send(from, &Message{From: p.name, Proposal: &c, Ticket: o.Ticket})
		}
		return
	case o.Revision != 0:
		sim.accepted[o.ID] = o.Revision
	case o.IsFinal && (!p.ticketed[o.ID] || !strings.HasPrefix(o.Reason, "nobody leads")):
		sim.refused[o.ID] = true // Nobody leads: sure as long as nobody was sent it with a ticket.
	}
	delete(p.waiting, o.ID)
}

// resume lets a paused process go on with what has waited for it, as if no time had passed.
func (p *process) resume() {
	p.isPaused = false
	for _, f := range p.pausedInbox {
		p.sim.deliverAfter(0, f.from, f.to, f.bytes)
	}
	p.pausedInbox = nil
}

// propose sends a proposal from one process to the replica of another, and gives its ID.
func (sim *simulation) propose(from, to int, c Proposal) string {
	sim.proposalCount++
	c.ID = fmt.Sprintf("p%d", sim.proposalCount)
	if p := sim.processes[from]; !p.isDown && !p.isPaused {
		p.waiting[c.ID], sim.proposals[c.ID] = true, c
		p.Send(sim.processes[to].name, &Message{From: p.name, Proposal: &c})
	}
	return c.ID
}

// proposeAtRandom sends a random proposal from somewhere to some replica.
func (sim *simulation) proposeAtRandom(replicas int) {
	host := []string{fmt.Sprint("h", sim.random.IntN(6))}
	c := Proposal{Author: "op", Limits: map[string]int64{"held": sim.random.Int64N(100) - 1}}
	if sim.random.IntN(2) == 0 {
		c.EjectEndpoints = host
	} else {
		c.UnejectEndpoints = host
	}
	sim.propose(sim.random.IntN(len(sim.processes)), sim.random.IntN(replicas), c)
}

// injectFault changes by chance what the network and the processes do: cuts, loss, repeats, delays, crashes, pauses,
// and their ends.
func (sim *simulation) injectFault(replicas int) {
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
		sim.lossRate, sim.repeatRate, sim.maxDelay = sim.random.Float64()*0.3, sim.random.Float64()*0.3,
			ms+sim.random.Int64N(300*ms)
	case 6:
		sim.lossRate, sim.repeatRate, sim.maxDelay = 0, 0, 3*ms
	case 7, 8:
		p.isDown = true
	case 9, 10, 11:
		for i, q := range sim.processes {
			if q.isDown {
				sim.startProcess(i, i < replicas, replicas)
			}
			q.resume()
		}
	case 12:
		p.isPaused = true
	case 13:
		p.resume()
	}
}

// keepMajorityAlive undoes a crash that would take the history along: replicas without disks lose it when a majority
// dies at once, as is stated.
func (sim *simulation) keepMajorityAlive(replicas int) {
	if sim.processes[0].hasDisk {
		return
	}
	for _, p := range sim.processes[:replicas] {
		if p.isDown {
			alive := 0
			for _, q := range sim.processes[:replicas] {
				if !q.isDown && q.replica.IsBootstrapped() && q.replica.state.Voters[q.name] == q.replica.incarnation {
					alive++
				}
			}
			if alive <= replicas/2+1 {
				p.isDown = false // It was not to die yet.
			}
		}
	}
}

// healAndCheck ends all faults; then all processes come to rest on one revision, under leases.
func (sim *simulation) healAndCheck(replicas int) {
	clear(sim.cutLinks)
	sim.lossRate, sim.repeatRate, sim.maxDelay = 0, 0, 3*ms
	for i, p := range sim.processes {
		if p.isDown {
			sim.startProcess(i, i < replicas, replicas)
		}
		p.resume()
	}
	for end := sim.now + int64(20*time.Second); sim.now < end && sim.violation == ""; {
		sim.advance()
	}
	id := sim.propose(len(sim.processes)-1, 0, Proposal{EjectEndpoints: []string{"last"}})
	for end, n := sim.now+int64(8*time.Second), 0; sim.now < end && sim.violation == ""; n++ {
		if sim.advance(); n%500 == 499 && sim.accepted[id] == 0 {
			for to := range replicas {
				sim.processes[0].waiting[id] = true
				sim.processes[0].Send(sim.processes[to].name, &Message{From: sim.processes[0].name,
					Proposal: &Proposal{ID: id, EjectEndpoints: []string{"last"}}})
			}
		}
	}
	number := sim.accepted[id]
	for _, p := range sim.processes {
		if a := p.holder.EffectiveConfig(p.clock()); !a.IsLeased || a.LatestRevision < number || number == 0 ||
			a.MinRevision != a.LatestRevision || !slices.Contains(a.EjectedEndpoints, "last") {
			if sim.violation == "" {
				sim.violation = fmt.Sprintf("after calm %s acts on %d to %d, leased %v; the last proposal is %d",
					p.name, a.MinRevision, a.LatestRevision, a.IsLeased, number)
			}
		}
	}
}

// checkInvariants looks at what all act on: one history, nothing in force that was refused for good, nothing loose
// while a lease under an older revision is left, no contradiction for longer than stated, and no budget over the
// whole.
func (sim *simulation) checkInvariants() {
	fail := func(format string, with ...any) {
		if sim.violation == "" {
			sim.violation = fmt.Sprintf("step %d: ", sim.step) + fmt.Sprintf(format, with...)
		}
	}
	shares := 0.0
	for _, p := range sim.processes {
		if p.isDown {
			continue
		}
		a := p.holder.EffectiveConfig(p.clock())
		sim.trace.add(4, p.index, a.MinRevision, a.LatestRevision, a.IsLeased, a.ReplicatedConfig,
			p.holder.LeaseExpiry(), p.holder.Leader(), p.holder.ConflictingResponses, p.holder.TimeUntilTick(p.clock()))
		if r := p.replica; r != nil {
			sim.trace.add(5, r.IsLeader(), r.IsBootstrapped(), r.ActiveLeases(p.clock()), r.state.MinRevision,
				r.log.applied, r.TimeUntilTick(p.clock()))
		}
		if !p.isPaused && len(sim.processes) <= testTiming.MaxMembers {
			shares += a.BudgetShare
		}
		looked := p.lastChecked
		p.lastChecked = [3]uint64{p.incarnation, a.MinRevision, a.LatestRevision}
		for _, v := range p.holder.known.active {
			if looked == p.lastChecked {
				break
			}
			if was, known := sim.digests[v.Number]; !known {
				sim.digests[v.Number] = v.Digest()
			} else if was != v.Digest() {
				fail("two histories: revision %d is %s and %s", v.Number, was, v.Digest())
			}
			if v.ProposalID != "" && sim.refused[v.ProposalID] {
				fail("proposal %s was answered no for good, and is revision %d", v.ProposalID, v.Number)
			}
		}
		for uint64(len(sim.firstUses)) <= a.LatestRevision {
			sim.firstUses = append(sim.firstUses, firstUse{})
		}
		for v := int(a.LatestRevision); v > 0 && sim.firstUses[v].asLatest == 0; v-- {
			sim.firstUses[v].asLatest = sim.now
		}
		for v := int(a.MinRevision); v > 0 && sim.firstUses[v].asMinimum == 0; v-- {
			sim.firstUses[v].asMinimum = sim.now
		}
		if !a.IsLeased && !(sim.ignoresLeaseExpiry && p.holder.expiresAt != 0) || p.isPaused {
			continue // Alone it says so; and while it is stopped it decides nothing.
		}
		if next := int(a.LatestRevision) + 1; next < len(sim.firstUses) {
			if sim.firstUses[next].asMinimum != 0 {
				fail("%s is under a lease knowing %d, and %d is loose already", p.name, a.LatestRevision, next)
			}
			if sim.firstUses[next].asLatest != 0 {
				sim.longestContradiction = max(sim.longestContradiction, sim.now-sim.firstUses[next].asLatest)
			}
		}
	}
	if sim.largestShareSum = max(sim.largestShareSum, shares); shares > 1+1e-9 {
		fail("the budget shares that all act on are %v of the whole", shares)
	}
	if sim.longestContradiction > int64(testTiming.MaxDisagreement()) {
		fail("processes contradicted each other for %v, over T = %v", time.Duration(sim.longestContradiction),
			testTiming.MaxDisagreement())
	}
}
