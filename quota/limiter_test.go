package quota

import (
	"math/rand/v2"
	"testing"

	"hollylever/decay"
)

const windowSeconds = float64(decay.TimeConstant) / 1e9

// rejectedRatios has tenants send requests to the whole fleet for a minute, at these rates a second, while attempts end
// late. It returns the part of each tenant's requests at one balancer, which gets trafficShare of the fleet's traffic,
// that was rejected in the last half.
func rejectedRatios(seed uint64, rates, quotas []float64, trafficShare, evenShare float64) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	l := New(quotas)
	l.Restore(0, nil)
	requests, rejected := make([]float64, len(rates)), make([]float64, len(rates))
	for now := int64(0); now < 60e9; now += 1e6 {
		for t, rate := range rates {
			if random.Float64() >= rate*trafficShare/1000 {
				continue
			}
			isRejected := l.ShouldReject(t, Traffic{Now: now, WindowSeconds: windowSeconds, EvenShare: evenShare}, random.Float64)
			if now > 30e9 {
				requests[t]++
				if isRejected {
					rejected[t]++
				}
			}
		}
	}
	for t := range rejected {
		rejected[t] /= max(1, requests[t])
	}
	return rejected
}

// A balancer of a large fleet gets some ten requests a second of six tenants. By chance one of them is quiet for a
// moment, and all others seem to be beyond their shares: as all are inside them, few of their requests may be rejected.
func TestThinTrafficInsideSharesIsAdmitted(t *testing.T) {
	quotas := []float64{690, 600, 570, 540, 420, 180} // of a fleet of 3,000 a second
	rates := []float64{552, 540, 570, 486, 400, 126}
	for seed := range uint64(5) {
		for tenant, ratio := range rejectedRatios(seed, rates, quotas, 1.0/279, 0.5/279) {
			if ratio > 0.2 {
				t.Errorf("seed %d: %.2f of tenant %d's requests rejected, all tenants being inside their shares", seed, ratio, tenant)
			}
		}
	}
}

// One tenant asks four times its share while the fleet is overloaded, and every tenant's requests end late. Its own are
// the ones to be rejected, at a balancer that gets all traffic and at one of many.
func TestTenantBeyondItsShareIsRejected(t *testing.T) {
	quotas := []float64{600, 600, 600, 600}
	rates := []float64{2400, 600, 500, 550}
	for seed := range uint64(5) {
		for _, fleet := range []float64{1, 30, 279} {
			rejected := rejectedRatios(seed, rates, quotas, 1/fleet, 0.5/fleet)
			if rejected[0] < 0.4 || rejected[1] > 0.2 || rejected[2] > 0.2 || rejected[3] > 0.2 {
				t.Errorf("seed %d, one of %g balancers: rejected %.2f", seed, fleet, rejected)
			}
		}
	}
}

// A tenant is beyond its share, and the fleet has room for it. Rejecting it would lose requests for nothing: quotas
// bind only while attempts end late.
func TestNothingIsRejectedWhileAttemptsEndInTime(t *testing.T) {
	l := New([]float64{1})
	for n := range 1000 {
		l.RecordOutcomes(100, 3)
		if l.ShouldReject(0, Traffic{Now: int64(n) * 1e6, WindowSeconds: windowSeconds, TrafficShare: 0.1}, func() float64 { return 0.99 }) {
			t.Fatal("rejected though attempts end in time")
		}
	}
	for range 1000 {
		l.RecordOutcomes(100, 50)
	}
	if !l.ShouldReject(0, Traffic{Now: 1e9, WindowSeconds: windowSeconds, TrafficShare: 0.1}, func() float64 { return 0.99 }) {
		t.Fatal("not rejected though attempts end late")
	}
}

// Half of a tenant's traffic comes to one balancer while the other tenant is idle. The estimate from quotas would put
// all of it beyond the tenant's share; load reports know better, and go first.
func TestLoadReportsOverrideTheEstimate(t *testing.T) {
	l := New([]float64{300, 300})
	l.Restore(0, nil)
	for n := range 1000 { // The other tenant sends nothing.
		traffic := Traffic{Now: int64(n) * 1e7, WindowSeconds: windowSeconds, TrafficShare: 0.5, EvenShare: 0.01}
		if l.ShouldReject(0, traffic, func() float64 { return 0.9 }) {
			t.Fatal("rejected though reports tell that half of all traffic comes here")
		}
	}
	if l.ShouldReject(-1, Traffic{}, nil) {
		t.Fatal("a request of no tenant rejected")
	}
}
