package evacuation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

func views(failing ...int) (all []ZoneHealth) {
	for n, f := range failing {
		all = append(all, ZoneHealth{fmt.Sprint("z", n), 8, f})
	}
	return all
}

// play looks every 50 ms for so long, does what is said at once, and gives how often each zone was left and come back to.
func play(w *Controller, now *int64, over int64, left *[]string, of func(now int64) []ZoneHealth) (leaves, returns, stays int) {
	for end := *now + over; *now < end; *now += 50 * ms {
		say, stay := w.Tick(*now, of(*now), *left)
		stays += len(stay)
		for _, s := range say {
			if s.Evacuate {
				leaves++
				*left = append(*left, AutomaticPrefix+s.Zone)
			} else {
				returns++
				*left = slices.DeleteFunc(*left, func(name string) bool { return name == AutomaticPrefix+s.Zone })
			}
		}
	}
	return leaves, returns, stays
}

func TestLeavesAndReturns(t *testing.T) {
	for _, c := range []struct {
		name                   string
		failing                []int
		leaves, returns, stays int
	}{
		{"all well", []int{0, 0, 0}, 0, 0, 0},
		{"one host", []int{1, 0, 0}, 0, 0, 0},
		{"less than it takes", []int{4, 0, 0}, 0, 0, 0},
		{"a zone", []int{6, 0, 0}, 1, 0, 0},
		{"a zone, another not quite", []int{8, 4, 0}, 1, 0, 0},
		{"two zones of three", []int{8, 8, 0}, 2, 0, 0},
		{"all: the last stays", []int{8, 8, 8}, 2, 0, 1},
		{"the only one", []int{8}, 0, 0, 1},
	} {
		w, now, left := &Controller{}, int64(1e12), []string{}
		leaves, returns, stays := play(w, &now, 10_000*ms, &left, func(int64) []ZoneHealth { return views(c.failing...) })
		if leaves != c.leaves || returns != c.returns || stays != c.stays {
			t.Errorf("%s: left %d, back %d, stays %d", c.name, leaves, returns, stays)
		}
		_, returns, _ = play(w, &now, 10_000*ms, &left, func(int64) []ZoneHealth { return views(make([]int, len(c.failing))...) })
		if returns != c.leaves || len(left) != 0 {
			t.Errorf("%s: back %d times, %v are still left", c.name, returns, left)
		}
	}
	// For a moment only: nobody leaves.
	w, now, left := &Controller{}, int64(1e12), []string{}
	if leaves, _, _ := play(w, &now, 10_000*ms, &left, func(now int64) []ZoneHealth { return views(8*int(now/(250*ms)%2), 0, 0) }); leaves != 0 {
		t.Errorf("left %d times for what lasts 250 ms", leaves)
	}
	// Where operators left the other zones, the last one is not left by itself.
	w, now, left = &Controller{}, 1e12, []string{"z1", "z2"}
	if leaves, _, stays := play(w, &now, 5000*ms, &left, func(int64) []ZoneHealth { return views(8, 0, 0) }); leaves != 0 || stays != 1 {
		t.Errorf("left %d times, %d said to stay", leaves, stays)
	}
}

// A zone that comes and goes every two seconds is left and come back to ever more seldom: one change in each hold, which doubles.
func TestNoFlapping(t *testing.T) {
	w, now, left := &Controller{}, int64(1e12), []string{}
	began := now
	var changes []int64
	for range 6000 { // 5 min
		say, _ := w.Tick(now, views(8*int((now-began)/(4000*ms)%2), 0, 0), left)
		for _, s := range say {
			changes = append(changes, now)
			if left = nil; s.Evacuate {
				left = []string{AutomaticPrefix + s.Zone}
			}
		}
		now += 50 * ms
	}
	for n := 2; n < len(changes); n++ {
		if changes[n]-changes[n-1] < sure {
			t.Errorf("two changes within %d ms", (changes[n]-changes[n-1])/ms)
		}
	}
	if len(changes) > 8 {
		t.Errorf("%d changes in five minutes", len(changes))
	}
}

