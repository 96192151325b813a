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

var update = flag.Bool("update", false, "write testdata/decisions.golden anew")

// goldenEvent is a timer or the end of an attempt that comes due.
type goldenEvent struct {
	at                         int64
	order, tag, request, tried int // tried is under 0 for a timer
	server                     int
	how                        Outcome
	took                       int64
}

type goldenQueue []goldenEvent

func (q goldenQueue) Len() int      { return len(q) }
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *goldenQueue) Push(x any) { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// goldenScript is the load and the faults of one run, as chances per millisecond, request or attempt.
type goldenScript struct {
	name                                                string
	servers, arrivals                                   int // arrivals a millisecond, in tenths
	errored, full, silent, unreached, reset, missing    float64
	lists, reports, verdicts, zoneSteps, aborts, starts float64
	slow, keys                                          int  // slow: times that server 0 is slower; keys in use
	cold                                                bool // all have just started when the run begins
	settings                                            map[string]any
}

type goldenRequest struct {
	live, streams bool
	sent, ended   int
}

// goldenRun drives a Balancer and hashes each action and answer of it, and its random source after each event.
type goldenRun struct {
	*goldenScript
	b                     *Balancer
	chances               *rand.Rand
	sum                   hash.Hash
	now                   int64
	events                goldenQueue
	requests              []goldenRequest
	servers               []Health
	inFlight              []int
	order, actions, moved int // moved: 1 once server 1 has another address
	counts                [5]int
}

func (g *goldenRun) note(numbers ...int64) {
	g.actions++
	for _, number := range numbers {
		g.sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(number)))
	}
}

func (g *goldenRun) later(after int64, event goldenEvent) {
	g.order++
	event.at, event.order = g.now+after, g.order
	heap.Push(&g.events, event)
}

func (g *goldenRun) Send(request, server int, until int64) {
	g.note(1, int64(request), int64(server), until)
	g.counts[0]++
	g.inFlight[server]++
	r := &g.requests[request]
	event := goldenEvent{request: request, tried: r.sent, server: server, how: OK, took: ms + int64(g.chances.ExpFloat64()*30e6)}
	r.sent++
	if server == 0 && g.slow > 0 {
		event.took *= int64(g.slow)
	}
	draw, health := g.chances.Float64(), g.servers[server]
	for _, outcome := range []struct {
		how    Outcome
		chance float64
		took   int64
	}{{Errored, g.errored, 2 * ms}, {Full, g.full, ms}, {TimedOut, g.silent, max(ms, until-g.now)}, {Unreached, g.unreached, 3 * ms},
		{Reset, g.reset, event.took}, {Missing, g.missing, event.took}, {Unsent, g.reset / 4, ms}} {
		if draw -= outcome.chance; draw < 0 {
			event.how, event.took = outcome.how, outcome.took
			break
		}
	}
	if health == Gone {
		event.how, event.took = Unreached, 3*ms
	}
	if event.took > until-g.now {
		event.how, event.took = TimedOut, max(ms, until-g.now)
	}
	g.later(event.took, event)
}

func (g *goldenRun) finish(request int) { g.requests[request].live = false }
func (g *goldenRun) Reject(request int, why Reason, comeBack int64) {
	g.note(2, int64(request), int64(why), comeBack)
	g.counts[1]++
	g.finish(request)
}
func (g *goldenRun) Fail(request int, why Reason) {
	g.note(3, int64(request), int64(why))
	g.counts[2]++
	g.finish(request)
}
func (g *goldenRun) Cancel(request, tried int) {
	g.note(4, int64(request), int64(tried))
	g.counts[3]++
}
func (g *goldenRun) Subscribe() { g.note(5) }
func (g *goldenRun) Wake(tag int, after int64) {
	g.note(6, int64(tag), after)
	g.counts[4]++
	g.later(after, goldenEvent{tag: tag, tried: -1})
}

