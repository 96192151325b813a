package policy

import (
	"math/bits"

	"hollylever/decay"
)

// What the module stands on: records without a method that decides, sums that fade, chance. No decision is made here.

// ran is whether an attempt ran.
type ran int8

// kind is what the servers of one kind answered, and the largest size that a list gave one of them.
type kind struct {
	answered, took, busy sum
	size                 float64
}

type class struct {
	effect              Effect
	inOrder             bool
	group               string
	remembers, expected int64 // stamped: how long repeats are dropped
	stretch, tardy      float64
}

// read is where a key was read last, and how much speaks for its attempts failing wherever they go.
type read struct {
	key            uint64
	server, failed int
	strain         float64
}

type ranked struct {
	score  float64
	server int
}

// A sum fades with the clock of evidence, and so does held, an average of what is in flight.
type (
	sum  = decay.Sum
	held = decay.Average
)

func (b *Balancer) tally(counts ...*sum) {
	for _, c := range counts {
		c.Add(b.seen, 1)
	}
}

// chance is a multiply-with-carry generator.
type chance struct{ x, carry uint64 }

func (c *chance) next() uint64 {
	x := c.x
	hi, lo := bits.Mul64(x, 0xffebb71d94fcdaf9)
	lo, over := bits.Add64(lo, c.carry, 0)
	c.x, c.carry = lo, hi+over
	return x
}

func (c *chance) part() float64 { return float64(c.next()>>11) / (1 << 53) }

func (c *chance) below(n int) int { hi, _ := bits.Mul64(c.next(), uint64(n)); return int(hi) }
