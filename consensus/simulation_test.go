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

// testTiming sets MaxMembers to at least the number of processes of every simulation; only TestMessageCostBySize can
// have more.
var testTiming = LeaseTiming{LeaseDuration: 1800 * time.Millisecond, ClockRateError: 0.01, MaxPause: 0, MaxMembers: 12}

// simulation simulates a fleet under one true clock: processes whose clocks run at different rates, and a network
// that loses, delays and repeats messages and can be partitioned. Invariants are checked after every step. All
// randomness comes from one seed.
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
	maxDelay             int64
	step                 int
	lastTick             int64
	proposalCount        int
	proposals            map[string]Proposal
	accepted             map[string]uint64 // revision of each accepted proposal
	refused              map[string]bool   // proposals with a final refusal
	digests              map[uint64]string // of each revision, as first seen on any process
	firstUses            []firstUse        // by revision
	longestContradiction int64             // longest time under a lease without a revision that another used, in ns
	largestShareSum      float64           // largest sum of the budget shares in use at one time
	violation            string            // the first violated invariant; empty: none
	beforeEach           func(r *Replica)  // runs before each call of a replica; can switch off one of its protections
	dropsVotes           bool              // replicas do not persist their votes
	ignoresLeaseExpiry   bool              // once granted, a lease is never treated as expired
	trace                *traceHash        // nil: not hashed
}

// firstUse is when a revision first took effect on any process: as the latest, and as the min revision.
type firstUse struct{ asLatest, asMinRevision int64 }

// process is one member of a simulated fleet. Every process has a lease holder, the first ones also a replica.
type process struct {
	sim                    *simulation
	index                  int
	name                   string
	clockRate              float64
	clockBase, clockBaseAt int64 // the process's clock showed clockBase at true time clockBaseAt
	replica                *Replica
	holder                 *LeaseHolder
	storage                *memoryStorage
	hasDisk                bool // the replica's state survives a crash
	isDown                 bool
	isPaused               bool
	pausedInbox            []sentMessage
	lastChecked            [3]uint64 // incarnation, min and latest revision at the last check of the invariants
	incarnation            uint64
	waiting                map[string]bool // proposals without a result, by ID
	ticketed               map[string]bool // proposals that were sent with a ProposalTicket, by ID
}

// sentMessage is a message in flight; n orders messages that arrive at the same time.
type sentMessage struct {
	at       int64
	n        uint64
	from, to int
	bytes    []byte
}

// messageQueue is a heap ordered by time of arrival.
type messageQueue []sentMessage

func (q messageQueue) Len() int { return len(q) }

func (q messageQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}

func (q messageQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *messageQueue) Push(x any) { *q = append(*q, x.(sentMessage)) }

func (q *messageQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// memoryStorage is an in-memory Storage that survives a simulated crash of its process.
type memoryStorage struct {
	records    [][]byte
	dropsVotes bool // hard states, and with them votes, are not written
	trace      *traceHash
}

func (s *memoryStorage) Append(records [][]byte) error {
	s.trace.add(1, records)
	for _, r := range records {
		var as record
		if s.dropsVotes && strictDecoding.Unmarshal(r, &as) == nil && as.HardState != nil {
			continue
		}
		s.records = append(s.records, slices.Clone(r))
	}
	return nil
}

func (s *memoryStorage) Replace(records [][]byte) error {
	s.trace.add(2)
	s.records = nil
	return s.Append(records)
}

// discardSender discards all messages.
type discardSender struct{}

func (discardSender) Send(string, *Message) {}

// newSimulation starts a fleet whose first processes have replicas. Without disks, a replica that crashes restarts
// without state.
func newSimulation(t testing.TB, seed uint64, replicas, others int, hasDisks bool) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: 1e12, lastTick: 1e12,
		cutLinks: map[[2]int]bool{}, maxDelay: 3 * ms, accepted: map[string]uint64{},
		refused: map[string]bool{}, bytesBySender: map[int]uint64{}, proposals: map[string]Proposal{},
		digests: map[uint64]string{}}
	for n := range replicas + others {
		p := &process{sim: sim, index: n, name: fmt.Sprintf("b%d", n),
			clockRate: 1 + testTiming.ClockRateError*(2*sim.random.Float64()-1), clockBase: sim.random.Int64N(1e15),
			hasDisk: hasDisks, waiting: map[string]bool{}, ticketed: map[string]bool{}}
		sim.processes = append(sim.processes, p)
	}
	for n := range sim.processes {
		sim.startProcess(n, n < replicas, replicas)
	}
	return sim
}

// startProcess starts or restarts a process: with the state in its storage if it has a disk, otherwise without state.
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
		if p.storage == nil || !p.hasDisk {
			p.storage = &memoryStorage{dropsVotes: sim.dropsVotes}
		}
		p.storage.trace = sim.trace
		r, err := NewReplica(p.clock(), p.name, incarnation, testTiming, names, p.storage.records, p.storage, p,
			sim.random.IntN)
		if err != nil {
			sim.t.Fatalf("step %d: %v", sim.step, err)
		}
		p.replica = r
	}
	p.isDown, p.isPaused, p.pausedInbox = false, false, nil
}

