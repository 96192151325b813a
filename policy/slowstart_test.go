package policy

import (
	"math"
	"testing"
)

// A small endpoint starts among large ones. What these answer is more than it can do: the budget goes by weight.
func TestSlowStartBudgetFollowsWeight(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"weights": "live"})
	updateWeightedList(w, 20, 0, func(int) float64 { return 0 })
	room := func(s int) float64 {
		w.balancer.endpoints[s].slowStart.startedAt, w.balancer.endpoints[s].slowStart.tokens, w.balancer.endpoints[s].slowStart.updatedAt = w.now-second, 0, w.now-second/8
		return w.balancer.refillSlowStart(w.now, s)
	}
	for range 400 {
		i := w.request(Safe, w.balancer.random.uint64(), second)
		w.advance(5 * ms)
		w.endAttempt(i, 0, OK)
	}
	if small, large := room(0), room(1); small <= 0 || large < 3*small {
		t.Fatalf("room of %g for a small one, %g for one four times its size", small, large)
	}
}

// Some endpoints are down and others warm up, and the fleet needs what these can do. One that answers all it gets is sent more, within the overload multiple; one that
// rejects is not, as it is full already.
func TestSlowStartBudgetGrowsWithSuccesses(t *testing.T) {
	w := newHarness(t, 1, 0, nil)
	answerWeightedTraffic(w)
	budget := func(successes, rejections float64) float64 {
		evidence := w.balancer.clock.evidence
		endpoint := &w.balancer.endpoints[0]
		endpoint.slowStart.startedAt, endpoint.slowStart.tokens, endpoint.slowStart.updatedAt = w.now-second, 0, w.now-second/8
		endpoint.outlier.outcomes.successes = sum{Value: successes, UpdatedAt: evidence}
		endpoint.outlier.outcomes.failures = sum{Value: 0, UpdatedAt: evidence}
		endpoint.rejected = sum{Value: rejections, UpdatedAt: evidence}
		return w.balancer.refillSlowStart(w.now, 0)
	}
	fresh, proven, full := budget(0, 0), budget(1000, 0), budget(30, 30)
	if proven < 2.5*fresh || proven > 3*fresh || full > 1.3*fresh {
		t.Errorf("a budget of %g for a new endpoint, %g for one that answers all, %g for one that is full", fresh, proven, full)
	}
}

// All warm endpoints leave the list at once, and nothing tells any longer what a warm one answers. Those that warm up go on getting their part: a fleet that gives them
// nothing would never warm.
func TestSlowStartBudgetOutlastsWarmEndpoints(t *testing.T) {
	w := newHarness(t, 1, 8, map[string]any{"invariants.warmUp": 30000.0, "invariants.startCapacity": 0.5})
	for range 1000 {
		w.endAttempt(w.request(Safe, w.balancer.random.uint64(), second), 0, OK)
		w.advance(5 * ms)
	}
	started := w.now
	w.updateList(FullList, 8, func(s int) (Health, int64) { return []Health{Removed, Ready}[s/4], started })
	late := 0
	for n := range 1500 { // 100 a second for four, where warm servers answered 25 each
		i := w.request(Safe, w.balancer.random.uint64(), second)
		if w.advance(10 * ms); len(w.requests[i].attempts) > 0 {
			w.endAttempt(i, 0, OK)
		} else if n > 500 {
			late++
		}
	}
	if late > 600 {
		t.Fatalf("%d of the last 1000 rejected while all servers are cold", late)
	}
}

// Two processes of a balancer run over an upgrade. Each has the share of the budget that its share of the attempts is, else both would send the whole.
func TestProcessShareScalesSlowStartBudget(t *testing.T) {
	room := func(part float64) float64 {
		b, q := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
		b.SetProcessShare(part)
		now := driveTraffic(b, q, unixStart, 2000)
		b.BeginEndpointUpdate(IncrementalList)
		b.UpdateEndpoint(now, 1, EndpointInfo{Address: "s-1", Health: Ready, StartedAt: now - second, Weight: 1})
		b.CommitEndpointUpdate(now)
		b.endpoints[1].slowStart.tokens, b.endpoints[1].slowStart.updatedAt = 0, now
		return b.refillSlowStart(now+300*ms, 1)
	}
	if whole, half := room(1), room(0.5); whole <= 0 || math.Abs(half/whole-0.5) > 1e-6 {
		t.Errorf("the whole is %v, the half %v", whole, half)
	}
}

