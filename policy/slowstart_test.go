package policy

import (
	"math"
	"testing"
)

// A small endpoint starts among large ones, whose throughput is more than it can serve. The slow-start budget must
// follow the weight.
func TestSlowStartBudgetFollowsWeight(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"weights": "live"})
	answerWeightedTraffic(h)
	budget := func(index int) float64 {
		state := &h.balancer.endpoints[index].slowStart
		state.startedAt, state.tokens, state.updatedAt = h.now-second, 0, h.now-second/8
		return h.balancer.refillSlowStart(h.now, index)
	}
	if small, large := budget(0), budget(1); small <= 0 || large < 3*small {
		t.Fatalf("budget = %g for a small endpoint, %g for one of four times its weight, want at least three times as much", small, large)
	}
}

// Some endpoints are down while others warm up, so the fleet needs the capacity of the warming ones. The budget of one
// that answers all its requests must grow, within the overload multiple; that of one that rejects must not, as it is
// full already.
func TestSlowStartBudgetGrowsWithSuccesses(t *testing.T) {
	h := newHarness(t, 1, 0, nil)
	answerWeightedTraffic(h)
	budget := func(successes, rejections float64) float64 {
		activityTime := h.balancer.clock.activityTime
		endpoint := &h.balancer.endpoints[0]
		state := &endpoint.slowStart
		state.startedAt, state.tokens, state.updatedAt = h.now-second, 0, h.now-second/8
		endpoint.outlier.outcomes.successes = sum{Value: successes, UpdatedAt: activityTime}
		endpoint.outlier.outcomes.failures = sum{Value: 0, UpdatedAt: activityTime}
		endpoint.rejected = sum{Value: rejections, UpdatedAt: activityTime}
		return h.balancer.refillSlowStart(h.now, 0)
	}
	fresh, proven, full := budget(0, 0), budget(1000, 0), budget(30, 30)
	if proven < 2.5*fresh || proven > 3*fresh || full > 1.3*fresh {
		t.Errorf("budget = %g for a new endpoint, %g for one that answers all (want 2.5 to 3 times as much), %g for one that rejects (want at most 1.3 times as much)", fresh, proven, full)
	}
}

// All warm endpoints leave the endpoint list at once, so their throughput can no longer be measured. The warming ones
// must go on receiving requests: otherwise they would never warm up.
func TestSlowStartBudgetOutlastsWarmEndpoints(t *testing.T) {
	h := newHarness(t, 1, 8, map[string]any{"invariants.warmUp": 30000.0, "invariants.startCapacity": 0.5})
	for range 1000 {
		h.endAttempt(h.request(Safe, h.balancer.random.uint64(), second), 0, OK)
		h.advance(5 * ms)
	}
	started := h.now
	h.updateList(FullList, 8, func(index int) (Health, int64) { return []Health{Removed, Ready}[index/4], started })
	notSent := 0
	for n := range 1500 { // 100 requests per second for four endpoints, where warm ones answered 25 each
		i := h.request(Safe, h.balancer.random.uint64(), second)
		if h.advance(10 * ms); len(h.requests[i].attempts) > 0 {
			h.endAttempt(i, 0, OK)
		} else if n > 500 {
			notSent++
		}
	}
	if notSent > 600 {
		t.Fatalf("%d of the last 1000 requests were not sent while all endpoints were warming up, want at most 600", notSent)
	}
}

// During an upgrade two processes of a balancer run at the same time. The slow-start budget of each must be scaled by
// its share of the attempts; otherwise each would use the whole budget.
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
		t.Errorf("budget = %v with all of the attempts, %v with half of them, want half the budget", whole, half)
	}
}

// In a large fleet, a balancer's budget for a warming endpoint is a fraction of a request. A request must be allowed
// with that probability, drawn once at each time, and the tokens must be spent whatever the result: if they were saved
// up to whole ones, all balancers would send at the same time.
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
			t.Fatalf("allowed = %t, then %t at the same time, with %g tokens left", first, again, state.tokens)
		}
		if first {
			allowed++
		}
	}
	if h.balancer.refillSlowStart(h.now+ms, 1); h.balancer.endpoints[1].slowStart.tokens >= 1 {
		t.Errorf("%g tokens were saved up, want less than 1", h.balancer.endpoints[1].slowStart.tokens)
	}
	if allowed < draws*25/100 || allowed > draws*35/100 {
		t.Errorf("%d of %d requests were allowed with 0.3 tokens, want 25%% to 35%%", allowed, draws)
	}
}

