package policy

import (
	"math"
	"testing"
)

// A small endpoint starts among large ones. What these answer is more than it can do: the budget goes by weight.
func TestSlowStartBudgetFollowsWeight(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"weights": "live"})
	answerWeightedTraffic(h)
	budget := func(index int) float64 {
		state := &h.balancer.endpoints[index].slowStart
		state.startedAt, state.tokens, state.updatedAt = h.now-second, 0, h.now-second/8
		return h.balancer.refillSlowStart(h.now, index)
	}
	if small, large := budget(0), budget(1); small <= 0 || large < 3*small {
		t.Fatalf("a budget of %g for a small endpoint, %g for one four times its size", small, large)
	}
}

// Some endpoints are down and others warm up, and the fleet needs what these can do. One that answers all it gets is
// sent more, within the overload multiple; one that rejects is not, as it is full already.
func TestSlowStartBudgetGrowsWithSuccesses(t *testing.T) {
	h := newHarness(t, 1, 0, nil)
	answerWeightedTraffic(h)
	budget := func(successes, rejections float64) float64 {
		evidence := h.balancer.clock.evidence
		endpoint := &h.balancer.endpoints[0]
		state := &endpoint.slowStart
		state.startedAt, state.tokens, state.updatedAt = h.now-second, 0, h.now-second/8
		endpoint.outlier.outcomes.successes = sum{Value: successes, UpdatedAt: evidence}
		endpoint.outlier.outcomes.failures = sum{Value: 0, UpdatedAt: evidence}
		endpoint.rejected = sum{Value: rejections, UpdatedAt: evidence}
		return h.balancer.refillSlowStart(h.now, 0)
	}
	fresh, proven, full := budget(0, 0), budget(1000, 0), budget(30, 30)
	if proven < 2.5*fresh || proven > 3*fresh || full > 1.3*fresh {
		t.Errorf("a budget of %g for a new endpoint, %g for one that answers all, %g for one that is full", fresh, proven, full)
	}
}

// All warm endpoints leave the list at once, and nothing tells any longer what a warm one answers. Those that warm up
// go on getting their part: a fleet that gives them nothing would never warm.
func TestSlowStartBudgetOutlastsWarmEndpoints(t *testing.T) {
	h := newHarness(t, 1, 8, map[string]any{"invariants.warmUp": 30000.0, "invariants.startCapacity": 0.5})
	for range 1000 {
		h.endAttempt(h.request(Safe, h.balancer.random.uint64(), second), 0, OK)
		h.advance(5 * ms)
	}
	started := h.now
	h.updateList(FullList, 8, func(index int) (Health, int64) { return []Health{Removed, Ready}[index/4], started })
	notSent := 0
	for n := range 1500 { // 100 a second for four, where warm endpoints answered 25 each
		i := h.request(Safe, h.balancer.random.uint64(), second)
		if h.advance(10 * ms); len(h.requests[i].attempts) > 0 {
			h.endAttempt(i, 0, OK)
		} else if n > 500 {
			notSent++
		}
	}
	if notSent > 600 {
		t.Fatalf("%d of the last 1000 not sent while all endpoints are warming up", notSent)
	}
}

// Two processes of a balancer run over an upgrade. Each has the share of the budget that its share of the attempts is,
// else both would send the whole.
func TestProcessShareScalesSlowStartBudget(t *testing.T) {
	budget := func(share float64) float64 {
		b, executor := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
		b.SetProcessShare(share)
		now := driveTraffic(b, executor, unixStart, 2000)
		b.BeginEndpointUpdate(IncrementalList)
		b.UpdateEndpoint(now, 1, EndpointInfo{Address: "s-1", Health: Ready, StartedAt: now - second, Weight: 1})
		b.CommitEndpointUpdate(now)
		b.endpoints[1].slowStart.tokens, b.endpoints[1].slowStart.updatedAt = 0, now
		return b.refillSlowStart(now+300*ms, 1)
	}
	if whole, half := budget(1), budget(0.5); whole <= 0 || math.Abs(half/whole-0.5) > 1e-6 {
		t.Errorf("a budget of %v for the whole, %v for a half", whole, half)
	}
}

// A balancer of a large fleet may send a warming endpoint a third of a request. It lets one in with that chance, once a
// moment, and the tokens are spent either way: saved up, whole ones would come from all balancers at once.
func TestFractionalTokenIsDrawnOnceAndSpent(t *testing.T) {
	h := newHarness(t, 1, 4, nil)
	const draws = 4000
	allowed := 0
	for range draws {
		state := &h.balancer.endpoints[1].slowStart
		h.now += ms
		state.startedAt, state.tokens, state.updatedAt = h.now, 0.3, h.now-1
		request := &requestState{isOpen: true, deadline: h.now + second}
		first := h.balancer.canDispatch(h.now, request, 1)
		again := h.balancer.canDispatch(h.now, request, 1)
		if again != first || first != (state.tokens >= 1) || !first && state.tokens > 0 {
			t.Fatalf("allowed %t, then %t, with %g tokens left", first, again, state.tokens)
		}
		if first {
			allowed++
		}
	}
	if h.balancer.refillSlowStart(h.now+ms, 1); h.balancer.endpoints[1].slowStart.tokens >= 1 {
		t.Errorf("%g tokens are kept for later", h.balancer.endpoints[1].slowStart.tokens)
	}
	if allowed < draws*25/100 || allowed > draws*35/100 {
		t.Errorf("%d of %d are allowed with 0.3 tokens", allowed, draws)
	}
}

