package policy

import (
	"math/bits"

	"hollylever/decay"
)

// timeConstant is the time in which evidence fades to 1/e at full pace: long enough for a balancer that sees some tens of requests a
// second to rest on enough of them, short enough to notice a fault within seconds.
const timeConstant = decay.TimeConstant

const (
	// fullPaceRequests are the requests within the time constant at which evidence fades at full pace. With fewer it fades slower, as the
	// view of a balancer that sees little traffic has to rest on as many answers as it can have.
	fullPaceRequests = 60.0

	// minPace bounds how much slower evidence fades: what was seen half a minute ago tells little of now.
	minPace = 0.1
)

// A sum decays with the clock of evidence, and so does an average of a level.
type (
	sum     = decay.Sum
	average = decay.Average
)

// evidenceClock is the clock by which what was observed fades.
type evidenceClock struct {
	startedAt int64
	now       int64
	evidence  int64   // the time that counts for evidence
	pace      float64 // of evidence to now, from minPace to 1
}

// advance moves both clocks, and sets the pace by how many requests arrive.
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

// randomSource is a multiply-with-carry generator. Its seed is the instance's own, so that balancers that see the same do not act in step.
type randomSource struct{ x, carry uint64 }

// randomWarmUpDraws are thrown away, so that near seeds do not begin alike.
const randomWarmUpDraws = 8

func newRandomSource(seed uint64) randomSource {
	r := randomSource{seed ^ 0x9e3779b97f4a7c15, 1}
	for range randomWarmUpDraws {
		r.uint64()
	}
	return r
}

func (r *randomSource) uint64() uint64 {
	x := r.x
	hi, lo := bits.Mul64(x, 0xffebb71d94fcdaf9)
	lo, over := bits.Add64(lo, r.carry, 0)
	r.x, r.carry = lo, hi+over
	return x
}

// float64 draws from 0 up to 1.
func (r *randomSource) float64() float64 { return float64(r.uint64()>>11) / (1 << 53) }

// intN draws from 0 up to n-1.
func (r *randomSource) intN(n int) int {
	hi, _ := bits.Mul64(r.uint64(), uint64(n))
	return int(hi)
}
