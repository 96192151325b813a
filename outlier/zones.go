package outlier

// zoneSet counts different zones. Their numbers are small, so it takes as much room as there are zones, and that is used again.
type zoneSet struct {
	round uint32
	in    []uint32 // by zone: the round in which it was added last
}

// clear begins a new set.
func (s *zoneSet) clear() {
	if s.round++; s.round == 0 { // Once in four billion: the rounds begin again.
		clear(s.in)
		s.round = 1
	}
}

// add tells whether the zone is new in the set.
func (s *zoneSet) add(zone uint16) bool {
	if n := int(zone) + 1 - len(s.in); n > 0 {
		s.in = append(s.in, make([]uint32, n)...)
	}
	isNew := s.in[zone] != s.round
	s.in[zone] = s.round
	return isNew
}
