package policy

import (
	"fmt"
	"slices"
	"testing"
)

const ms = int64(1e6)

// sent is an attempt as the test's host saw it.
type sent struct {
	server int
	at     int64
	ended  int64
	until  int64
	out    bool
	how    Outcome
}

type asked struct {
	effect   Effect
	key      uint64
	live     bool
	stop     int64 // when its client goes
	attempts []sent
}

// watcher is a Host that checks the rules at every call.
type watcher struct {
	t         testing.TB
	b         *Balancer
	now       int64
	values    map[string]any
	asked     []asked
	healths   map[int]Health
	drained   map[int]bool // and not listed ready since
	zones     map[int]int
	timers    map[int64][]int
	sends     map[int]int
	rejected  int
	reasons   [reasons]int
	comeBack  []int64
	givenUp   int
	skew      int64 // added to what is told of a client's patience
	offCalled int
	subscribe int
}

func provenNever(how Outcome) bool {
	return how == Rejected || how == ConnectFailed || how == NotSent || how == CacheMiss
}

// mayRun tells after which outcomes an attempt can still be at work.
func mayRun(how Outcome) bool { return how == TimedOut || how == Reset || how == Cancelled }

func (w *watcher) span(name string) int64 { x, _ := w.values[name].(float64); return int64(x) * ms }

func (w *watcher) Send(i, s int, until int64) {
	r := &w.asked[i]
	effect, group := r.effect, w.values["workloads.1.group"].(string)
	remembers := int64(w.values["workloads.1.dedupWindow"].(float64)) * ms
	drift, inOrder := w.span("invariants.deadlineDrift"), w.values["workloads.0.keepOrder"] == true
	for j := 0; inOrder && effect == Safe && j < i; j++ {
		if e := &w.asked[j]; e.effect == Safe && e.key == r.key && (e.live || slices.ContainsFunc(e.attempts, func(t sent) bool {
			return t.out || mayRun(t.how) && w.now < t.ended+w.span("invariants.orderSettle")
		})) {
			w.t.Fatalf("request %d was sent before %d of its key was over", i, j)
		}
	}
	if !r.live || w.now >= r.stop+2*drift {
		w.t.Fatalf("sent after the end of request %d", i)
	}
	if w.healths[s] == Draining || w.healths[s] == Removed && (w.drained[s] || w.values["invariants.onlyDrainingBinds"] != true) {
		w.t.Fatalf("sent to server %d, which drains or is gone", s)
	}
	for _, t := range r.attempts {
		if t.out && !w.values["allowed.secondCopies"].(bool) {
			w.t.Fatalf("second copy of %d where none are allowed", i)
		}
		if !t.out && provenNever(t.how) {
			continue
		}
		if effect == NonIdempotent {
			w.t.Fatalf("one-shot %d sent again though it may have run", i)
		}
		if effect == Idempotent && (w.now+w.span("allowed.dialTimeout")+150*ms-t.at >= remembers || group == "zone" && w.zones[t.server] != w.zones[s] ||
			group == "cell" && t.server%3 != s%3) {
			w.t.Fatalf("stamped %d sent again outside its group or time", i)
		}
	}
	if len(r.attempts) >= int(w.values["allowed.mostTrips"].(float64)) {
		w.t.Fatalf("too many attempts of %d", i)
	}
	r.attempts = append(r.attempts, sent{server: s, at: w.now, until: until, out: true})
	w.sends[s]++
}

func (w *watcher) end(i int) {
	if !w.asked[i].live {
		w.t.Fatalf("second final answer for %d", i)
	}
	w.asked[i].live = false
}

func (w *watcher) Reject(i int, why Reason, comeBack int64) {
	w.end(i)
	w.reasons[why]++
	w.rejected++
	w.comeBack = append(w.comeBack, comeBack)
	r := &w.asked[i]
	for _, t := range r.attempts {
		group := w.values["workloads.1.group"].(string)
		if (t.out || !provenNever(t.how)) && (r.effect == NonIdempotent || r.effect == Idempotent && group != "all") {
			w.t.Fatalf("rejected %d though it may have run", i)
		}
	}
	if comeBack > 0 && !w.values["allowed.retryAfter"].(bool) {
		w.t.Fatal("told when to come back where that is not allowed")
	}
}

