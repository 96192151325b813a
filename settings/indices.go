package settings

// IndexAllocator gives out small indices; those given back are used again first, the last one first. The zero value is
// ready. It does not lock.
type IndexAllocator struct {
	next int   // the lowest that was never out
	free []int // given back
}

// Allocate gives out an index. One that was never out before is the next higher number.
func (n *IndexAllocator) Allocate() int {
	if last := len(n.free) - 1; last >= 0 {
		index := n.free[last]
		n.free = n.free[:last]
		return index
	}
	n.next++
	return n.next - 1
}

// Free takes an index back.
func (n *IndexAllocator) Free(index int) { n.free = append(n.free, index) }

// InUse tells how many are given out.
func (n *IndexAllocator) InUse() int { return n.next - len(n.free) }
