package policy

import (
	"container/heap"
	"fmt"
	"math"
	"testing"
	"time"
)

// slowStartDeployment holds the slow-start settings of a deployment and the load of its warm endpoints.
type slowStartDeployment struct {
	name                            string
	startCapacity, overloadMultiple float64
	warmUp, overloadAfter           int64
	endpointRate                    float64 // requests per second that a warm endpoint answers
	latency                         int64   // of an attempt
}

// The settings are realistic.
var slowStartDeployments = []slowStartDeployment{
	{"short warm-up", 0.32, 3, 3500 * ms, second, 40, 10 * ms},
	{"9 s warm-up", 0.12, 2.5, 9 * second, 2 * second, 18, 25 * ms},
	{"tight multiple", 0.22, 2, 15 * second, 2 * second, 30, 15 * ms},
	{"23 s warm-up", 0.14, 2.5, 23 * second, 3 * second, 18, 25 * ms},
	{"long warm-up", 0.1, 2.5, 35 * second, 2 * second, 12, 30 * ms},
}

// budget returns the number of requests that the settings allow an endpoint within overloadAfter, at an age since its
// start.
func (d slowStartDeployment) budget(age int64) float64 {
	capacity := min(1, d.startCapacity+(1-d.startCapacity)*float64(age)/float64(d.warmUp))
	return d.overloadMultiple * capacity * d.endpointRate * float64(d.overloadAfter) / float64(second)
}

// fleetEvent is the scheduled end of an attempt or, if request is -1, a timer whose tag is in attempt.
type fleetEvent struct {
	at                       int64
	member, request, attempt int
	endpoint                 int
	outcome                  Outcome
}

// fleetEvents is a heap ordered by time.
type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }

func (e fleetEvents) Less(i, j int) bool { return e[i].at < e[j].at }

func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *fleetEvents) Push(x any) { *e = append(*e, x.(fleetEvent)) }

func (e *fleetEvents) Pop() any { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// slowStartMember is a balancer of a slowStartFleet and the Executor of that balancer.
type slowStartMember struct {
	discardExecutor
	fleet       *slowStartFleet
	index       int
	balancer    *Balancer
	freeIndices []int       // indices of finished requests, for reuse
	attempts    map[int]int // number of attempts by open request
	nextIndex   int
}

// release frees the index of a request that has its final answer.
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
	heap.Push(&m.fleet.events, fleetEvent{at: m.fleet.now + after, member: m.index, request: -1, attempt: tag})
}

// Send implements Executor.
func (m *slowStartMember) Send(request, endpoint int, _ int64) {
	f := m.fleet
	end := fleetEvent{f.now + f.deployment.latency, m.index, request, m.attempts[request], endpoint, OK}
	if m.attempts[request]++; f.unreachable[endpoint] {
		end.at, end.outcome = f.now+ms, ConnectFailed
	}
	heap.Push(&f.events, end)
	f.sent[endpoint] = append(f.sent[endpoint], f.now)
}

// slowStartFleet simulates balancers that send to the same endpoints, on a virtual clock. Reachable endpoints answer
// all attempts.
type slowStartFleet struct {
	deployment     slowStartDeployment
	now            int64
	random         randomSource
	members        []*slowStartMember
	cumulativeLoad []float64 // cumulative share of the load, by member
	events         fleetEvents
	sent           [][]int64 // send times by endpoint
	startedAt      []int64
	health         []Health
	unreachable    []bool // endpoints that refuse connections, whatever the endpoint list states
	settings       map[string]any
}

// newSlowStartFleet returns a fleet with a number of members and ready endpoints. If uneven, one balancer in five gets
// five times the load of the others.
func newSlowStartFleet(d slowStartDeployment, seed uint64, members, endpoints int, uneven bool) *slowStartFleet {
	f := &slowStartFleet{deployment: d, now: unixStart, random: randomSource{seed + 1, 7}, sent: make([][]int64, endpoints),
		startedAt: make([]int64, endpoints), health: make([]Health, endpoints), unreachable: make([]bool, endpoints)}
	f.settings = map[string]any{"workloads": 1.0, "workloads.0.group": "all", "workloads.0.expectedTime": 600.0, "workloads.0.effect": "free",
		"allowed.mostTrips": 3.0, "allowed.cancelling": true, "balancers": float64(members), "invariants.startCapacity": d.startCapacity,
		"invariants.warmUp": float64(d.warmUp / ms), "invariants.fallMultiple": d.overloadMultiple, "invariants.tipAfter": float64(d.overloadAfter / ms)}
	total := 0.0
	for i := range members {
		f.members = append(f.members, f.newMember(i))
		if total++; uneven && i%5 == 0 {
			total += 4
		}
		f.cumulativeLoad = append(f.cumulativeLoad, total)
	}
	f.updateList()
	return f
}

