package transport

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Budget bounds the total memory of the buffers over MaxBuffer that are in use. Released buffers are reused: otherwise
// large buffers could be dropped faster than the garbage collector reclaims them, and the heap would grow past the
// process's memory limit. It is safe for concurrent use. A nil Budget grants no buffers.
type Budget struct {
	Memory           *MemoryAccount // bounds all memory for clients, of which the budget is a part; set before use
	available, total atomic.Int64   // bytes
	free             sync.Map       // released buffers: size to *sync.Pool of *[]byte, emptied by the garbage collector
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.SetTotal(bytes)
	return b
}

// SetTotal sets the budget's size in bytes. Buffers in use are kept even if they take more than the new size.
func (b *Budget) SetTotal(bytes int64) { b.available.Add(bytes - b.total.Swap(bytes)) }

// MayEverGrant reports whether the budget is large enough for a buffer of n bytes while no other is in use.
func (b *Budget) MayEverGrant(n int) bool { return b != nil && int64(n) <= b.total.Load()/2 }

// memory returns the account that bounds all memory; nil if there is none.
func (b *Budget) memory() *MemoryAccount {
	if b == nil {
		return nil
	}
	return b.Memory
}

// acquire returns a buffer of n bytes and the number of bytes that it takes from the budget, or nil if the budget does
// not suffice or less than keepFree bytes of the memory would stay free. A single buffer may take at most half of the
// budget, so that one client can't exclude all others.
func (b *Budget) acquire(n int, keepFree int64) (buffer []byte, size int) {
	if !b.MayEverGrant(n) {
		return nil, 0
	}
	size = roundedSize(n)
	if b.available.Add(int64(-size)) < 0 {
		b.available.Add(int64(size))
		return nil, 0
	}
	if !b.Memory.Reserve(int64(size), keepFree) {
		b.available.Add(int64(size))
		return nil, 0
	}
	if reused, _ := b.freeOfSize(size).Get().(*[]byte); reused != nil {
		return (*reused)[:n], size
	}
	return make([]byte, size)[:n], size
}

// releaseFunc returns the function that returns a buffer from acquire to the budget. It must be called exactly once.
func (b *Budget) releaseFunc(buffer []byte, size int) (release func()) {
	return func() {
		buffer = buffer[:size]
		b.freeOfSize(size).Put(&buffer)
		b.available.Add(int64(size))
		b.Memory.Release(int64(size))
	}
}

func (b *Budget) freeOfSize(size int) *sync.Pool {
	pool, _ := b.free.LoadOrStore(size, new(sync.Pool))
	return pool.(*sync.Pool)
}

// roundedSize rounds n up by at most a quarter, so that there are few sizes and a released buffer is likely to be
// reused.
func roundedSize(n int) int {
	step := 1 << max(0, bits.Len(uint(n))-3)
	return min((n+step-1)/step*step, MaxMessage)
}