// The clock behind the stated starts may be ahead or behind. An endpoint that has just started must count as warming up
// for the whole warm-up, and no longer.
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
			t.Errorf("stated start off by %d s: the endpoint counts as warm before the end of its warm-up", off/second)
		}
		if h.now += 2 * ms; h.balancer.isWarmingUp(h.now, 0) {
			t.Errorf("stated start off by %d s: the endpoint counts as warming up after the end of its warm-up", off/second)
		}
	}
}

// An endpoint restarts and the endpoint list does not show it: a connection is reset, and then connections fail. The
// endpoint must count as warming up from then on. As overload may have caused the restart, the capacity factor of the
// admission limiter must drop and recover later. Resets alone, or a single failed connection, must have neither effect.
func TestUnlistedRestartIsDetected(t *testing.T) {
	h := newHarness(t, 1, 1, map[string]any{"allowed.mostTrips": 1.0})
	endNext := func(outcome Outcome) { h.endAttempt(h.request(Safe, 1, second), 0, outcome) }
	h.advance(5 * second)
	if endNext(Reset); h.balancer.isWarmingUp(h.now, 0) || h.balancer.admission.capacityFactor < 1 {
		t.Error("a reset connection alone counts as a restart")
	}
	if endNext(OK); h.balancer.endpoints[0].restart.failures > 0 {
		t.Error("a success does not reset the restart detector")
	}
	if endNext(ConnectFailed); h.balancer.isWarmingUp(h.now, 0) {
		t.Error("one failed connection counts as a restart")
	}
	endNext(OK)
	endNext(Reset)
	if endNext(ConnectFailed); h.balancer.isWarmingUp(h.now, 0) || h.balancer.admission.capacityFactor < 1 {
		t.Error("a reset connection and one failed connection count as a restart")
	}
	if endNext(ConnectFailed); !h.balancer.isWarmingUp(h.now, 0) || h.balancer.admission.capacityFactor > 0.9 {
		t.Error("a reset connection and two failed connections do not count as a restart")
	}
	h.advance(60 * second)
	if h.balancer.advanceClock(h.now); h.balancer.admission.capacityFactor < 1 {
		t.Error("the capacity factor of the admission limiter did not recover within 60 s")
	}
}

// Each update of the endpoint list states the start of an endpoint again, possibly with an error. A start must count
// once. If stated starts are inexact, any different one is new, and the latest possible start counts.
func TestStartCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name                                    string
		known, listedStart, now, startTimeError int64
		isNew                                   bool
		startedAt                               int64
	}{
		{"never stated", 0, 0, 100, 0, false, 0},
		{"a first start", 0, 60, 100, 0, true, 60},
		{"the same start", 60, 60, 100, 0, false, 60},
		{"an earlier start", 60, 50, 100, 0, false, 60},
		{"an earlier start, inexact", 60, 50, 100, 20, true, 70},
		{"a start in the future", 60, 150, 100, 0, true, 100},
		{"the latest possible start is in the future", 60, 95, 100, 20, true, 100},
		{"no start stated any more, inexact", 60, 0, 100, 20, false, 60},
	} {
		state := slowStartState{listedStart: c.known, startedAt: c.known, tokens: 3, updatedAt: 90}
		if isNew := state.recordListedStart(c.now, c.listedStart, c.startTimeError); isNew != c.isNew || state.startedAt != c.startedAt {
			t.Errorf("%s: new = %t, startedAt = %d, want %t, %d", c.name, isNew, state.startedAt, c.isNew, c.startedAt)
		}
		if wasReset := state.tokens == 0 && state.updatedAt == 0; wasReset != c.isNew {
			t.Errorf("%s: token bucket reset = %t, want %t", c.name, wasReset, c.isNew)
		}
	}
}

// When no warm endpoint is left, the throughput of one cannot be measured. Its recent peak must be used and decay over
// time.
func TestWarmThroughputRemembersItsPeak(t *testing.T) {
	throughput := warmThroughput{answers: sum{Value: 30}}
	if got := throughput.update(0, 0, 2); got != 60 {
		t.Errorf("peak = %g answers per second, want 60", got)
	}
	throughput.answers = sum{}
	if got, want := throughput.update(peakTimeConstants*timeConstant, 0, 2), 60/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("peak = %g answers per second after %d time constants without answers, want %g", got, peakTimeConstants, want)
	}
	throughput.answers = sum{Value: 50}
	if got := throughput.update(peakTimeConstants*timeConstant, 0, 2); got != 100 {
		t.Errorf("peak = %g answers per second after a new peak, want 100", got)
	}
}

// A reset connection followed by two failed ones, without a success in between, is a restart. Resets alone or failed
// connections alone are not.
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
			t.Errorf("%v: restart detected = %t, want %t", c.outcomes, got, c.want)
		}
	}
}
