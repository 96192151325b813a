package policy

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "rewrite testdata/decisions.golden")

// goldenEvent is a scheduled timer or end of an attempt.
type goldenEvent struct {
	at       int64
	sequence int // breaks ties between events at the same time
	tag      int // of the timer
	request  int
	attempt  int // negative for a timer
	endpoint int
	outcome  Outcome
	latency  int64
}

// goldenQueue is a heap of events, ordered by time and sequence number.
type goldenQueue []goldenEvent

func (q goldenQueue) Len() int      { return len(q) }
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q *goldenQueue) Push(x any) { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// goldenScript defines the load and the faults of one run.
type goldenScript struct {
	name      string
	endpoints int
	arrivals  int // requests per 10 ms
	keys      int // number of distinct keys

	// The probability of each outcome of an attempt.
	errored, rejected, timedOut, connectFailed, reset, cacheMiss float64

	// The probability of each event per millisecond.
	listUpdates, reports, peerUpdates, evacuations, cancellations float64

	streaming    float64 // probability that a response is streamed
	slowFactor   int     // factor by which endpoint 0 is slower; 0: not slower
	allWarmingUp bool    // all endpoints have just started at the beginning of the run
	settings     map[string]any
}

// goldenRequest is the client's view of a request.
type goldenRequest struct {
	isOpen, isStreaming bool
	sent, ended         int
}

// goldenRun drives a Balancer. It hashes every action of the Balancer, and the state of its random source after each
// event.
type goldenRun struct {
	*goldenScript
	b                 *Balancer
	values            map[string]any
	random            *rand.Rand
	digest            hash.Hash
	now               int64
	events            goldenQueue
	requests          []goldenRequest
	health            []Health
	inFlight          []int
	lastSequence      int
	records           int
	addressGeneration int    // 1 after the restart, which changes the addresses of endpoints with an odd index
	counts            [5]int // Sends, Rejects, Fails, Cancels and SetTimers
}

func (g *goldenRun) record(numbers ...int64) {
	g.records++
	for _, number := range numbers {
		g.digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(number)))
	}
}

func (g *goldenRun) schedule(after int64, event goldenEvent) {
	g.lastSequence++
	event.at, event.sequence = g.now+after, g.lastSequence
	heap.Push(&g.events, event)
}

func (g *goldenRun) Send(request, endpoint int, until int64) {
	g.record(1, int64(request), int64(endpoint), until)
	g.counts[0]++
	g.inFlight[endpoint]++
	r := &g.requests[request]
	event := goldenEvent{request: request, attempt: r.sent, endpoint: endpoint, outcome: OK, latency: ms + int64(g.random.ExpFloat64()*30e6)}
	r.sent++
	if endpoint == 0 && g.slowFactor > 0 {
		event.latency *= int64(g.slowFactor)
	}
	draw, health := g.random.Float64(), g.health[endpoint]
	for _, end := range []struct {
		outcome Outcome
		chance  float64
		latency int64
	}{{Errored, g.errored, 2 * ms}, {Rejected, g.rejected, ms}, {TimedOut, g.timedOut, max(ms, until-g.now)}, {ConnectFailed, g.connectFailed, 3 * ms},
		{Reset, g.reset, event.latency}, {CacheMiss, g.cacheMiss, event.latency}, {NotSent, g.reset / 4, ms}} {
		if draw -= end.chance; draw < 0 {
			event.outcome, event.latency = end.outcome, end.latency
			break
		}
	}
	if health == Removed {
		event.outcome, event.latency = ConnectFailed, 3*ms
	}
	if event.latency > until-g.now {
		event.outcome, event.latency = TimedOut, max(ms, until-g.now)
	}
	g.schedule(event.latency, event)
}

func (g *goldenRun) finish(request int) { g.requests[request].isOpen = false }
func (g *goldenRun) Reject(request int, reason Reason, retryAfter int64) {
	g.record(2, int64(request), int64(reason), retryAfter)
	g.counts[1]++
	g.finish(request)
}
func (g *goldenRun) Fail(request int, reason Reason) {
	g.record(3, int64(request), int64(reason))
	g.counts[2]++
	g.finish(request)
}
func (g *goldenRun) Cancel(request, attempt int) {
	g.record(4, int64(request), int64(attempt))
	g.counts[3]++
}
func (g *goldenRun) WatchEndpoints() { g.record(5) }
func (g *goldenRun) SetTimer(tag int, after int64) {
	g.record(6, int64(tag), after)
	g.counts[4]++
	g.schedule(after, goldenEvent{tag: tag, attempt: -1})
}

