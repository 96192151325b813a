package policy

import (
	"math/bits"

	"hollylever/decay"
)

// What the module stands on: records without a method that decides, sums that fade, chance. No decision is made here.

// ran is whether an attempt ran.
type executionState int8

// kind is what the servers of one kind answered, and the largest size that a list gave one of them.
type machineType struct {
	answers, answerTime, rejections sum
	weight                          float64
}

type requestClass struct {
	effect                      Effect
	inOrder                     bool
	dedupGroup                  string
	dedupWindow, objective      int64 // stamped: how long repeats are dropped
	objectiveStretch, lateValue float64
}

// read is where a key was read last, and how much speaks for its attempts failing wherever they go.
type keyRecord struct {
	key                uint64
	endpoint, failedAt int
	suspicion          float64
}

type candidate struct {
	score    float64
	endpoint int
}

// A sum fades with the clock of evidence, and so does held, an average of what is in flight.
type (
	sum     = decay.Sum
	average = decay.Average
)

func (b *Balancer) count(counts ...*sum) {
	for _, c := range counts {
		c.Add(b.evidence, 1)
	}
}

// chance is a multiply-with-carry generator.
type randomSource struct{ x, carry uint64 }

func (c *randomSource) uint64() uint64 {
	x := c.x
	hi, lo := bits.Mul64(x, 0xffebb71d94fcdaf9)
	lo, over := bits.Add64(lo, c.carry, 0)
	c.x, c.carry = lo, hi+over
	return x
}

func (c *randomSource) float64() float64 { return float64(c.uint64()>>11) / (1 << 53) }

func (c *randomSource) intN(n int) int { hi, _ := bits.Mul64(c.uint64(), uint64(n)); return int(hi) }