// runSimulation runs steps with random faults and proposals until the given number is reached or an invariant is
// violated. Each function of disableGuards first switches off a protection that the invariants depend on.
func runSimulation(t testing.TB, seed uint64, replicas, steps int, disableGuards ...func(sim *simulation)) *simulation {
	sim := newSimulation(t, seed, replicas, 4, seed%3 != 2)
	for _, disableGuard := range disableGuards {
		disableGuard(sim)
	}
	for sim.step < steps && sim.violation == "" {
		if sim.random.IntN(250) == 0 {
			sim.injectFault(replicas)
		}
		if sim.random.IntN(120) == 0 {
			sim.proposeAtRandom(replicas)
		}
		sim.keepSpareMajority(replicas)
		sim.advance()
	}
	return sim
}

// stepCount returns the number of steps of a run: HOLLYLEVER_STEPS if set, for longer manual runs, or the default.
func stepCount(defaultSteps int) int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		return n
	}
	return defaultSteps
}

// advance runs one step: it delivers the next message or advances the time and calls Tick on all processes.
func (sim *simulation) advance() {
	sim.step++
	if len(sim.queue) == 0 || sim.queue[0].at > sim.lastTick+10*ms {
		sim.lastTick += 10 * ms
		sim.now = max(sim.now, sim.lastTick)
		for _, p := range sim.processes {
			p.tick()
		}
	} else {
		message := heap.Pop(&sim.queue).(sentMessage)
		sim.now = max(sim.now, message.at)
		if receiver := sim.processes[message.to]; receiver.isPaused && len(receiver.pausedInbox) < 64 {
			receiver.pausedInbox = append(receiver.pausedInbox, message)
		} else if !receiver.isPaused && !receiver.isDown && !sim.cutLinks[[2]int{message.from, message.to}] {
			receiver.receive(message.bytes)
		}
	}
	sim.checkInvariants()
}

// deliverAfter queues a message for delivery after a number of nanoseconds.
func (sim *simulation) deliverAfter(after int64, from, to int, bytes []byte) {
	sim.sent++
	sim.bytes += uint64(len(bytes))
	sim.bytesBySender[from] += uint64(len(bytes))
	heap.Push(&sim.queue, sentMessage{sim.now + after, sim.sent, from, to, bytes})
}

// clock returns the time on the process's own clock.
func (p *process) clock() int64 {
	return p.clockBase + int64(float64(p.sim.now-p.clockBaseAt)*p.clockRate)
}

// Send queues a message in encoded form for delivery. The network neither loses nor delays messages to the process
// itself.
func (p *process) Send(to string, m *Message) {
	sim := p.sim
	sim.trace.add(3, sim.now, p.index, to, withoutBudgetShare(m))
	receiver := slices.IndexFunc(sim.processes, func(q *process) bool { return q.name == to })
	if receiver < 0 {
		return
	}
	if receiver == p.index {
		sim.deliverAfter(0, p.index, receiver, m.Marshal())
		return
	}
	for range 2 {
		if !sim.cutLinks[[2]int{p.index, receiver}] && sim.random.Float64() >= sim.lossRate {
			sim.deliverAfter(ms/10+sim.random.Int64N(sim.maxDelay), p.index, receiver, m.Marshal())
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

// requestRate returns the request rate that a process reports: it changes over time, and process 1 reports 100 times
// its traffic.
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

// handleResult processes the result of a proposal. If it contains a ticket, the proposal is sent again with it.
func (p *process) handleResult(from string, result *ProposalResult) {
	sim := p.sim
	switch {
	case result.Ticket != nil:
		if proposal, waits := sim.proposals[result.ID]; waits && p.waiting[result.ID] {
			p.ticketed[result.ID] = true
			p.Send(from, &Message{From: p.name, Proposal: &proposal, Ticket: result.Ticket})
		}
		return
	case result.Revision != 0:
		sim.accepted[result.ID] = result.Revision
	case result.IsFinal && (!p.ticketed[result.ID] || !strings.HasPrefix(result.Reason, "nobody leads")):
		// "nobody leads" is final only if the proposal was not sent to any leader with a ticket.
		sim.refused[result.ID] = true
	}
	delete(p.waiting, result.ID)
}

// resume continues a paused process and then delivers at once the messages that arrived during the pause.
func (p *process) resume() {
	p.isPaused = false
	for _, message := range p.pausedInbox {
		p.sim.deliverAfter(0, message.from, message.to, message.bytes)
	}
	p.pausedInbox = nil
}

// propose sends a proposal from one process to the replica of another and returns its ID. It sends nothing if the
// proposing process is down or paused.
func (sim *simulation) propose(from, to int, proposal Proposal) string {
	sim.proposalCount++
	proposal.ID = fmt.Sprintf("p%d", sim.proposalCount)
	if p := sim.processes[from]; !p.isDown && !p.isPaused {
		p.waiting[proposal.ID], sim.proposals[proposal.ID] = true, proposal
		p.Send(sim.processes[to].name, &Message{From: p.name, Proposal: &proposal})
	}
	return proposal.ID
}

// proposeAtRandom sends a random proposal from a random process to a random replica.
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

// injectFault starts or ends a random fault: partitions, loss, duplication, delay, crashes or pauses.
func (sim *simulation) injectFault(replicas int) {
	n, m := sim.random.IntN(len(sim.processes)), sim.random.IntN(len(sim.processes))
	p := sim.processes[n]
	switch sim.random.IntN(14) {
	case 0: // Partition the fleet into two sides.
		side := make([]bool, len(sim.processes))
		for i := range side {
			side[i] = sim.random.IntN(2) == 0
		}
		for i := range sim.processes {
			for j := range sim.processes {
				sim.cutLinks[[2]int{i, j}] = side[i] != side[j]
			}
		}
	case 1: // Cut one link in one direction.
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

// keepSpareMajority reverts crashes that leave no more than a majority of the replicas alive, if these have no disks: it
// keeps one replica more than a majority alive. Replicas without disks lose the history when a majority is down at the
// same time, which is a documented limit and not a fault.
func (sim *simulation) keepSpareMajority(replicas int) {
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
				p.isDown = false
			}
		}
	}
}

// healAndCheck ends all faults and then checks that every process gets a lease and the latest revision.
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
		if config := p.holder.EffectiveConfig(p.clock()); !config.IsLeased || config.LatestRevision < number ||
			number == 0 || config.MinRevision != config.LatestRevision || !slices.Contains(config.EjectedEndpoints, "last") {
			if sim.violation == "" {
				sim.violation = fmt.Sprintf("after all faults ended, %s has revisions %d to %d, leased %v; "+
					"the last proposal is revision %d",
					p.name, config.MinRevision, config.LatestRevision, config.IsLeased, number)
			}
		}
	}
}

