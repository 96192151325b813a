package budgets

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

const ms = int64(1e6)

// proc is a process of the seeded run: its part, and when its lease is over.
type proc struct {
	life  uint64
	seq   uint64
	held  HeldShare
	until int64
	sent  map[uint64]int64
	down  bool
	rate  float64
}

type flight struct {
	at    int64
	to    int
	life  uint64
	ask   bool
	told  ShareRequest
	part  float64
	grant uint64
}

// The sum of the parts that all act on is never over the whole, whatever the network does, processes crash and come back, and others come to lead.
// It comes near the whole, and parts follow the traffic. With an old part kept for a while after the lease, that is seen broken.
func TestSumIsNeverOverTheWhole(t *testing.T) {
	steps := 30000
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		steps = n
	}
	for _, unsafe := range []bool{false, true} {
		broken := false
		for seed := range uint64(6) {
			worst, near := play(seed, steps, unsafe)
			if worst > 1+1e-9 {
				if broken = true; !unsafe {
					t.Errorf("seed %d: %v of the whole", seed, worst)
				}
			}
			if !unsafe && near < 0.7 {
				t.Errorf("seed %d: in the mean only %v of the whole is used", seed, near)
			}
		}
		if unsafe && !broken {
			t.Error("parts that outlive their leases were not seen")
		}
	}
}

func play(seed uint64, steps int, unsafe bool) (worst, mean float64) {
	const most, lease, outlasts = 9, 1800 * ms, 1837 * ms
	chance := rand.New(rand.NewPCG(seed, 4))
	procs := make([]*proc, most)
	for n := range procs {
		procs[n] = &proc{life: 1, sent: map[uint64]int64{}, rate: float64(1 + chance.IntN(300))}
	}
	now, ledger, loss := int64(1e12), New(1e12-outlasts, most, outlasts), 0.1
	var flying []flight
	last, counted := now, 0.0
	for range steps {
		now += chance.Int64N(60 * ms)
		switch n := chance.IntN(len(procs)); chance.IntN(400) {
		case 0:
			procs[n].down = !procs[n].down
			if !procs[n].down { // A new life.
				procs[n] = &proc{life: procs[n].life + 1, sent: map[uint64]int64{}, rate: procs[n].rate}
			}
		case 1:
			ledger = New(now, most, outlasts)
		case 2:
			loss = chance.Float64() * 0.7
		case 3, 4:
			procs[n].rate = float64(1 + chance.IntN(300))
		case 5:
			procs[n].rate = []float64{math.NaN(), math.Inf(1), -5, 1e300}[chance.IntN(4)]
		}
		rest := flying[:0]
		for _, f := range flying {
			p := procs[f.to]
			switch {
			case f.at > now:
				rest = append(rest, f)
			case f.ask:
				part := ledger.Grant(now, Holder{string(rune('a' + f.to)), f.life}, f.told)
				for again := true; again; again = chance.IntN(8) == 0 {
					if chance.Float64() >= loss {
						rest = append(rest, flight{at: now + 1 + chance.Int64N(900*ms), to: f.to, life: f.life, part: part, grant: f.told.Seq})
					}
				}
			case !p.down && p.life == f.life:
				p.held.Accept(f.grant, f.part)
				if until := p.sent[f.grant] + lease; until > p.until && now < until {
					p.until = until
				}
			}
		}
		flying = rest
		for n, p := range procs {
			if p.down || chance.IntN(8) != 0 {
				continue
			}
			p.seq++
			p.sent[p.seq] = now
			for again := true; again; again = chance.IntN(8) == 0 {
				if chance.Float64() >= loss {
					flying = append(flying, flight{at: now + 1 + chance.Int64N(900*ms), to: n, life: p.life, ask: true, told: ShareRequest{Seq: p.seq, GrantSeq: p.held.GrantSeq, RequestRate: p.rate}})
				}
			}
		}
		sum, up := 0.0, 0
		for _, p := range procs {
			if p.down {
				continue
			}
			up++
			until := p.until
			if unsafe {
				until += lease
			}
			if part := ShareWithoutLease(most); now < until && p.held.Share > 0 {
				sum += p.held.Share
			} else {
				sum += part
			}
		}
		worst = max(worst, sum)
		if up == most {
			mean += sum * float64(now-last)
			counted += float64(now - last)
		}
		last = now
	}
	return worst, mean / max(1, counted)
}

// Parts follow the traffic; who comes to lead grants nobody more than what one alone has until no earlier lease is left; the least is what one
// alone has, also for one that tells nonsense.
func TestPartsFollowTheTraffic(t *testing.T) {
	const most, outlasts = 4, 1837 * ms
	l := New(0, most, outlasts)
	rates := []float64{100, 300, math.NaN(), 100}
	var parts [4]float64
	var from [4]uint64
	for round := range uint64(8) {
		now := int64(round) * 600 * ms
		for n, rate := range rates {
			parts[n] = l.Grant(now, Holder{string(rune('a' + n)), 1}, ShareRequest{Seq: round + 1, GrantSeq: from[n], RequestRate: rate})
			from[n] = round + 1
			if now < outlasts && parts[n] != ShareWithoutLease(most) {
				t.Fatalf("%v granted at %v, while earlier leases may last", parts[n], now)
			}
		}
	}
	want := [4]float64{0.125 + 0.5*100/501, 0.125 + 0.5*300/501, 0.125 + 0.5/501, 0.125 + 0.5*100/501}
	for n := range parts {
		if math.Abs(parts[n]-want[n]) > 1e-3 {
			t.Errorf("%d has %v, not %v", n, parts[n], want[n])
		}
	}
	if sum := l.Promised(7 * 600 * ms); sum > 1 || sum < 0.99 {
		t.Errorf("%v promised in all", sum)
	}
	if l.Over != 0 {
		t.Error("more than stated")
	}
	l.Grant(7*600*ms, Holder{"e", 1}, ShareRequest{Seq: 1})
	if l.Over != 1 {
		t.Error("one more than stated is not noticed")
	}
}
