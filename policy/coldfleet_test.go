package policy

import (
	"container/heap"
	"fmt"
	"math"
	"testing"
	"time"
)

// coldDeployment is what the settings of one customer say of cold servers, and how busy a warm one is.
type coldDeployment struct {
	name                        string
	startCapacity, fallMultiple float64
	warmUp, tipAfter            int64
	perServer                   float64 // requests a second that a warm server answers
	work                        int64   // how long one takes
}

var coldDeployments = []coldDeployment{
	{"short warm-up", 0.32, 3, 3500 * ms, second, 40, 10 * ms},
	{"warm by requests", 0.12, 2.5, 9 * second, 2 * second, 18, 25 * ms},
	{"tight multiple", 0.22, 2, 15 * second, 2 * second, 30, 15 * ms},
	{"by time", 0.14, 2.5, 23 * second, 3 * second, 18, 25 * ms},
	{"long warm-up", 0.1, 2.5, 35 * second, 2 * second, 12, 30 * ms},
}

// budget is how many requests the settings allow a server in tipAfter so long after its start.
func (d coldDeployment) budget(since int64) float64 {
	part := min(1, d.startCapacity+(1-d.startCapacity)*float64(since)/float64(d.warmUp))
	return d.fallMultiple * part * d.perServer * float64(d.tipAfter) / float64(second)
}