// updateList passes the Balancer a list in which endpoints change state at random.
func (g *goldenRun) updateList(kind UpdateKind) {
	g.b.BeginEndpointUpdate(kind)
	if kind == UpdateFailed {
		return
	}
	for index := range g.health {
		started := int64(0)
		switch draw := g.random.IntN(12); {
		case kind == SavedList && g.allWarmingUp:
			started = g.now
		case kind == SavedList:
		case draw == 0:
			g.health[index] = Draining
		case draw == 1:
			g.health[index] = Removed
		case draw < 6 && g.health[index] != Ready:
			g.health[index], started = Ready, g.now-int64(g.random.IntN(2000))*ms
		case draw == 7 && kind == FullList:
			continue // The list lacks this endpoint.
		}
		if kind == IncrementalList && g.health[index] == Removed && g.inFlight[index] == 0 && g.random.IntN(4) == 0 {
			g.b.RemoveEndpoint(index)
			continue
		}
		g.b.UpdateEndpoint(g.now, index, EndpointInfo{Address: fmt.Sprintf("10.%d.0.%d:80", g.addressGeneration*(index%2), index), Health: g.health[index], StartedAt: started, MachineType: index % 3, Zone: index % 3, ReplicaGroup: index % 4, Weight: float64(1 + index%2)})
	}
	g.b.CommitEndpointUpdate(g.now)
}

// request sends a request, with a free index.
func (g *goldenRun) request() {
	i := 0
	for i < len(g.requests) && (g.requests[i].isOpen || g.requests[i].ended < g.requests[i].sent) {
		i++
	}
	if i == len(g.requests) {
		g.requests = append(g.requests, goldenRequest{})
	}
	g.requests[i] = goldenRequest{isOpen: true, isStreaming: g.random.Float64() < g.streaming}
	key := uint64(1 + min(g.random.IntN(g.keys), g.random.IntN(g.keys)))
	class, remaining := g.random.IntN(len(g.b.settings.classes)), int64(20+g.random.IntN(800))*ms
	g.b.HandleRequest(g.now, i, RequestInfo{Remaining: remaining, Class: class, Tenant: g.random.IntN(4) - 1, Key: key * 0x9e3779b97f4a7c15, HasKey: g.random.IntN(10) > 0, IsWrite: g.random.IntN(5) == 0, PredictedWork: int64(g.random.IntN(3)) * 10 * ms})
}

// endAttempt reports the end of an attempt to the Balancer. For a streamed response it first reports the start and
// schedules the end.
func (g *goldenRun) endAttempt(e goldenEvent) {
	r := &g.requests[e.request]
	if r.isStreaming && r.isOpen && e.outcome == OK {
		r.isStreaming = false
		r.isOpen = false // Nothing else may end the request, and its index stays in use until the attempt has ended.
		g.b.HandleResponseStarted(e.request, e.attempt)
		e.outcome = []Outcome{OK, Reset}[g.random.IntN(2)]
		g.schedule(20*ms, e)
		return
	}
	if e.outcome == OK {
		r.isOpen = false
	}
	r.ended++
	g.inFlight[e.endpoint]--
	g.b.HandleAttemptEnded(g.now, e.request, AttemptResult{Attempt: e.attempt, Endpoint: e.endpoint, CacheResult: 1 + g.random.IntN(3)/2, Outcome: e.outcome, Latency: e.latency, IsAnswered: !r.isOpen})
}

// restartFromSnapshot hashes the learned state and continues with a new Balancer that restores it, as after a restart.
func (g *goldenRun) restartFromSnapshot(t *testing.T) {
	var state State
	g.b.SaveState(g.now, &state)
	if err := state.Check(); err != nil {
		t.Fatal(err)
	}
	stored, err := cbor.Marshal(&state)
	if err != nil {
		t.Fatal(err)
	}
	g.digest.Write(stored)
	g.events, g.requests, g.addressGeneration = nil, nil, 1
	clear(g.inFlight)
	g.now += 500 * ms
	g.b = New(g.now, 99, g.values, g)
	g.updateList(SavedList)
	g.record(7, int64(g.b.RestoreState(g.now, &state, 500*ms)))
}