// list tells a list in which servers change their state by chance.
func (g *goldenRun) list(scope Scope) {
	g.b.Listing(g.now, scope)
	if scope == Failed {
		return
	}
	for s := range g.servers {
		started := int64(0)
		switch draw := g.chances.IntN(12); {
		case scope == Saved && g.cold:
			started = g.now
		case scope == Saved:
		case draw == 0:
			g.servers[s] = Draining
		case draw == 1:
			g.servers[s] = Gone
		case draw < 6 && g.servers[s] != Ready:
			g.servers[s], started = Ready, g.now-int64(g.chances.IntN(2000))*ms
		case draw == 7 && scope == Whole:
			continue // It is left out.
		}
		if scope == Incremental && g.servers[s] == Gone && g.inFlight[s] == 0 && g.chances.IntN(4) == 0 {
			g.b.Forget(s)
			continue
		}
		g.b.Row(g.now, s, fmt.Sprintf("10.%d.0.%d:80", g.moved*(s%2), s), g.servers[s], started, s%3, s%3, s%4, float64(1+s%2))
	}
	g.b.Listed(g.now)
}

// ask begins a request in a free place.
func (g *goldenRun) ask() {
	i := 0
	for i < len(g.requests) && (g.requests[i].live || g.requests[i].ended < g.requests[i].sent) {
		i++
	}
	if i == len(g.requests) {
		g.requests = append(g.requests, goldenRequest{})
	}
	g.requests[i] = goldenRequest{live: true, streams: g.chances.Float64() < g.starts}
	key := uint64(1 + min(g.chances.IntN(g.keys), g.chances.IntN(g.keys)))
	class, patience := g.chances.IntN(len(g.b.classes)), int64(20+g.chances.IntN(800))*ms
	g.b.Asked(g.now, i, patience, class, g.chances.IntN(4)-1, key*0x9e3779b97f4a7c15, g.chances.IntN(10) > 0,
		g.chances.IntN(5) == 0, int64(g.chances.IntN(3))*10*ms)
}

// end tells how an attempt ended. A streamed answer begins first and ends some time after.
func (g *goldenRun) end(e goldenEvent) {
	r := &g.requests[e.request]
	if r.streams && r.live && e.how == OK {
		r.streams = false
		r.live = false // Nothing else may end it, and its place stays taken until the attempt has ended.
		g.b.Started(g.now, e.request, e.tried)
		e.how = []Outcome{OK, Reset}[g.chances.IntN(2)]
		g.later(20*ms, e)
		return
	}
	if e.how == OK {
		r.live = false
	}
	r.ended++
	g.inFlight[e.server]--
	g.b.Ended(g.now, e.request, e.tried, e.server, 1+g.chances.IntN(3)/2, e.how, e.took, !r.live)
}

// snapshot hashes what was learnt; the run goes on in a new Balancer that is given it, as after a restart.
func (g *goldenRun) snapshot(t *testing.T) {
	var state State
	g.b.Learnt(g.now, &state)
	if err := state.Check(); err != nil {
		t.Fatal(err)
	}
	stored, err := cbor.Marshal(&state)
	if err != nil {
		t.Fatal(err)
	}
	g.sum.Write(stored)
	g.events, g.requests, g.moved = nil, nil, 1
	clear(g.inFlight)
	g.now += 500 * ms
	g.b = New(g.now, 99, g.b.values, g)
	g.list(Saved)
	g.note(7, int64(g.b.Learn(g.now, &state, 500*ms)))
}