func (w *watcher) Fail(i int, _ Reason)  { w.end(i); w.givenUp++ }
func (w *watcher) Cancel(i, attempt int) { w.offCalled++ }
func (w *watcher) WatchEndpoints()       { w.subscribe++ }
func (w *watcher) SetTimer(tag int, a int64) {
	at := (w.now + a + ms - 1) / ms * ms
	w.timers[at] = append(w.timers[at], tag)
}

// plain is a fleet of n ready servers under a watcher. Workload 0 is harmless, 1 stamped, 2 one-shot.
func plain(t testing.TB, seed uint64, n int, change map[string]any) *watcher {
	w := &watcher{t: t, now: second, healths: map[int]Health{}, drained: map[int]bool{}, zones: map[int]int{}, timers: map[int64][]int{},
		sends: map[int]int{}, values: map[string]any{"allowed.mostTrips": 4.0, "allowed.secondCopies": false,
			"allowed.cancelling": true, "allowed.retryAfter": false, "balancers": 2.0, "workloads": 3.0,
			"invariants.warmUp": 8000.0, "invariants.startCapacity": 0.2, "invariants.fallMultiple": 3.0,
			"invariants.tipAfter": 1000.0, "registryMode": "subscribe", "allowed.maxRetryAfter": 2000.0}}
	for i, effect := range []string{"free", "guarded", "single_shot"} {
		at := fmt.Sprintf("workloads.%d.", i)
		w.values[at+"effect"], w.values[at+"group"], w.values[at+"dedupWindow"] = effect, "all", 900.0
		w.values[at+"expectedTime"], w.values[at+"value"], w.values[at+"tardyValue"] = 600.0, 1.0, 0.2
	}
	for name, value := range change {
		w.values[name] = value
	}
	w.b = New(w.now, seed, w.values, w)
	w.list(SavedList, n, func(int) (Health, int64) { return Ready, 0 })
	return w
}

func (w *watcher) list(scope UpdateKind, n int, what func(s int) (Health, int64)) {
	w.b.BeginEndpointUpdate(scope)
	for s := range n {
		health, started := what(s)
		w.healths[s], w.zones[s] = health, s%2
		w.drained[s] = health == Draining || health == Removed && w.drained[s]
		w.b.UpdateEndpoint(w.now, s, EndpointInfo{Address: fmt.Sprintf("10.0.0.%d:80", s), Health: health, StartedAt: started, Zone: s % 2, ReplicaGroup: s % 3})
	}
	w.b.CommitEndpointUpdate(w.now)
}

func (w *watcher) ask(effect Effect, key uint64, patience int64) int {
	w.asked = append(w.asked, asked{effect: effect, key: key, live: true, stop: w.now + patience})
	i := len(w.asked) - 1
	w.b.HandleRequest(w.now, i, RequestInfo{Remaining: patience + w.skew, Class: int(effect), Tenant: -1, Key: key, HasKey: true, IsWrite: effect != Safe})
	return i
}

func (w *watcher) answer(i, attempt int, how Outcome) {
	t := &w.asked[i].attempts[attempt]
	if !t.out {
		return
	}
	t.out, t.how, t.ended = false, how, w.now
	if how == OK {
		w.asked[i].live = false
	}
	w.b.HandleAttemptEnded(w.now, i, AttemptResult{Attempt: attempt, Endpoint: t.server, CacheResult: 1, Outcome: how, Latency: w.now - t.at, IsAnswered: !w.asked[i].live})
}

// step moves the clock, plays due timers and times out what is past its hard stop; then nothing may be lost.
func (w *watcher) step(by int64) {
	for end := w.now + by; w.now < end; {
		w.now += ms
		tags := w.timers[w.now]
		delete(w.timers, w.now)
		for _, tag := range tags {
			w.b.HandleTimer(w.now, tag)
		}
		for i := range w.asked {
			for t := range w.asked[i].attempts {
				if w.now >= w.asked[i].stop {
					w.answer(i, t, TimedOut)
				}
			}
			if w.asked[i].live && w.now > w.asked[i].stop+w.span("invariants.deadlineDrift") {
				w.t.Fatalf("request %d is lost", i)
			}
		}
	}
}