// The clock that stamps starts is off either way. An endpoint that has just started counts as warming up for its whole
// warm-up, and no longer.
func TestBootStampErrorKeepsEndpointWarmingUp(t *testing.T) {
	for _, off := range []int64{-9 * second, 0, 9 * second} {
		h := newHarness(t, 1, 3, map[string]any{"invariants.bootStampError": 9000.0})
		h.now += 60 * second
		listedAt := h.now
		h.updateList(FullList, 3, func(index int) (Health, int64) {
			if index == 0 {
				return Ready, listedAt + off
			}
			return Ready, 0
		})
		h.now += 8*second - ms
		if !h.balancer.isWarmingUp(h.now, 0) {
			t.Errorf("a stamp off by %d s: taken for warm too soon", off/second)
		}
		if h.now += 2 * ms; h.balancer.isWarmingUp(h.now, 0) {
			t.Errorf("a stamp off by %d s: still warming up after its warm-up", off/second)
		}
	}
}

// An endpoint restarts and the list does not tell. Its attempts break, and then it takes no connection: it counts as
// warming up from then on, and as load may have brought it down, less is in flight before requests are rejected, for a
// while. Broken attempts alone, or one failed connection, tell neither.
func TestUnlistedRestartIsDetected(t *testing.T) {
	h := newHarness(t, 1, 1, map[string]any{"allowed.mostTrips": 1.0})
	ends := func(outcome Outcome) { h.endAttempt(h.request(Safe, 1, second), 0, outcome) }
	h.advance(5 * second)
	if ends(Reset); h.balancer.isWarmingUp(h.now, 0) || h.balancer.admission.tolerance < 1 {
		t.Error("a broken attempt is taken for a restart")
	}
	if ends(OK); h.balancer.endpoints[0].restart.failures > 0 {
		t.Error("it answered, and is still taken for broken")
	}
	if ends(ConnectFailed); h.balancer.isWarmingUp(h.now, 0) {
		t.Error("one failed connection is taken for a restart")
	}
	ends(OK)
	ends(Reset)
	if ends(ConnectFailed); h.balancer.isWarmingUp(h.now, 0) || h.balancer.admission.tolerance < 1 {
		t.Error("a broken attempt and one failed connection are taken for a restart")
	}
	if ends(ConnectFailed); !h.balancer.isWarmingUp(h.now, 0) || h.balancer.admission.tolerance > 0.9 {
		t.Error("a restart is not seen")
	}
	h.advance(60 * second)
	if h.balancer.advanceClock(h.now); h.balancer.admission.tolerance < 1 {
		t.Error("the tolerance does not recover")
	}
}

// The list repeats the start of an endpoint in each update, and its stamp may be off by some error. A start counts
// once; where stamps may be off, a stamp that differs at all is a new one, and the latest start that it allows counts.
func TestStartCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name                   string
		known, stamp, now, off int64
		isNew                  bool
		startedAt              int64
	}{
		{"never stated", 0, 0, 100, 0, false, 0},
		{"a first start", 0, 60, 100, 0, true, 60},
		{"the same start", 60, 60, 100, 0, false, 60},
		{"an earlier start", 60, 50, 100, 0, false, 60},
		{"an earlier start, stamps off", 60, 50, 100, 20, true, 70},
		{"a start in the future", 60, 150, 100, 0, true, 100},
		{"the latest start is in the future", 60, 95, 100, 20, true, 100},
		{"no start stated any more, stamps off", 60, 0, 100, 20, false, 60},
	} {
		state := slowStartState{stamp: c.known, startedAt: c.known, tokens: 3, updatedAt: 90}
		if isNew := state.restarted(c.now, c.stamp, c.off); isNew != c.isNew || state.startedAt != c.startedAt {
			t.Errorf("%s: new %t, started at %d", c.name, isNew, state.startedAt)
		}
		if wasReset := state.tokens == 0 && state.updatedAt == 0; wasReset != c.isNew {
			t.Errorf("%s: tokens reset %t", c.name, wasReset)
		}
	}
}

// No warm endpoint is left, and nothing tells what one answers. The most of late counts for some time, and fades.
func TestWarmThroughputRemembersItsPeak(t *testing.T) {
	throughput := warmThroughput{answers: sum{Value: 30}}
	if got := throughput.update(0, 0, 2); got != 60 {
		t.Errorf("%g a second, not 60", got)
	}
	throughput.answers = sum{}
	if got, want := throughput.update(peakWindow*timeConstant, 0, 2), 60/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("%g a second after a window without answers, not %g", got, want)
	}
	throughput.answers = sum{Value: 50}
	if got := throughput.update(peakWindow*timeConstant, 0, 2); got != 100 {
		t.Errorf("%g a second, not 100: a new peak counts at once", got)
	}
}

// Attempts at an endpoint break, and connections to it fail. Only both, without an answer between, tell of a restart.
func TestRestartDetectorCountsFailuresInARow(t *testing.T) {
	for _, c := range []struct {
		outcomes []Outcome
		want     bool
	}{
		{[]Outcome{Reset, Reset, Reset, Reset}, false},
		{[]Outcome{ConnectFailed, ConnectFailed, ConnectFailed}, false},
		{[]Outcome{Reset, ConnectFailed}, false},
		{[]Outcome{Reset, ConnectFailed, ConnectFailed}, true},
		{[]Outcome{Reset, ConnectFailed, Reset, ConnectFailed}, true},
	} {
		b, _ := newSnapshotBalancer(unixStart, 0, 0)
		for _, outcome := range c.outcomes {
			b.detectRestart(unixStart+second, AttemptResult{Endpoint: 1, Outcome: outcome})
		}
		if got := b.isWarmingUp(unixStart+second, 1); got != c.want {
			t.Errorf("%v: restarted %t", c.outcomes, got)
		}
	}
}