// chanced does what others do to a balancer: reports, verdicts, shares, zones that are left, clients that go.
func (g *goldenRun) chanced() {
	hit := func(chance float64) bool { return chance > 0 && g.chances.Float64() < chance }
	server := g.chances.IntN(len(g.servers))
	if hit(g.lists) {
		g.list([]Scope{Incremental, Whole, Saved, Failed, Incremental}[g.chances.IntN(5)])
	}
	if hit(g.reports) {
		g.b.Reported(g.now, server, []float64{g.chances.Float64() * 200, math.NaN(), g.chances.Float64() * 1.2, g.chances.Float64() * 4})
	}
	if hit(g.verdicts) {
		g.b.Heard(server, []float64{0, -1, 0.5, 0.9}[g.chances.IntN(4)])
		g.b.Scarce(g.chances.IntN(3) == 0)
		g.b.Portion(0.2 + g.chances.Float64()/2)
		g.b.Share(0.5 + g.chances.Float64()/2)
		g.b.Quota(g.chances.IntN(3), float64(20+g.chances.IntN(400)))
	}
	if hit(g.zoneSteps) {
		g.b.Leave(g.chances.IntN(3), []float64{0, 0.25, 0.5, 1}[g.chances.IntN(4)], 300*ms)
	}
	if hit(g.aborts) && len(g.requests) > 0 {
		if i := g.chances.IntN(len(g.requests)); g.requests[i].live {
			g.requests[i].live = g.chances.IntN(2) == 0
			if g.requests[i].live {
				g.b.Expire(g.now, i)
			} else {
				g.b.Aborted(g.now, i)
			}
		}
	}
}

func (g *goldenRun) play(t *testing.T, spans int) {
	g.servers, g.inFlight = make([]Health, g.goldenScript.servers), make([]int, g.goldenScript.servers)
	g.list(Saved)
	for step := range spans {
		g.now += ms
		for len(g.events) > 0 && g.events[0].at <= g.now {
			if e := heap.Pop(&g.events).(goldenEvent); e.tried < 0 {
				g.b.Woke(g.now, e.tag)
			} else {
				g.end(e)
			}
			g.note(8, int64(g.b.chance.x), int64(g.b.chance.carry))
		}
		for n := g.arrivals; n > 0; n -= 10 {
			if g.chances.IntN(10) < n {
				g.ask()
				g.note(9, int64(g.b.chance.x), int64(g.b.chance.carry))
			}
		}
		g.chanced()
		if step%500 == 499 {
			for s := range g.servers {
				if g.b.Avoids(s) {
					g.note(10, int64(s))
				}
			}
		}
		if step == spans*2/3 {
			g.snapshot(t)
		}
	}
}

