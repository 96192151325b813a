package policy

import (
	"math/bits"

	"hollylever/decay"
)

// How long what was observed counts. Sums and averages fade exponentially, by a clock of evidence that runs slower the
// fewer requests arrive. A balancer that sees little traffic so rests on as many answers as it can have, and one that
// sees much is quick. Without it, a balancer of a large fleet would have forgotten one answer of an endpoint before the
// next.

// timeConstant is the time in which evidence fades to 1/e at full pace, in nanoseconds: long enough for a balancer that
// sees some tens of requests a second to rest on enough of them, short enough to notice a fault within seconds.
const timeConstant = decay.TimeConstant

const (
	// fullPaceRequests is the number of requests within the time constant from which on evidence fades at full pace.
	// With fewer it fades slower in proportion.
	fullPaceRequests = 60.0

	// minPace is the least pace at which evidence fades: what was seen half a minute ago tells little of now.
	minPace = 0.1
)

// A sum, and an average of a level, that fade by the clock of evidence.
type (
	sum     = decay.Sum
	average = decay.Average
)

// evidenceClock is the clock by which what was observed fades. Times are nanoseconds.
type evidenceClock struct {
	startedAt int64
	now       int64
	evidence  int64   // the time that counts for evidence
	pace      float64 // of evidence to now, from minPace to 1
}

// advance moves both clocks to now, and sets the pace by how many requests have arrived of late.
func (c *evidenceClock) advance(now int64, arrivals *sum) {
	c.evidence += int64(float64(now-c.now) * c.pace)
	c.now, c.pace = now, min(1, max(minPace, arrivals.ValueAt(c.evidence)/fullPaceRequests))
}

// count adds one to each sum.
func (b *Balancer) count(sums ...*sum) {
	for _, s := range sums {
		s.Add(b.clock.evidence, 1)
	}
}

// randomSource is a multiply-with-carry generator (Marsaglia). Its seed is the instance's own, so that balancers that
// see the same do not act in step.
type randomSource struct{ x, carry uint64 }

const (
	// randomMultiplier is the generator's multiplier.
	randomMultiplier = 0xffebb71d94fcdaf9

	// randomWarmUpDraws are thrown away, so that near seeds do not begin alike.
	randomWarmUpDraws = 8

	// minJitter is the least factor by which jitter changes a wait.
	minJitter = 0.5
)

// newRandomSource seeds a generator.
func newRandomSource(seed uint64) randomSource {
	r := randomSource{seed ^ hashMultiplier, 1}
	for range randomWarmUpDraws {
		r.uint64()
	}
	return r
}

// uint64 draws 64 bits.
func (r *randomSource) uint64() uint64 {
	x := r.x
	hi, lo := bits.Mul64(x, randomMultiplier)
	lo, over := bits.Add64(lo, r.carry, 0)
	r.x, r.carry = lo, hi+over
	return x
}

// float64 draws from 0 up to 1.
func (r *randomSource) float64() float64 { return float64(r.uint64()>>11) / (1 << 53) }

// jitter draws a factor from minJitter up to 1 more, 1 in the mean. It spreads what would else happen at all balancers,
// or to all clients, at once.
func (r *randomSource) jitter() float64 { return minJitter + r.float64() }

// intN draws from 0 up to n-1.
func (r *randomSource) intN(n int) int {
	hi, _ := bits.Mul64(r.uint64(), uint64(n))
	return int(hi)
}
