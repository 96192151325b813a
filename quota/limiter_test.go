package quota

import (
	"math/rand/v2"
	"testing"

	"hollylever/decay"
)

const windowSeconds = float64(decay.TimeConstant) / 1e9

// rejectedRatios simulates tenants that send requests to the whole fleet for a minute at the given rates per second,
// while attempts end late. It returns, for a balancer that receives trafficShare of the fleet's traffic, the fraction
// of each tenant's requests that was rejected during the second half minute.
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

// Guards against rejecting requests of tenants within their shares because another tenant happens to send none for a
// moment. A balancer of a large fleet receives about ten requests per second from six tenants, all within their shares:
// few of their requests may be rejected.
func TestThinTrafficInsideSharesIsAdmitted(t *testing.T) {
	quotas := []float64{690, 600, 570, 540, 420, 180} // fleet of 3,000 requests per second
	rates := []float64{552, 540, 570, 486, 400, 126}
	for seed := range uint64(5) {
		for tenant, ratio := range rejectedRatios(seed, rates, quotas, 1.0/279, 0.5/279) {
			if ratio > 0.2 {
				t.Errorf("seed %d: %.2f of tenant %d's requests rejected, although all tenants are within their shares", seed, ratio, tenant)
			}
		}
	}
}

// One tenant sends four times its share while the fleet is overloaded and requests of all tenants end late. Mainly that
// tenant's requests must be rejected, both at a balancer that receives all traffic and at one of many.
func TestTenantBeyondItsShareIsRejected(t *testing.T) {
	quotas := []float64{600, 600, 600, 600}
	rates := []float64{2400, 600, 500, 550}
	for seed := range uint64(5) {
		for _, balancers := range []float64{1, 30, 279} {
			rejected := rejectedRatios(seed, rates, quotas, 1/balancers, 0.5/balancers)
			if rejected[0] < 0.4 || rejected[1] > 0.2 || rejected[2] > 0.2 || rejected[3] > 0.2 {
				t.Errorf("seed %d, one of %g balancers: rejected %.2f", seed, balancers, rejected)
			}
		}
	}
}

// Guards against rejecting requests of a tenant beyond its share while the fleet has spare capacity: quotas are
// enforced only while attempts end late.
func TestNothingIsRejectedWhileAttemptsEndInTime(t *testing.T) {
	l := New([]float64{1})
	for n := range 1000 {
		l.RecordOutcomes(100, 3)
		if l.ShouldReject(0, Traffic{Now: int64(n) * 1e6, WindowSeconds: windowSeconds, TrafficShare: 0.1}, func() float64 { return 0.99 }) {
			t.Fatal("rejected although attempts end in time")
		}
	}
	for range 1000 {
		l.RecordOutcomes(100, 50)
	}
	if !l.ShouldReject(0, Traffic{Now: 1e9, WindowSeconds: windowSeconds, TrafficShare: 0.1}, func() float64 { return 0.99 }) {
		t.Fatal("not rejected although attempts end late")
	}
}

// One balancer receives half of all traffic while the second tenant is idle. By the estimate from quotas, the first
// tenant would exceed its share; load reports are more accurate and take precedence.
func TestLoadReportsOverrideTheEstimate(t *testing.T) {
	l := New([]float64{300, 300})
	l.Restore(0, nil)
	for n := range 1000 { // The other tenant sends nothing.
		traffic := Traffic{Now: int64(n) * 1e7, WindowSeconds: windowSeconds, TrafficShare: 0.5, EvenShare: 0.01}
		if l.ShouldReject(0, traffic, func() float64 { return 0.9 }) {
			t.Fatal("rejected although load reports say that this balancer receives half of all traffic")
		}
	}
	if l.ShouldReject(-1, Traffic{}, nil) {
		t.Fatal("a request without a tenant was rejected")
	}
}
