package policy

import "testing"

// longestRefusal plays a process that has just started and gets a request each 60 ms, and gives the longest time without an attempt.
func longestRefusal(w *watcher, effect Effect, patience int64, answers func(s int) bool) (longest int64) {
	last, next := w.now, w.now
	for n, end := 0, w.now+20*second; w.now < end; w.step(10 * ms) {
		if w.now >= next {
			next += 60 * ms
			n++
			if i := w.ask(effect, uint64(n), patience); len(w.asked[i].attempts) > 0 {
				longest, last = max(longest, w.now-last), w.now
			}
		}
		for i := range w.asked {
			for t := range w.asked[i].attempts {
				if sent := &w.asked[i].attempts[t]; sent.out && answers(sent.server) && w.now >= sent.at+50*ms {
					w.answer(i, t, OK)
				}
			}
		}
	}
	return max(longest, w.now-last)
}

// A process that has just started turns away no 4 s of requests, though all hosts that it knows are cold, or some hang for long.
func TestARestartedProcessTriesHosts(t *testing.T) {
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		cold    bool
		effect  Effect
		answers func(s int) bool
	}{
		"all cold": {true, Safe, all},
		"non-idempotent requests, a zone is silent": {false, NonIdempotent, func(s int) bool { return s%2 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				w := plain(t, seed, 0, map[string]any{"balancers": 300.0, "invariants.warmUp": 20000.0})
				started := int64(0)
				if c.cold {
					started = w.now
				}
				w.list(SavedList, 12, func(int) (Health, int64) { return Ready, started })
				if longest := longestRefusal(w, c.effect, 5*second, c.answers); longest >= 4*second {
					t.Errorf("seed %d: no attempt for %d ms", seed, longest/ms)
				}
			}
		})
	}
}
