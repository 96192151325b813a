package policy

import (
	"math/bits"

	"hollylever/decay"
)

// The activity clock and the random source.
//
// Sums and averages decay exponentially by the activity clock, a logical clock that runs slower when fewer requests
// arrive. With little traffic, statistics thus cover a longer period and enough answers; with much traffic they react
// quickly. On a clock of constant speed, a balancer in a large fleet would forget one answer of an endpoint before it
// gets the next.

// timeConstant is the time, in nanoseconds, in which statistics decay to 1/e while the activity clock runs at full
// speed. It is long enough for a balancer with some tens of requests per second to collect enough of them, and short
// enough to notice a fault within seconds.
const timeConstant = decay.TimeConstant

const (
	// fullRateRequests is the decaying sum of arrivals at which the activity clock reaches full speed. With fewer
	// requests it runs proportionally slower.
	fullRateRequests = 60.0

	// minRate is the lowest speed of the activity clock. It bounds the age of statistics, as observations from half a
	// minute ago say little about the present.
	minRate = 0.1
)

// A sum, and a time-weighted average of a level, that decay by the activity clock.
type (
	sum     = decay.Sum
	average = decay.Average
)

// activityClock keeps the time of the caller's clock and of the activity clock. Times are nanoseconds.
type activityClock struct {
	startedAt    int64
	now          int64   // time of the caller's clock
	activityTime int64   // time of the activity clock
	rate         float64 // speed of the activity clock relative to the caller's clock, from minRate to 1
}

// advance moves both clocks to now and updates the rate from the number of recent arrivals.
func (c *activityClock) advance(now int64, arrivals *sum) {
	c.activityTime += int64(float64(now-c.now) * c.rate)
	c.now, c.rate = now, min(1, max(minRate, arrivals.ValueAt(c.activityTime)/fullRateRequests))
}

// count adds one to each sum.
func (b *Balancer) count(sums ...*sum) {
	for _, s := range sums {
		s.Add(b.clock.activityTime, 1)
	}
}

// randomSource is a multiply-with-carry generator (Marsaglia). Each balancer has its own seed, so that balancers that
// see the same events do not make the same random choices.
type randomSource struct{ x, carry uint64 }

const (
	randomMultiplier = 0xffebb71d94fcdaf9

	// randomWarmUpDraws is the number of initial draws to discard, so that similar seeds do not start with similar
	// values.
	randomWarmUpDraws = 8

	// minJitter is the smallest factor that jitter returns.
	minJitter = 0.5
)

func newRandomSource(seed uint64) randomSource {
	r := randomSource{seed ^ hashMultiplier, 1}
	for range randomWarmUpDraws {
		r.uint64()
	}
	return r
}

// uint64 returns 64 random bits.
func (r *randomSource) uint64() uint64 {
	x := r.x
	hi, lo := bits.Mul64(x, randomMultiplier)
	lo, carryOut := bits.Add64(lo, r.carry, 0)
	r.x, r.carry = lo, hi+carryOut
	return x
}

// float64 returns a random number in [0, 1).
func (r *randomSource) float64() float64 { return float64(r.uint64()>>11) / (1 << 53) }

// jitter returns a random factor in [minJitter, minJitter+1), 1 on average. It spreads out events that would otherwise
// happen at all balancers, or to all clients, at the same time.
func (r *randomSource) jitter() float64 { return minJitter + r.float64() }

// intN returns a random integer from 0 to n-1.
func (r *randomSource) intN(n int) int {
	hi, _ := bits.Mul64(r.uint64(), uint64(n))
	return int(hi)
}
