package quota

import (
	"math/rand/v2"
	"testing"

	"hollylever/decay"
)

const span = float64(decay.TimeConstant) / 1e9

// play sends requests of tenants at these rates a second to a balancer with a part of a fleet for a minute, while
// attempts end poorly, and returns the part of each tenant's requests that was rejected in the last half.
func play(seed uint64, rates, quotas []float64, part, evenPart float64) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	g := New(quotas)
	g.Restore(0, nil)
	asked, rejected := make([]float64, len(rates)), make([]float64, len(rates))
	for now := int64(0); now < 60e9; now += 1e6 {
		for t, rate := range rates {
			if random.Float64() >= rate*part/1000 {
				continue
			}
			out := g.ShouldReject(t, Traffic{Now: now, WindowSeconds: span, EvenShare: evenPart}, random.Float64)
			if now > 30e9 {
				asked[t]++
				if out {
					rejected[t]++
				}
			}
		}
	}
	for t := range rejected {
		rejected[t] /= max(1, asked[t])
	}
	return rejected
}

// A balancer that gets some ten requests a second of six tenants, all inside their shares, rejects few of them.
func TestThinTrafficOfQuietTenantsIsNoOverload(t *testing.T) {
	quotas := []float64{690, 600, 570, 540, 420, 180} // of a fleet of 3,000 a second
	rates := []float64{552, 540, 570, 486, 400, 126}
	for seed := range uint64(5) {
		for tenant, part := range play(seed, rates, quotas, 1.0/279, 0.5/279) {
			if part > 0.2 {
				t.Errorf("seed %d: %.2f of tenant %d's requests rejected, all tenants being inside their shares", seed, part, tenant)
			}
		}
	}
}

// A tenant that asks four times its share gives way, and the others hardly do.
func TestWhoIsBeyondItsShareGivesWay(t *testing.T) {
	quotas := []float64{600, 600, 600, 600}
	rates := []float64{2400, 600, 500, 550}
	for seed := range uint64(5) {
		for _, fleet := range []float64{1, 30, 279} {
			rejected := play(seed, rates, quotas, 1/fleet, 0.5/fleet)
			if rejected[0] < 0.4 || rejected[1] > 0.2 || rejected[2] > 0.2 || rejected[3] > 0.2 {
				t.Errorf("seed %d, one of %g balancers: rejected %.2f", seed, fleet, rejected)
			}
		}
	}
}

func TestNothingIsRejectedWhileAttemptsEndWell(t *testing.T) {
	g := New([]float64{1})
	for n := range 1000 {
		g.RecordOutcomes(100, 3)
		if g.ShouldReject(0, Traffic{Now: int64(n) * 1e6, WindowSeconds: span, TrafficShare: 0.1}, func() float64 { return 0.99 }) {
			t.Fatal("rejected though attempts end well")
		}
	}
	for range 1000 {
		g.RecordOutcomes(100, 50)
	}
	if !g.ShouldReject(0, Traffic{Now: 1e9, WindowSeconds: span, TrafficShare: 0.1}, func() float64 { return 0.99 }) {
		t.Fatal("not rejected though attempts end poorly")
	}
}

func TestReportsGoBeforeTheEstimate(t *testing.T) {
	g := New([]float64{300, 300})
	g.Restore(0, nil)
	for n := range 1000 { // The other tenant asks nothing: by the estimate all of it is beyond its share.
		if g.ShouldReject(0, Traffic{Now: int64(n) * 1e7, WindowSeconds: span, TrafficShare: 0.5, EvenShare: 0.01}, func() float64 { return 0.9 }) {
			t.Fatal("rejected though reports tell that half of all traffic comes here")
		}
	}
	if g.ShouldReject(-1, Traffic{}, nil) {
		t.Fatal("a request of no tenant rejected")
	}
}