// Seeded noise on one host, one zone's share or for moments: nobody leaves. The command has it for as many plans as wanted.
func TestNoise(t *testing.T) {
	plans := 200
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_PLANS")); err == nil {
		plans = n
	}
	for seed := range uint64(plans) {
		chance := rand.New(rand.NewPCG(seed, 6))
		w, now, left := &Controller{}, int64(1e12), []string{}
		zone, host := chance.IntN(3), 0
		for step := range 400 {
			failing := make([]int, 3)
			switch {
			case seed%3 == 0: // One host, for as long as it likes.
				failing[zone] = 1
			case seed%3 == 1: // Up to a half of a zone's.
				if step%20 == 0 {
					host = chance.IntN(5)
				}
				failing[zone] = host
			default: // All of a zone's, for less than it takes.
				if step%10 < 4 {
					failing[zone] = 8
				}
			}
			if say, _ := w.Tick(now, views(failing...), left); len(say) > 0 {
				t.Fatalf("seed %d step %d: %+v", seed, step, say)
			}
			now += 50 * ms
		}
	}
}

// A path goes out at once where a zone fails, in steps where an operator left it, and back in steps; a relapse is at once; slower while reads miss.
func TestPaths(t *testing.T) {
	terms := RampDurations{EvacuationNanos: 8000 * ms, RecoveryNanos: 16_000 * ms}
	var p Ramp
	now := int64(1e12)
	look := func(after int64, left []string, own, slow bool) float64 {
		now += after
		return p.Advance(now, "z", left, own, slow, terms)
	}
	for n, step := range []struct {
		after     int64
		left      []string
		own, slow bool
		want      float64
	}{
		{0, nil, false, false, 0},
		{100 * ms, []string{"z"}, false, false, 1.0 / 32},
		{3900 * ms, []string{"z"}, false, false, 0.5},
		{4000 * ms, []string{"z"}, false, false, 1},
		{1000 * ms, nil, false, false, 30.0 / 32},
		{3000 * ms, nil, false, true, 0.90625},
		{100 * ms, []string{"y", AutomaticPrefix + "z"}, false, false, 1},
		{8000 * ms, nil, false, false, 0.5},
		{100 * ms, []string{AutomaticPrefix + "z"}, false, false, 1}, // A relapse half-way.
		{60_000 * ms, nil, false, false, 0},
		{100 * ms, []string{AutomaticPrefix + "z"}, true, false, 0}, // Its own zone, which it sees well.
		{8000 * ms, []string{"z"}, true, false, 1},                  // But not against an operator.
	} {
		if got := look(step.after, step.left, step.own, step.slow); got != step.want {
			t.Errorf("step %d: %v, not %v", n, got, step.want)
		}
	}
	var started Ramp
	if got := started.Advance(now, "z", []string{"z"}, false, false, terms); got != 1 {
		t.Errorf("one that starts goes to a zone that was left before: %v", got)
	}
}

// A process that starts stands where the others do, and goes on from there; what makes no sense is taken as all that there is.
func TestBegin(t *testing.T) {
	terms := RampDurations{EvacuationNanos: 10_000 * ms, RecoveryNanos: 12_000 * ms}
	for _, c := range []struct {
		begins       float64
		left         []string
		first, later float64
	}{
		{0, nil, 0, 0}, {0.75, nil, 0.75, 0.5}, {1, nil, 1, 0.75}, {0.5, []string{"z"}, 1, 1}, {0, []string{"z"}, 1, 1}, {0, []string{AutomaticPrefix + "z"}, 1, 1},
		{math.NaN(), nil, 1, 0.75}, {7, nil, 1, 0.75}, {-1, nil, 1, 0.75},
	} {
		p, now := &Ramp{}, int64(1e12)
		p.Start(c.begins)
		first := p.Advance(now, "z", c.left, false, false, terms)
		later := p.Advance(now+3000*ms, "z", c.left, false, false, terms)
		if first != c.first || later != c.later {
			t.Errorf("%v, left %v: %v and %v, not %v and %v", c.begins, c.left, first, later, c.first, c.later)
		}
	}
}
