package tables

// Indices gives out small indices; those given back are used again first, the last one first. The zero value is ready. It does not lock.
type Indices struct {
	next int   // the lowest that was never out
	free []int // given back
}

// Take gives out an index. One that was never out before is the next higher number.
func (n *Indices) Take() int {
	if last := len(n.free) - 1; last >= 0 {
		index := n.free[last]
		n.free = n.free[:last]
		return index
	}
	n.next++
	return n.next - 1
}

// Give takes an index back.
func (n *Indices) Give(index int) { n.free = append(n.free, index) }

// Out tells how many are given out.
func (n *Indices) Out() int { return n.next - len(n.free) }
