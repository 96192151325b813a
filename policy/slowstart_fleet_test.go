package policy

import (
	"container/heap"
	"fmt"
	"math"
	"testing"
	"time"
)

// slowStartDeployment is what one deployment's settings say of endpoints that warm up, and how busy a warm one is.
type slowStartDeployment struct {
	name                            string
	startCapacity, overloadMultiple float64
	warmUp, overloadAfter           int64
	perEndpoint                     float64 // requests a second that a warm endpoint answers
	latency                         int64   // of a request
}

// slowStartDeployments are settings as deployments have them.
var slowStartDeployments = []slowStartDeployment{
	{"short warm-up", 0.32, 3, 3500 * ms, second, 40, 10 * ms},
	{"warm by requests", 0.12, 2.5, 9 * second, 2 * second, 18, 25 * ms},
	{"tight multiple", 0.22, 2, 15 * second, 2 * second, 30, 15 * ms},
	{"by time", 0.14, 2.5, 23 * second, 3 * second, 18, 25 * ms},
	{"long warm-up", 0.1, 2.5, 35 * second, 2 * second, 12, 30 * ms},
}

// budget is how many requests the settings allow an endpoint in overloadAfter, so long after its start.
func (d slowStartDeployment) budget(since int64) float64 {
	part := min(1, d.startCapacity+(1-d.startCapacity)*float64(since)/float64(d.warmUp))
	return d.overloadMultiple * part * d.perEndpoint * float64(d.overloadAfter) / float64(second)
}

// attemptEnd is an attempt that ends at a time, or, with request -1, a timer whose tag is in attempt.
type attemptEnd struct {
	at                       int64
	member, request, attempt int
	endpoint                 int
	outcome                  Outcome
}

// attemptEnds is a heap by time.
type attemptEnds []attemptEnd

func (e attemptEnds) Len() int { return len(e) }

func (e attemptEnds) Less(i, j int) bool { return e[i].at < e[j].at }

func (e attemptEnds) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *attemptEnds) Push(x any) { *e = append(*e, x.(attemptEnd)) }