var goldenScripts = []goldenScript{
	{name: "ordinary", servers: 12, arrivals: 8, errored: 0.02, full: 0.05, unreached: 0.01, reset: 0.01, lists: 0.003, keys: 900, starts: 0.1},
	{name: "no retries proven", servers: 5, arrivals: 10, errored: 0.3, silent: 0.05, reset: 0.1, unreached: 0.1, lists: 0.01, keys: 60, aborts: 0.02,
		settings: map[string]any{"allowed.mostTrips": 2.0, "allowed.cancelling": false, "workloads.1.group": "zone", "workloads.1.dedupWindow": 400.0}},
	{name: "hedging", servers: 9, arrivals: 6, silent: 0.08, slow: 30, lists: 0.002, keys: 500, verdicts: 0.02,
		settings: map[string]any{"allowed.secondCopies": true, "workloads.1.group": "cell", "allowed.dialTimeout": 20.0}},
	{name: "overload and tenants", servers: 3, arrivals: 40, full: 0.3, errored: 0.05, reports: 0.2, lists: 0.002, keys: 3000, verdicts: 0.005,
		settings: map[string]any{"allowed.retryAfter": true, "balancers": 3.0, "allowed.outBuffers": 2.0}},
	{name: "cache-aside", servers: 8, arrivals: 25, missing: 0.4, errored: 0.02, full: 0.05, slow: 6, lists: 0.002, keys: 120, reports: 0.05, aborts: 0.01,
		settings: map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "balancers": 20.0}},
	{name: "an origin that fails", servers: 10, arrivals: 10, errored: 0.4, full: 0.1, reset: 0.1, lists: 0.002, keys: 300, verdicts: 0.01,
		settings: map[string]any{"workloads.0.tardyValue": 0.0, "workloads.0.expectedTime": 25.0}},
	{name: "key order", servers: 6, arrivals: 20, errored: 0.05, silent: 0.03, reset: 0.05, lists: 0.003, keys: 30, aborts: 0.02,
		settings: map[string]any{"workloads.0.keepOrder": true, "invariants.orderSettle": 60.0, "invariants.deadlineDrift": 15.0}},
	{name: "keys held up", servers: 6, arrivals: 10, errored: 0.45, slow: 3, keys: 12},
	{name: "zones lost and left", servers: 12, arrivals: 8, unreached: 0.25, silent: 0.02, lists: 0.002, zoneSteps: 0.01, verdicts: 0.02, keys: 700,
		settings: map[string]any{"invariants.onlyDrainingBinds": true, "registryMode": "automatic", "invariants.drainGrace": 8000.0, "weights": "live"}},
	{name: "cold fleet", servers: 10, arrivals: 8, full: 0.05, lists: 0.02, reset: 0.05, unreached: 0.05, keys: 400, cold: true,
		settings: map[string]any{"invariants.bootStampError": 500.0, "invariants.askEvery": 900.0, "invariants.fallMultiple": 1.0}},
	{name: "wide fleet", servers: 70, arrivals: 4, full: 0.4, lists: 0.01, keys: 100, aborts: 0.01},
	{name: "little traffic", servers: 20, arrivals: 1, slow: 4, lists: 0.01, keys: 100, starts: 0.3,
		settings: map[string]any{"allowed.secondCopies": true, "balancers": 30.0, "invariants.warmUp": 4000.0}},
	{name: "servers that break", servers: 9, arrivals: 40, slow: 9, reset: 0.25, unreached: 0.4, keys: 500,
		settings: map[string]any{"workloads.0.group": "cell", "invariants.startCapacity": 0.05}},
	{name: "short origin", servers: 7, arrivals: 10, missing: 0.7, errored: 0.4, slow: 2, keys: 5000,
		settings: map[string]any{"extra.mode": "aside", "extra.originKind": 2.0, "allowed.secondCopies": true}},
	{name: "all full", servers: 4, arrivals: 10, full: 0.9, lists: 0.001, keys: 200, settings: map[string]any{"allowed.retryAfter": true}},
}

// A rename or a move of code may change a decision, or move a draw of the random source, and no test of a single rule
// need notice. Each run here hashes all that a Balancer does, in its order, with the state of its random source after
// each event. The hashes hold where floating-point multiplies and adds are not fused (amd64).
func TestDecisionsGolden(t *testing.T) {
	const file = "testdata/decisions.golden"
	var lines bytes.Buffer
	for n := range goldenScripts {
		g := &goldenRun{goldenScript: &goldenScripts[n], chances: rand.New(rand.NewPCG(7, uint64(n))), sum: sha256.New(), now: second}
		values := plain(t, 1, 1, map[string]any{"zones": 3.0, "zones.0": "a", "zones.1": "b", "zones.2": "c", "zone": "b", "tenants": 3.0,
			"tenants.0.quotaRps": 100.0, "tenants.1.quotaRps": 300.0, "tenants.2.quotaRps": 0.0, "report.fields": 4.0,
			"report.fields.0": "served_ps", "report.fields.1": "other", "report.fields.2": "cpu_share", "report.fields.3": "pending",
			"workloads.2.tardyValue": 0.0, "workloads.2.aimStretch": 2.0}).values
		maps.Copy(values, g.settings)
		g.b = New(g.now, uint64(n)+5, values, g)
		g.play(t, 12_000)
		fmt.Fprintf(&lines, "%s: %x, %d records; sent, rejected, failed, cancelled, timers %v\n", g.name, g.sum.Sum(nil), g.actions, g.counts)
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