// checkInvariants checks the effective configurations of all processes:
//   - all processes have the same history;
//   - no proposal with a final refusal is in force;
//   - no revision is the min revision anywhere while a process under a lease does not know it;
//   - processes under leases contradict each other for at most MaxDisagreement;
//   - budget shares of processes that are neither down nor paused add up to at most 1; not checked in simulations of more
//     than MaxMembers processes.
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
		config := p.holder.EffectiveConfig(p.clock())
		sim.trace.add(4, p.index, config.MinRevision, config.LatestRevision, config.IsLeased, config.ReplicatedConfig,
			p.holder.LeaseExpiry(), p.holder.Leader(), p.holder.ConflictingResponses, p.holder.TimeUntilTick(p.clock()))
		if r := p.replica; r != nil {
			sim.trace.add(5, r.IsLeader(), r.IsBootstrapped(), r.ActiveLeases(p.clock()), r.state.MinRevision,
				r.log.applied, r.TimeUntilTick(p.clock()))
		}
		if !p.isPaused && len(sim.processes) <= testTiming.MaxMembers {
			shares += config.BudgetShare
		}
		lastChecked := p.lastChecked
		p.lastChecked = [3]uint64{p.incarnation, config.MinRevision, config.LatestRevision}
		for _, revision := range p.holder.known.active {
			if lastChecked == p.lastChecked {
				break
			}
			if firstDigest, known := sim.digests[revision.Number]; !known {
				sim.digests[revision.Number] = revision.Digest()
			} else if firstDigest != revision.Digest() {
				fail("two histories: revision %d has digests %s and %s", revision.Number, firstDigest, revision.Digest())
			}
			if revision.ProposalID != "" && sim.refused[revision.ProposalID] {
				fail("refused proposal in force: %s had a final refusal and became revision %d", revision.ProposalID,
					revision.Number)
			}
		}
		for uint64(len(sim.firstUses)) <= config.LatestRevision {
			sim.firstUses = append(sim.firstUses, firstUse{})
		}
		for v := int(config.LatestRevision); v > 0 && sim.firstUses[v].asLatest == 0; v-- {
			sim.firstUses[v].asLatest = sim.now
		}
		for v := int(config.MinRevision); v > 0 && sim.firstUses[v].asMinRevision == 0; v-- {
			sim.firstUses[v].asMinRevision = sim.now
		}
		if !config.IsLeased && !(sim.ignoresLeaseExpiry && p.holder.expiresAt != 0) || p.isPaused {
			continue // Without a lease no agreement is claimed, and a paused process makes no decisions.
		}
		if next := int(config.LatestRevision) + 1; next < len(sim.firstUses) {
			if sim.firstUses[next].asMinRevision != 0 {
				fail("loosening too early: %s has a lease and revision %d, but the min revision is already %d", p.name,
					config.LatestRevision, next)
			}
			if sim.firstUses[next].asLatest != 0 {
				sim.longestContradiction = max(sim.longestContradiction, sim.now-sim.firstUses[next].asLatest)
			}
		}
	}
	if sim.largestShareSum = max(sim.largestShareSum, shares); shares > 1+1e-9 {
		fail("budget shares add up to %v, over 1", shares)
	}
	if sim.longestContradiction > int64(testTiming.MaxDisagreement()) {
		fail("contradiction too long: %v, over MaxDisagreement of %v", time.Duration(sim.longestContradiction),
			testTiming.MaxDisagreement())
	}
}