// newMember returns a balancer without observations.
func (f *slowStartFleet) newMember(index int) *slowStartMember {
	m := &slowStartMember{fleet: f, index: index, attempts: map[int]int{}}
	m.balancer = New(f.now, f.random.uint64(), f.settings, m)
	return m
}

// updateList sends the current endpoint list to all members.
func (f *slowStartFleet) updateList() {
	for _, m := range f.members {
		m.balancer.BeginEndpointUpdate(FullList)
		for index, health := range f.health {
			m.balancer.UpdateEndpoint(f.now, index, EndpointInfo{Address: fmt.Sprint("s-", index), Health: health, StartedAt: f.startedAt[index], Weight: 1})
		}
		m.balancer.CommitEndpointUpdate(f.now)
	}
}

// sendRequest sends a request with a random key to a member that is drawn in proportion to its share of the load.
func (f *slowStartFleet) sendRequest() {
	draw, i := f.random.float64()*f.cumulativeLoad[len(f.cumulativeLoad)-1], 0
	for f.cumulativeLoad[i] <= draw {
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

// run simulates a duration in which requests arrive at random at a rate per second.
func (f *slowStartFleet) run(duration int64, rate float64) {
	for end := f.now + duration; ; {
		next := f.now + int64(-math.Log(1-f.random.float64())/rate*float64(second))
		for len(f.events) > 0 && f.events[0].at <= min(next, end) {
			e := heap.Pop(&f.events).(fleetEvent)
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
		f.sendRequest()
	}
}

// worstExcess returns the largest ratio, over all windows of overloadAfter during the warm-up, of the requests sent to
// an endpoint to the limit (budget + 2*sqrt(budget) + 2, to allow for random variation). Over 1 counts as a crash.
// It also returns the number of requests and the limit of that window.
func (f *slowStartFleet) worstExcess(index int) (worst float64, sent int, worstLimit float64) {
	from := 0
	for n, at := range f.sent[index] {
		if at < f.startedAt[index] || at > f.startedAt[index]+f.deployment.warmUp {
			from = n + 1
			continue
		}
		for f.sent[index][from] <= at-f.deployment.overloadAfter {
			from++
		}
		budget := f.deployment.budget(at - f.startedAt[index])
		limit := budget + 2*math.Sqrt(budget) + 2
		if ratio := float64(n-from+1) / limit; ratio > worst {
			worst, sent, worstLimit = ratio, n-from+1, limit
		}
	}
	return worst, sent, worstLimit
}

// receivedShare returns the number of requests sent to an endpoint in a duration from its start on, as a fraction of
// what a warm endpoint answers in that time.
func (f *slowStartFleet) receivedShare(index int, duration int64) float64 {
	sent := 0
	for _, at := range f.sent[index] {
		if at >= f.startedAt[index] && at < f.startedAt[index]+duration {
			sent++
		}
	}
	return float64(sent) / (f.deployment.endpointRate * float64(duration) / float64(second))
}

const fleetEndpoints = 20

// restart restarts the first endpoints, as many as given, and updates the endpoint list of all members.
func (f *slowStartFleet) restart(endpoints int) {
	for index := range endpoints {
		f.startedAt[index] = f.now
	}
	f.updateList()
}

// drainOthers runs the load for a duration, then drains all endpoints but the first, which is warming up, and runs the
// load on that one.
func (f *slowStartFleet) drainOthers(duration int64, rate float64) {
	f.run(duration, rate)
	for index := 1; index < fleetEndpoints; index++ {
		f.health[index] = Draining
	}
	f.updateList()
	f.run(2*f.deployment.overloadAfter, rate)
}

// Each scenario starts when the endpoint list first shows that the first endpoints have just started.
var slowStartScenarios = []struct {
	name           string
	starting       int  // number of endpoints that have just started
	uneven         bool // one balancer in five gets five times the load of the others
	checksReceived bool // enough of the load must reach the starting endpoints
	run            func(f *slowStartFleet, rate float64)
}{
	{"steady load", 1, false, true, func(f *slowStartFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"uneven load", 1, true, true, func(f *slowStartFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"three in ten endpoints start", fleetEndpoints * 3 / 10, false, true, func(f *slowStartFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"load rises by half", 1, false, true, func(f *slowStartFleet, rate float64) {
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
	{"all other endpoints drain at once", 1, false, false, func(f *slowStartFleet, rate float64) { f.drainOthers(0, rate) }},
	{"all other endpoints drain late in the warm-up", 1, false, false, func(f *slowStartFleet, rate float64) { f.drainOthers(f.deployment.warmUp*2/3, rate) }},
	{"all other endpoints become unreachable", 2, false, false, func(f *slowStartFleet, rate float64) {
		f.run(f.deployment.warmUp/3, rate)
		for index := 2; index < fleetEndpoints; index++ {
			f.unreachable[index] = true
		}
		f.run(2*f.deployment.overloadAfter, rate)
	}},
	{"all other endpoints drain after a time without requests", 1, false, false, func(f *slowStartFleet, rate float64) {
		f.now += f.deployment.warmUp / 3
		f.drainOthers(0, rate)
	}},
}

// An endpoint restarts in a fleet of 5 to 300 balancers. Each balancer sends it little, but together they could crash
// it again. Within overloadAfter they must send it no more than N + 2*sqrt(N) + 2 requests, where N is the number that
// the settings allow at the time. N is computed from what a warm endpoint answers, which is less than its capacity, so
// the real limit is higher. The endpoint must also receive a share of the requests, as it would otherwise never warm
// up.
func TestFleetStaysWithinSlowStartBudget(t *testing.T) {
	const minReceived = 0.25 // of what a warm endpoint answers during the warm-up
	for _, d := range slowStartDeployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, members := range []int{5, 20, 30, 100, 300} {
				for n, scenario := range slowStartScenarios {
					f := newSlowStartFleet(d, uint64(members+n), members, fleetEndpoints, scenario.uneven)
					rate := d.endpointRate * fleetEndpoints
					f.run(10*second, rate)
					f.restart(scenario.starting)
					scenario.run(f, rate)
					for index := range scenario.starting {
						if worst, sent, limit := f.worstExcess(index); worst > 1 {
							t.Errorf("%d balancers, %s: %d requests sent to warming endpoint %d within %v, limit %.1f", members, scenario.name,
								sent, index, time.Duration(d.overloadAfter), limit)
						}
						if received := f.receivedShare(index, d.warmUp); scenario.checksReceived && received < minReceived {
							t.Errorf("%d balancers, %s: warming endpoint %d received %.2f of a warm one's requests, want at least %.2f", members, scenario.name, index, received, minReceived)
						}
					}
				}
			}
		})
	}
}

// Warm endpoints leave the endpoint list or restart until only one is left. The throughput of a warm endpoint, on which
// the budget of the warming ones is based, must not rise because the same answers are divided among fewer endpoints.
func TestSlowStartBudgetIgnoresWarmEndpointsLeaving(t *testing.T) {
	for name, removeWarm := range map[string]func(f *slowStartFleet){
		"drained": func(f *slowStartFleet) {
			for index := 1; index < fleetEndpoints-1; index++ {
				f.health[index] = Draining
			}
			f.updateList()
		},
		"restarted": func(f *slowStartFleet) { f.restart(fleetEndpoints - 1) },
	} {
		f := newSlowStartFleet(slowStartDeployments[0], 1, 1, fleetEndpoints, false)
		f.run(15*second, slowStartDeployments[0].endpointRate*fleetEndpoints)
		f.restart(1)
		b := f.members[0].balancer
		b.refillSlowStart(f.now, 0)
		before := b.warmThroughput.peak
		removeWarm(f)
		if b.refillSlowStart(f.now+ms, 0); b.warmThroughput.peak > 1.1*before {
			t.Errorf("%s: throughput of a warm endpoint = %.1f per second before, %.1f with one left", name, before, b.warmThroughput.peak)
		}
	}
}