// injectEvents randomly generates the external events of the script: list updates, load reports, updates from peers,
// evacuations, and clients that cancel.
func (g *goldenRun) injectEvents() {
	happens := func(chance float64) bool { return chance > 0 && g.random.Float64() < chance }
	endpoint := g.random.IntN(len(g.health))
	if happens(g.listUpdates) {
		g.updateList([]UpdateKind{IncrementalList, FullList, SavedList, UpdateFailed, IncrementalList}[g.random.IntN(5)])
	}
	if happens(g.reports) {
		g.b.HandleLoadReport(endpoint, []float64{g.random.Float64() * 200, math.NaN(), g.random.Float64() * 1.2, g.random.Float64() * 4})
	}
	if happens(g.peerUpdates) {
		g.b.UpdatePeerVerdict(endpoint, []float64{0, -1, 0.5, 0.9}[g.random.IntN(4)])
		g.b.SetWidespreadMisses(g.random.IntN(3) == 0)
		g.b.SetFleetShare(0.2 + g.random.Float64()/2)
		g.b.SetProcessShare(0.5 + g.random.Float64()/2)
		g.b.SetQuota(g.random.IntN(3), float64(20+g.random.IntN(400)))
	}
	if happens(g.evacuations) {
		g.b.SetEvacuation(g.random.IntN(3), []float64{0, 0.25, 0.5, 1}[g.random.IntN(4)], 300*ms)
	}
	if happens(g.cancellations) && len(g.requests) > 0 {
		if i := g.random.IntN(len(g.requests)); g.requests[i].isOpen {
			g.requests[i].isOpen = g.random.IntN(2) == 0
			if g.requests[i].isOpen {
				g.b.ExpireRequest(g.now, i)
			} else {
				g.b.HandleClientCancelled(g.now, i)
			}
		}
	}
}

func (g *goldenRun) run(t *testing.T, steps int) {
	g.health, g.inFlight = make([]Health, g.goldenScript.endpoints), make([]int, g.goldenScript.endpoints)
	g.updateList(SavedList)
	for step := range steps {
		g.now += ms
		for len(g.events) > 0 && g.events[0].at <= g.now {
			if e := heap.Pop(&g.events).(goldenEvent); e.attempt < 0 {
				g.b.HandleTimer(g.now, e.tag)
			} else {
				g.endAttempt(e)
			}
			g.record(8, int64(g.b.random.x), int64(g.b.random.carry))
		}
		for n := g.arrivals; n > 0; n -= 10 {
			if g.random.IntN(10) < n {
				g.request()
				g.record(9, int64(g.b.random.x), int64(g.b.random.carry))
			}
		}
		g.injectEvents()
		if step%500 == 499 {
			for index := range g.health {
				if g.b.IsLikelyOutlier(index) {
					g.record(10, int64(index))
				}
			}
		}
		if step == steps*2/3 {
			g.restartFromSnapshot(t)
		}
	}
}