// A balancer of a large fleet may send a warming endpoint a third of a request. It lets one in with that chance, once a moment, and the tokens are spent either way: saved
// up, whole ones would come from all balancers at once.
func TestFractionalTokenIsDrawnOnceAndSpent(t *testing.T) {
	w := newHarness(t, 1, 4, nil)
	const draws = 4000
	let := 0
	for range draws {
		h := &w.balancer.endpoints[1]
		w.now += ms
		h.slowStart.startedAt, h.slowStart.tokens, h.slowStart.updatedAt = w.now, 0.3, w.now-1
		r := &requestState{isOpen: true, deadline: w.now + second}
		first := w.balancer.canDispatch(w.now, r, 1)
		if again := w.balancer.canDispatch(w.now, r, 1); again != first || first != (h.slowStart.tokens >= 1) || !first && h.slowStart.tokens > 0 {
			t.Fatalf("let in %t, then %t, with room of %g left", first, again, h.slowStart.tokens)
		}
		if first {
			let++
		}
	}
	if w.balancer.refillSlowStart(w.now+ms, 1); w.balancer.endpoints[1].slowStart.tokens >= 1 {
		t.Errorf("room of %g is kept for later", w.balancer.endpoints[1].slowStart.tokens)
	}
	if let < draws*25/100 || let > draws*35/100 {
		t.Errorf("%d of %d are let in with room for 0.3", let, draws)
	}
}

// The clock that stamps starts is off either way. An endpoint that has just started counts as warming up for its whole warm-up, and no longer.
func TestBootStampErrorKeepsEndpointWarmingUp(t *testing.T) {
	for _, off := range []int64{-9 * second, 0, 9 * second} {
		w := newHarness(t, 1, 3, map[string]any{"invariants.bootStampError": 9000.0})
		w.now += 60 * second
		told := w.now
		w.updateList(FullList, 3, func(s int) (Health, int64) {
			if s == 0 {
				return Ready, told + off
			}
			return Ready, 0
		})
		w.now += 8*second - ms
		if !w.balancer.isWarmingUp(w.now, 0) {
			t.Errorf("stamped off by %d s: taken for warm too soon", off/second)
		}
		if w.now += 2 * ms; w.balancer.isWarmingUp(w.now, 0) {
			t.Errorf("stamped off by %d s: still cold after its warm-up", off/second)
		}
	}
}

// An endpoint restarts and the list does not tell. Its attempts break, and then it takes no connection: it counts as warming up from then on, and as load may have brought
// it down, less is in flight before requests are rejected, for a while. Broken attempts alone, or one failed connection, tell neither.
func TestUnlistedRestartIsDetected(t *testing.T) {
	w := newHarness(t, 1, 1, map[string]any{"allowed.mostTrips": 1.0})
	ends := func(how Outcome) { w.endAttempt(w.request(Safe, 1, second), 0, how) }
	w.advance(5 * second)
	if ends(Reset); w.balancer.isWarmingUp(w.now, 0) || w.balancer.admission.tolerance < 1 {
		t.Error("a broken attempt is taken for a restart")
	}
	if ends(OK); w.balancer.endpoints[0].restart.failures > 0 {
		t.Error("it answered, and is still taken for broken")
	}
	if ends(ConnectFailed); w.balancer.isWarmingUp(w.now, 0) {
		t.Error("a failed connect is taken for a restart")
	}
	ends(OK)
	ends(Reset)
	if ends(ConnectFailed); w.balancer.isWarmingUp(w.now, 0) || w.balancer.admission.tolerance < 1 {
		t.Error("a broken attempt and one that is cut short on its way are taken for a restart")
	}
	if ends(ConnectFailed); !w.balancer.isWarmingUp(w.now, 0) || w.balancer.admission.tolerance > 0.9 {
		t.Error("a restart is not seen")
	}
	w.advance(60 * second)
	if w.balancer.advanceClock(w.now); w.balancer.admission.tolerance < 1 {
		t.Error("what all bear does not come back")
	}
}
