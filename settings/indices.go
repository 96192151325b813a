package settings

// IndexAllocator allocates small indices. Freed indices are reused first, the most recently freed one first. The zero
// value is ready for use. It is not safe for concurrent use.
type IndexAllocator struct {
	next int   // the lowest index never allocated
	free []int // freed indices
}

// Allocate returns a freed index or, if there is none, the lowest index never allocated.
func (a *IndexAllocator) Allocate() int {
	if last := len(a.free) - 1; last >= 0 {
		index := a.free[last]
		a.free = a.free[:last]
		return index
	}
	a.next++
	return a.next - 1
}

// Free makes an allocated index available again.
func (a *IndexAllocator) Free(index int) { a.free = append(a.free, index) }

// InUse returns the number of allocated indices.
func (a *IndexAllocator) InUse() int { return a.next - len(a.free) }
