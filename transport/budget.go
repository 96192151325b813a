package transport

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Budget is what buffers over MostBuffer may take, all together, until whoever has them is done. They are used again:
// guards memory against large ones that are dropped faster than the collector finds them.
type Budget struct {
	left, all atomic.Int64
	spare     sync.Map // by size, a *sync.Pool of *[]byte, which the collector empties
}

// NewBudget makes one of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.Allow(bytes)
	return b
}

// Allow sets how many bytes it is from now on; what is taken stays so.
func (b *Budget) Allow(bytes int64) { b.left.Add(bytes - b.all.Swap(bytes)) }

// take gives a buffer of n bytes and what it takes of the budget, nil where there is no room. One may have half.
func (b *Budget) take(n int) (buffer []byte, owes int) {
	if b == nil || int64(n) > b.all.Load()/2 {
		return nil, 0
	}
	owes = sizeFor(n)
	if b.left.Add(int64(-owes)) < 0 {
		b.left.Add(int64(owes))
		return nil, 0
	}
	if spare, _ := b.ofSize(owes).Get().(*[]byte); spare != nil {
		return (*spare)[:n], owes
	}
	return make([]byte, owes)[:n], owes
}

// lent gives the way in which a buffer comes back, once.
func (b *Budget) lent(buffer []byte, owes int) (done func()) {
	return func() {
		buffer = buffer[:owes]
		b.ofSize(owes).Put(&buffer)
		b.left.Add(int64(owes))
	}
}

func (b *Budget) ofSize(size int) *sync.Pool {
	pool, _ := b.spare.LoadOrStore(size, new(sync.Pool))
	return pool.(*sync.Pool)
}

// sizeFor rounds up by a quarter at most, so that there are few sizes.
func sizeFor(n int) int {
	step := 1 << max(0, bits.Len(uint(n))-3)
	return min((n+step-1)/step*step, MostMessage)
}