// ending is an attempt that ends at a moment.
type ending struct {
	at                      int64
	member, request, number int
	server                  int
	how                     Outcome
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// coldMember is one balancer of a coldFleet and its Host.
type coldMember struct {
	quiet
	fleet    *coldFleet
	index    int
	balancer *Balancer
	free     []int       // indices of requests that may be used again
	attempts map[int]int // of each request that is under way
	next     int
}

// end gives a request its final answer: its index is free again.
func (m *coldMember) end(request int) {
	m.free = append(m.free, request)
	m.attempts[request] = 0
}

func (m *coldMember) Reject(request int, _ Reason, _ int64) { m.end(request) }
func (m *coldMember) Fail(request int, _ Reason)            { m.end(request) }
func (m *coldMember) SetTimer(tag int, after int64) {
	heap.Push(&m.fleet.endings, ending{at: m.fleet.now + after, member: m.index, request: -1, number: tag})
}

func (m *coldMember) Send(request, server int, _ int64) {
	f := m.fleet
	end := ending{f.now + f.deployment.work, m.index, request, m.attempts[request], server, OK}
	if m.attempts[request]++; f.cutOff[server] {
		end.at, end.how = f.now+ms, ConnectFailed
	}
	heap.Push(&f.endings, end)
	f.sent[server] = append(f.sent[server], f.now)
}

// coldFleet is a number of balancers before servers that answer all they get, on a virtual clock.
type coldFleet struct {
	deployment coldDeployment
	now        int64
	chance     randomSource
	members    []*coldMember
	weights    []float64 // summed up: of the load, for each member
	endings    endings
	sent       [][]int64 // when, for each server
	started    []int64
	health     []Health
	cutOff     []bool // servers that take no connection, whatever the list says
	values     map[string]any
}

func newColdFleet(d coldDeployment, seed uint64, members, servers int, uneven bool) *coldFleet {
	f := &coldFleet{deployment: d, now: unix, chance: randomSource{seed + 1, 7}, sent: make([][]int64, servers),
		started: make([]int64, servers), health: make([]Health, servers), cutOff: make([]bool, servers)}
	f.values = map[string]any{"workloads": 1.0, "workloads.0.group": "all", "workloads.0.expectedTime": 600.0, "workloads.0.effect": "free",
		"allowed.mostTrips": 3.0, "allowed.cancelling": true, "balancers": float64(members), "invariants.startCapacity": d.startCapacity,
		"invariants.warmUp": float64(d.warmUp / ms), "invariants.fallMultiple": d.fallMultiple, "invariants.tipAfter": float64(d.tipAfter / ms)}
	total := 0.0
	for i := range members {
		f.members = append(f.members, f.begin(i))
		if total++; uneven && i%5 == 0 {
			total += 4
		}
		f.weights = append(f.weights, total)
	}
	f.list()
	return f
}

// begin makes a member that knows nothing.
func (f *coldFleet) begin(index int) *coldMember {
	m := &coldMember{fleet: f, index: index, attempts: map[int]int{}}
	m.balancer = New(f.now, f.chance.uint64(), f.values, m)
	return m
}

// list tells all members the present list.
func (f *coldFleet) list() {
	for _, m := range f.members {
		m.balancer.BeginEndpointUpdate(FullList)
		for s, health := range f.health {
			m.balancer.UpdateEndpoint(f.now, s, EndpointInfo{Address: fmt.Sprint("s-", s), Health: health, StartedAt: f.started[s], Weight: 1})
		}
		m.balancer.CommitEndpointUpdate(f.now)
	}
}

// ask hands a request with a key of its own to a member by its weight.
func (f *coldFleet) ask() {
	at, i := f.chance.float64()*f.weights[len(f.weights)-1], 0
	for f.weights[i] <= at {
		i++
	}
	m := f.members[i]
	request := m.next
	if n := len(m.free); n > 0 {
		request, m.free = m.free[n-1], m.free[:n-1]
	} else {
		m.next++
	}
	m.balancer.HandleRequest(f.now, request, RequestInfo{Remaining: 2 * second, Tenant: -1, Key: f.chance.uint64(), HasKey: true})
}

// run plays so long with so many requests a second.
func (f *coldFleet) run(length int64, rate float64) {
	for end := f.now + length; ; {
		next := f.now + int64(-math.Log(1-f.chance.float64())/rate*float64(second))
		for len(f.endings) > 0 && f.endings[0].at <= min(next, end) {
			e := heap.Pop(&f.endings).(ending)
			f.now = e.at
			m := f.members[e.member]
			if e.request < 0 {
				m.balancer.HandleTimer(f.now, e.number)
				continue
			}
			m.balancer.HandleAttemptEnded(f.now, e.request, AttemptResult{Attempt: e.number, Endpoint: e.server, CacheResult: 1, Outcome: e.how, Latency: f.deployment.work, IsAnswered: e.how == OK})
			if e.how == OK {
				m.end(e.request)
			}
		}
		if next > end {
			f.now = end
			return
		}
		f.now = next
		f.ask()
	}
}

// worst is how far the sum that a server was sent in tipAfter went over what chance explains, at its worst: over 1
// it falls.
func (f *coldFleet) worst(s int) (most float64, sum int, allowed float64) {
	from := 0
	for n, at := range f.sent[s] {
		if at < f.started[s] || at > f.started[s]+f.deployment.warmUp {
			from = n + 1
			continue
		}
		for f.sent[s][from] <= at-f.deployment.tipAfter {
			from++
		}
		budget := f.deployment.budget(at - f.started[s])
		if over := float64(n-from+1) / (budget + 2*math.Sqrt(budget) + 2); over > most {
			most, sum, allowed = over, n-from+1, budget
		}
	}
	return most, sum, allowed
}

// received is which part of what it could do a server was sent from its start on.
func (f *coldFleet) received(s int, since int64) float64 {
	sent := 0
	for _, at := range f.sent[s] {
		if at >= f.started[s] && at < f.started[s]+since {
			sent++
		}
	}
	return float64(sent) / (f.deployment.perServer * float64(since) / float64(second))
}

const coldServers = 20

// restart has servers, the first so many, come back cold, and all members told.
func (f *coldFleet) restart(servers int) {
	for s := range servers {
		f.started[s] = f.now
	}
	f.list()
}

// othersDrain leaves one server, a cold one, for all the load.
func (f *coldFleet) othersDrain(after int64, rate float64) {
	f.run(after, rate)
	for s := 1; s < coldServers; s++ {
		f.health[s] = Draining
	}
	f.list()
	f.run(2*f.deployment.tipAfter, rate)
}

// coldLoads is what a fleet goes through from the moment on at which cold servers, the first so many, are listed.
var coldLoads = []struct {
	name   string
	cold   int
	uneven bool // one balancer in five has five times the load of the others
	warms  bool // the load goes on to the end of the warm-up: enough of it has to reach the cold ones
	play   func(f *coldFleet, rate float64)
}{
	{"usual", 1, false, true, func(f *coldFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"uneven", 1, true, true, func(f *coldFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"three in ten", coldServers * 3 / 10, false, true, func(f *coldFleet, rate float64) { f.run(f.deployment.warmUp, rate) }},
	{"burst", 1, false, true, func(f *coldFleet, rate float64) {
		f.run(f.deployment.warmUp/4, rate)
		f.run(f.deployment.warmUp*3/4, rate*1.5)
	}},
	{"all balancers restart", 1, false, false, func(f *coldFleet, rate float64) {
		for i := range f.members {
			f.members[i] = f.begin(i)
		}
		f.endings = f.endings[:0]
		f.list()
		f.run(f.deployment.warmUp, rate)
	}},
	{"the others drain at once", 1, false, false, func(f *coldFleet, rate float64) { f.othersDrain(0, rate) }},
	{"the others drain later", 1, false, false, func(f *coldFleet, rate float64) { f.othersDrain(f.deployment.warmUp*2/3, rate) }},
	{"the others are cut off", 2, false, false, func(f *coldFleet, rate float64) {
		f.run(f.deployment.warmUp/3, rate)
		for s := 2; s < coldServers; s++ {
			f.cutOff[s] = true
		}
		f.run(2*f.deployment.tipAfter, rate)
	}},
	{"silence, then all at once", 1, false, false, func(f *coldFleet, rate float64) {
		f.now += f.deployment.warmUp / 3
		f.othersDrain(0, rate)
	}},
}

// The rule of the ramp: in tipAfter all balancers together send a cold server no more than N + 2 x root of N + 2, N
// being what the settings allow it then, taken here from what a warm server answers, which is less than it can do.
// And what the fleet may send does reach it: a server that gets nothing never warms.
func TestColdFleetStaysInItsBudget(t *testing.T) {
	const leastReceived = 0.25 // of what a warm server answers, over the warm-up
	for _, d := range coldDeployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, members := range []int{5, 20, 30, 100, 300} {
				for n, load := range coldLoads {
					f := newColdFleet(d, uint64(members+n), members, coldServers, load.uneven)
					rate := d.perServer * coldServers
					f.run(10*second, rate)
					f.restart(load.cold)
					load.play(f, rate)
					for s := range load.cold {
						if worst, sum, budget := f.worst(s); worst > 1 {
							t.Errorf("%d balancers, %s: %d requests to cold server %d within %v, of %.1f allowed", members, load.name,
								sum, s, time.Duration(d.tipAfter), budget)
						}
						if received := f.received(s, d.warmUp); load.warms && received < leastReceived {
							t.Errorf("%d balancers, %s: cold server %d has %.2f of a warm one's requests", members, load.name, s, received)
						}
					}
				}
			}
		})
	}
}

