package transport

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Budget bounds what buffers over MaxBuffer take of memory, all together, until their users are done with them. It
// uses them again: it guards memory against large buffers that are dropped faster than the garbage collector finds
// them, where the heap would grow past the process's limit. It needs no lock; nil is a budget without room.
type Budget struct {
	available, total atomic.Int64 // bytes
	free             sync.Map     // by size, a *sync.Pool of *[]byte, which the collector empties
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.SetTotal(bytes)
	return b
}

// SetTotal sets the budget's size in bytes from now on; what is in use stays so, also where that is more.
func (b *Budget) SetTotal(bytes int64) { b.available.Add(bytes - b.total.Swap(bytes)) }

// acquire returns a buffer of n bytes and the bytes it takes of the budget, nil where there is no room. A single
// buffer may have half of the budget at most, so that one client can't keep out all others.
func (b *Budget) acquire(n int) (buffer []byte, size int) {
	if b == nil || int64(n) > b.total.Load()/2 {
		return nil, 0
	}
	size = roundedSize(n)
	if b.available.Add(int64(-size)) < 0 {
		b.available.Add(int64(size))
		return nil, 0
	}
	if used, _ := b.freeOfSize(size).Get().(*[]byte); used != nil {
		return (*used)[:n], size
	}
	return make([]byte, size)[:n], size
}

// releaseFunc returns the function that gives a buffer of acquire back, to be called once.
func (b *Budget) releaseFunc(buffer []byte, size int) (release func()) {
	return func() {
		buffer = buffer[:size]
		b.freeOfSize(size).Put(&buffer)
		b.available.Add(int64(size))
	}
}

func (b *Budget) freeOfSize(size int) *sync.Pool {
	pool, _ := b.free.LoadOrStore(size, new(sync.Pool))
	return pool.(*sync.Pool)
}

// roundedSize rounds n up by a quarter at most, so that there are few sizes and a buffer is likely to be used again.
func roundedSize(n int) int {
	step := 1 << max(0, bits.Len(uint(n))-3)
	return min((n+step-1)/step*step, MaxMessage)
}