var goldenScripts = []goldenScript{
	{name: "ordinary", endpoints: 12, arrivals: 8, errored: 0.02, rejected: 0.05, connectFailed: 0.01, reset: 0.01, listUpdates: 0.003, keys: 900, streaming: 0.1},
	{name: "no retries proven", endpoints: 5, arrivals: 10, errored: 0.3, timedOut: 0.05, reset: 0.1, connectFailed: 0.1, listUpdates: 0.01, keys: 60, cancellations: 0.02,
		settings: map[string]any{"allowed.mostTrips": 2.0, "allowed.cancelling": false, "workloads.1.group": "zone", "workloads.1.dedupWindow": 400.0}},
	{name: "hedging", endpoints: 9, arrivals: 6, timedOut: 0.08, slowFactor: 30, listUpdates: 0.002, keys: 500, peerUpdates: 0.02,
		settings: map[string]any{"allowed.secondCopies": true, "workloads.1.group": "cell", "allowed.dialTimeout": 20.0}},
	{name: "overload and tenants", endpoints: 3, arrivals: 40, rejected: 0.3, errored: 0.05, reports: 0.2, listUpdates: 0.002, keys: 3000, peerUpdates: 0.005,
		settings: map[string]any{"allowed.retryAfter": true, "balancers": 3.0, "allowed.outBuffers": 2.0}},
	{name: "cache-aside", endpoints: 8, arrivals: 25, cacheMiss: 0.4, errored: 0.02, rejected: 0.05, slowFactor: 6, listUpdates: 0.002, keys: 120, reports: 0.05, cancellations: 0.01,
		settings: map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "balancers": 20.0}},
	{name: "an origin that fails", endpoints: 10, arrivals: 10, errored: 0.4, rejected: 0.1, reset: 0.1, listUpdates: 0.002, keys: 300, peerUpdates: 0.01,
		settings: map[string]any{"workloads.0.tardyValue": 0.0, "workloads.0.expectedTime": 25.0}},
	{name: "key order", endpoints: 6, arrivals: 20, errored: 0.05, timedOut: 0.03, reset: 0.05, listUpdates: 0.003, keys: 30, cancellations: 0.02,
		settings: map[string]any{"workloads.0.keepOrder": true, "invariants.orderSettle": 60.0, "invariants.deadlineDrift": 15.0}},
	{name: "keys held up", endpoints: 6, arrivals: 10, errored: 0.45, slowFactor: 3, keys: 12},
	{name: "zones lost and left", endpoints: 12, arrivals: 8, connectFailed: 0.25, timedOut: 0.02, listUpdates: 0.002, evacuations: 0.01, peerUpdates: 0.02, keys: 700,
		settings: map[string]any{"invariants.onlyDrainingBinds": true, "registryMode": "automatic", "invariants.drainGrace": 8000.0, "weights": "live"}},
	{name: "cold fleet", endpoints: 10, arrivals: 8, rejected: 0.05, listUpdates: 0.02, reset: 0.05, connectFailed: 0.05, keys: 400, allWarmingUp: true,
		settings: map[string]any{"invariants.bootStampError": 500.0, "invariants.askEvery": 900.0, "invariants.fallMultiple": 1.0}},
	{name: "wide fleet", endpoints: 70, arrivals: 4, rejected: 0.4, listUpdates: 0.01, keys: 100, cancellations: 0.01},
	{name: "little traffic", endpoints: 20, arrivals: 1, slowFactor: 4, listUpdates: 0.01, keys: 100, streaming: 0.3,
		settings: map[string]any{"allowed.secondCopies": true, "balancers": 30.0, "invariants.warmUp": 4000.0}},
	{name: "servers that break", endpoints: 9, arrivals: 40, slowFactor: 9, reset: 0.25, connectFailed: 0.4, keys: 500,
		settings: map[string]any{"workloads.0.group": "cell", "invariants.startCapacity": 0.05}},
	{name: "short origin", endpoints: 7, arrivals: 10, cacheMiss: 0.7, errored: 0.4, slowFactor: 2, keys: 5000,
		settings: map[string]any{"extra.mode": "aside", "extra.originKind": 2.0, "allowed.secondCopies": true}},
	{name: "all full", endpoints: 4, arrivals: 10, rejected: 0.9, listUpdates: 0.001, keys: 200, settings: map[string]any{"allowed.retryAfter": true}},
}

// A refactoring may change a decision or the order of random draws without failing any test of a single rule. Each run
// hashes all actions of a Balancer in order, with the state of its random source after each event. The hashes are valid
// on platforms that do not fuse floating-point multiplication and addition, such as amd64.
func TestDecisionsGolden(t *testing.T) {
	const file = "testdata/decisions.golden"
	var lines bytes.Buffer
	for n := range goldenScripts {
		g := &goldenRun{goldenScript: &goldenScripts[n], random: rand.New(rand.NewPCG(7, uint64(n))), digest: sha256.New(), now: second}
		values := newHarness(t, 1, 1, map[string]any{"zones": 3.0, "zones.0": "a", "zones.1": "b", "zones.2": "c", "zone": "b", "tenants": 3.0,
			"tenants.0.quotaRps": 100.0, "tenants.1.quotaRps": 300.0, "tenants.2.quotaRps": 0.0, "report.fields": 4.0,
			"report.fields.0": "served_ps", "report.fields.1": "other", "report.fields.2": "cpu_share", "report.fields.3": "pending",
			"workloads.2.tardyValue": 0.0, "workloads.2.aimStretch": 2.0}).settings
		maps.Copy(values, g.settings)
		g.values = values
		g.b = New(g.now, uint64(n)+5, values, g)
		g.run(t, 12_000)
		fmt.Fprintf(&lines, "%s: %x, %d records; sent, rejected, failed, cancelled, timers %v\n", g.name, g.digest.Sum(nil), g.records, g.counts)
	}
	if *update {
		if err := os.WriteFile(file, lines.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(lines.Bytes(), want) {
		t.Errorf("decisions changed.\nGot:\n%s\nWant:\n%s", lines.Bytes(), want)
	}
}