// What a warm server answers is taken for each: it does not rise as others leave the list or turn cold.
func TestFewerWarmServersMakeNoRoom(t *testing.T) {
	for name, leave := range map[string]func(f *coldFleet){
		"drained": func(f *coldFleet) {
			for s := 1; s < coldServers-1; s++ {
				f.health[s] = Draining
			}
			f.list()
		},
		"cold": func(f *coldFleet) { f.restart(coldServers - 1) },
	} {
		f := newColdFleet(coldDeployments[0], 1, 1, coldServers, false)
		f.run(15*second, coldDeployments[0].perServer*coldServers)
		f.restart(1)
		b := f.members[0].balancer
		b.refillSlowStart(f.now, 0)
		before := b.warmThroughput.peak
		leave(f)
		if b.refillSlowStart(f.now+ms, 0); b.warmThroughput.peak > 1.1*before {
			t.Errorf("%s: a warm server answers %.1f a second, and %.1f once one is left", name, before, b.warmThroughput.peak)
		}
	}
}

// A part of one request is let in by that chance, and spent either way. The answer holds for the moment.
func TestPartOfARequestIsSpentEitherWay(t *testing.T) {
	w := plain(t, 1, 4, nil)
	const draws = 4000
	let := 0
	for range draws {
		h := &w.b.endpoints[1]
		w.now += ms
		h.slowStart.startedAt, h.slowStart.tokens, h.slowStart.updatedAt = w.now, 0.3, w.now-1
		r := &requestState{isOpen: true, deadline: w.now + second}
		first := w.b.canDispatch(w.now, r, 1)
		if again := w.b.canDispatch(w.now, r, 1); again != first || first != (h.slowStart.tokens >= 1) || !first && h.slowStart.tokens > 0 {
			t.Fatalf("let in %t, then %t, with room of %g left", first, again, h.slowStart.tokens)
		}
		if first {
			let++
		}
	}
	if w.b.refillSlowStart(w.now+ms, 1); w.b.endpoints[1].slowStart.tokens >= 1 {
		t.Errorf("room of %g is kept for later", w.b.endpoints[1].slowStart.tokens)
	}
	if let < draws*25/100 || let > draws*35/100 {
		t.Errorf("%d of %d are let in with room for 0.3", let, draws)
	}
}
