package agreed

import "slices"

// Listed is what a process tells of the list that it acts on.
type Listed struct {
	Name          string
	Index, Digest uint64
	Drains        []Drained
}

// Drained is a host that a list called draining or gone from an index on.
type Drained struct {
	Host  string
	Index uint64
}

// Compared is what others' lists tell of one's own.
type Compared struct {
	News     []string // hosts that a later list, or another under the same index, calls draining or gone; sorted
	Behind   string   // who has a later list
	Latest   uint64
	Contrary string // who has another list under the same index
}

// Compare looks at others' lists. What they tell of drains beyond one's own index counts; that a host is well, never.
func Compare(index, digest uint64, others []Listed) (c Compared) {
	for _, o := range others {
		contrary := o.Index == index && o.Digest != digest
		if contrary {
			c.Contrary = o.Name
		}
		if o.Index > index && o.Index > c.Latest {
			c.Behind, c.Latest = o.Name, o.Index
		}
		for _, d := range o.Drains {
			if d.Index > index && d.Index <= o.Index || contrary && d.Index <= index {
				c.News = append(c.News, d.Host)
			}
		}
	}
	slices.Sort(c.News)
	c.News = slices.Compact(c.News)
	return c
}