func (e *attemptEnds) Pop() any { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// slowStartMember is one balancer of a slowStartFleet and its Executor.
type slowStartMember struct {
	discardExecutor
	fleet       *slowStartFleet
	index       int
	balancer    *Balancer
	freeIndices []int       // indices of requests that may be used again
	attempts    map[int]int // of each request that is under way
	nextIndex   int
}

// release gives a request its final answer: its index may be used again.
func (m *slowStartMember) release(request int) {
	m.freeIndices = append(m.freeIndices, request)
	m.attempts[request] = 0
}

// Reject implements Executor.
func (m *slowStartMember) Reject(request int, _ Reason, _ int64) { m.release(request) }

// Fail implements Executor.
func (m *slowStartMember) Fail(request int, _ Reason) { m.release(request) }

// SetTimer implements Executor.
func (m *slowStartMember) SetTimer(tag int, after int64) {
	heap.Push(&m.fleet.events, attemptEnd{at: m.fleet.now + after, member: m.index, request: -1, attempt: tag})
}

// Send implements Executor.
func (m *slowStartMember) Send(request, endpoint int, _ int64) {
	f := m.fleet
	end := attemptEnd{f.now + f.deployment.latency, m.index, request, m.attempts[request], endpoint, OK}
	if m.attempts[request]++; f.unreachable[endpoint] {
		end.at, end.outcome = f.now+ms, ConnectFailed
	}
	heap.Push(&f.events, end)
	f.sent[endpoint] = append(f.sent[endpoint], f.now)
}

// slowStartFleet is a number of balancers before endpoints that answer all they get, on a virtual clock.
type slowStartFleet struct {
	deployment        slowStartDeployment
	now               int64
	random            randomSource
	members           []*slowStartMember
	cumulativeWeights []float64 // of the load, by member
	events            attemptEnds
	sent              [][]int64 // when, for each endpoint
	started           []int64
	health            []Health
	unreachable       []bool // endpoints that take no connection, whatever the list says
	settings          map[string]any
}

// newSlowStartFleet begins a fleet. With uneven, one balancer in five has five times the load of the others.
func newSlowStartFleet(d slowStartDeployment, seed uint64, members, endpoints int, uneven bool) *slowStartFleet {
	f := &slowStartFleet{deployment: d, now: unixStart, random: randomSource{seed + 1, 7}, sent: make([][]int64, endpoints),
		started: make([]int64, endpoints), health: make([]Health, endpoints), unreachable: make([]bool, endpoints)}
	f.settings = map[string]any{"workloads": 1.0, "workloads.0.group": "all", "workloads.0.expectedTime": 600.0, "workloads.0.effect": "free",
		"allowed.mostTrips": 3.0, "allowed.cancelling": true, "balancers": float64(members), "invariants.startCapacity": d.startCapacity,
		"invariants.warmUp": float64(d.warmUp / ms), "invariants.fallMultiple": d.overloadMultiple, "invariants.tipAfter": float64(d.overloadAfter / ms)}
	total := 0.0
	for i := range members {
		f.members = append(f.members, f.newMember(i))
		if total++; uneven && i%5 == 0 {
			total += 4
		}
		f.cumulativeWeights = append(f.cumulativeWeights, total)
	}
	f.updateList()
	return f
}

// newMember begins a balancer that knows nothing.
func (f *slowStartFleet) newMember(index int) *slowStartMember {
	m := &slowStartMember{fleet: f, index: index, attempts: map[int]int{}}
	m.balancer = New(f.now, f.random.uint64(), f.settings, m)
	return m
}

// updateList tells all members the present list.
func (f *slowStartFleet) updateList() {
	for _, m := range f.members {
		m.balancer.BeginEndpointUpdate(FullList)
		for index, health := range f.health {
			m.balancer.UpdateEndpoint(f.now, index, EndpointInfo{Address: fmt.Sprint("s-", index), Health: health, StartedAt: f.started[index], Weight: 1})
		}
		m.balancer.CommitEndpointUpdate(f.now)
	}
}

// request hands a request with a key of its own to a member, drawn by its part of the load.
func (f *slowStartFleet) request() {
	at, i := f.random.float64()*f.cumulativeWeights[len(f.cumulativeWeights)-1], 0
	for f.cumulativeWeights[i] <= at {
		i++
	}
	m := f.members[i]
	request := m.nextIndex
	if n := len(m.freeIndices); n > 0 {
		request, m.freeIndices = m.freeIndices[n-1], m.freeIndices[:n-1]
	} else {
		m.nextIndex++
	}
	m.balancer.HandleRequest(f.now, request, RequestInfo{Remaining: 2 * second, Tenant: -1, Key: f.random.uint64(), HasKey: true})
}

// run plays for so long, with so many requests a second.
func (f *slowStartFleet) run(length int64, rate float64) {
	for end := f.now + length; ; {
		next := f.now + int64(-math.Log(1-f.random.float64())/rate*float64(second))
		for len(f.events) > 0 && f.events[0].at <= min(next, end) {
			e := heap.Pop(&f.events).(attemptEnd)
			f.now = e.at
			m := f.members[e.member]
			if e.request < 0 {
				m.balancer.HandleTimer(f.now, e.attempt)
				continue
			}
			m.balancer.HandleAttemptEnded(f.now, e.request, AttemptResult{Attempt: e.attempt, Endpoint: e.endpoint, CacheResult: 1, Outcome: e.outcome, Latency: f.deployment.latency, IsAnswered: e.outcome == OK})
			if e.outcome == OK {
				m.release(e.request)
			}
		}
		if next > end {
			f.now = end
			return
		}
		f.now = next
		f.request()
	}
}

// worstExcess is the most that an endpoint was sent in overloadAfter, over what the settings allow and chance explains:
// over 1 it falls over.
func (f *slowStartFleet) worstExcess(index int) (most float64, sum int, allowed float64) {
	from := 0
	for n, at := range f.sent[index] {
		if at < f.started[index] || at > f.started[index]+f.deployment.warmUp {
			from = n + 1
			continue
		}
		for f.sent[index][from] <= at-f.deployment.overloadAfter {
			from++
		}
		budget := f.deployment.budget(at - f.started[index])
		if over := float64(n-from+1) / (budget + 2*math.Sqrt(budget) + 2); over > most {
			most, sum, allowed = over, n-from+1, budget
		}
	}
	return most, sum, allowed
}

// receivedShare is the part of what a warm endpoint answers that one was sent from its start on.
func (f *slowStartFleet) receivedShare(index int, since int64) float64 {
	sent := 0
	for _, at := range f.sent[index] {
		if at >= f.started[index] && at < f.started[index]+since {
			sent++
		}
	}
	return float64(sent) / (f.deployment.perEndpoint * float64(since) / float64(second))
}

// fleetEndpoints is how many endpoints a fleet has.
const fleetEndpoints = 20

// restart has the first so many endpoints start again, and tells all members.
func (f *slowStartFleet) restart(endpoints int) {
	for index := range endpoints {
		f.started[index] = f.now
	}
	f.updateList()
}

// drainOthers leaves one endpoint, which warms up, for all the load.
func (f *slowStartFleet) drainOthers(after int64, rate float64) {
	f.run(after, rate)
	for index := 1; index < fleetEndpoints; index++ {
		f.health[index] = Draining
	}
	f.updateList()
	f.run(2*f.deployment.overloadAfter, rate)
}

// slowStartLoads is what a fleet goes through from the moment on at which endpoints that have just started, the first
// so many, are listed.
var slowStartLoads = []struct {
	name     string
	starting int  // endpoints that have just started
	uneven   bool // one balancer in five has five times the load of the others
	warms    bool // the load goes on to the end of the warm-up: enough of it has to reach the starting ones
	play     func(f *slowStartFleet, rate float64)
}{
	{"usual", 1, false, true, func(f *slowStartFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"uneven", 1, true, true, func(f *slowStartFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"three in ten", fleetEndpoints * 3 / 10, false, true, func(f *slowStartFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"burst", 1, false, true, func(f *slowStartFleet, rate float64) {
		f.run(f.deployment.warmUp/4, rate)
		f.run(f.deployment.warmUp*3/4, rate*1.5)
	}},
	{"all balancers restart", 1, false, false, func(f *slowStartFleet, rate float64) {
		for i := range f.members {
			f.members[i] = f.newMember(i)
		}
		f.events = f.events[:0]
		f.updateList()
		f.run(f.deployment.warmUp, rate)
	}},
	{"the others drain at once", 1, false, false, func(f *slowStartFleet, rate float64) { f.drainOthers(0, rate) }},
	{"the others drain later", 1, false, false, func(f *slowStartFleet, rate float64) { f.drainOthers(f.deployment.warmUp*2/3, rate) }},
	{"the others are cut off", 2, false, false, func(f *slowStartFleet, rate float64) {
		f.run(f.deployment.warmUp/3, rate)
		for index := 2; index < fleetEndpoints; index++ {
			f.unreachable[index] = true
		}
		f.run(2*f.deployment.overloadAfter, rate)
	}},
	{"silence, then all at once", 1, false, false, func(f *slowStartFleet, rate float64) {
		f.now += f.deployment.warmUp / 3
		f.drainOthers(0, rate)
	}},
}

// An endpoint restarts before 5 to 300 balancers. Each sends it little, and what they send together could push it over,
// after which it starts again. In overloadAfter all together send it no more than N + 2 x root of N + 2, N being what
// the settings allow it then, taken here from what a warm endpoint answers, which is less than it can do. And it does
// get a part: an endpoint that gets nothing never warms.
func TestFleetStaysWithinSlowStartBudget(t *testing.T) {
	const minReceived = 0.25 // of what a warm endpoint answers, over the warm-up
	for _, d := range slowStartDeployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, members := range []int{5, 20, 30, 100, 300} {
				for n, load := range slowStartLoads {
					f := newSlowStartFleet(d, uint64(members+n), members, fleetEndpoints, load.uneven)
					rate := d.perEndpoint * fleetEndpoints
					f.run(10*second, rate)
					f.restart(load.starting)
					load.play(f, rate)
					for index := range load.starting {
						if worst, sum, budget := f.worstExcess(index); worst > 1 {
							t.Errorf("%d balancers, %s: %d requests to warming endpoint %d within %v, of %.1f allowed", members, load.name,
								sum, index, time.Duration(d.overloadAfter), budget)
						}
						if received := f.receivedShare(index, d.warmUp); load.warms && received < minReceived {
							t.Errorf("%d balancers, %s: warming endpoint %d has %.2f of a warm one's requests", members, load.name, index, received)
						}
					}
				}
			}
		})
	}
}

// Warm endpoints leave the list or restart, and the last one takes their load. What a warm endpoint answers is taken
// for each: it does not rise, and with it the budget of those that warm up, as others leave.
func TestSlowStartBudgetIgnoresWarmEndpointsLeaving(t *testing.T) {
	for name, leave := range map[string]func(f *slowStartFleet){
		"drained": func(f *slowStartFleet) {
			for index := 1; index < fleetEndpoints-1; index++ {
				f.health[index] = Draining
			}
			f.updateList()
		},
		"restarted": func(f *slowStartFleet) { f.restart(fleetEndpoints - 1) },
	} {
		f := newSlowStartFleet(slowStartDeployments[0], 1, 1, fleetEndpoints, false)
		f.run(15*second, slowStartDeployments[0].perEndpoint*fleetEndpoints)
		f.restart(1)
		b := f.members[0].balancer
		b.refillSlowStart(f.now, 0)
		before := b.warmThroughput.peak
		leave(f)
		if b.refillSlowStart(f.now+ms, 0); b.warmThroughput.peak > 1.1*before {
			t.Errorf("%s: a warm endpoint answers %.1f a second, and %.1f once one is left", name, before, b.warmThroughput.peak)
		}
	}
}
