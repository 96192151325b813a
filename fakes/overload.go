package fakes

import "time"

// overloadMeter counts the commands that a host gets beyond what it can serve while it is cold. The zero value is ready for use.
type overloadMeter struct {
	recent    []time.Time // of the commands of the last second
	since     time.Time   // start of the present excess; zero: none
	overloads int         // commands after OverloadTime of excess
}

// count counts a command to a host that has a part of its capacity.
func (m *overloadMeter) count(now time.Time, capacity float64, options HostOptions) {
	m.recent = append(m.recent, now)
	for now.Sub(m.recent[0]) > time.Second {
		m.recent = m.recent[1:]
	}
	perSecond := capacity * float64(options.Concurrency) / options.ServiceTime.Seconds()
	switch {
	case options.OverloadFactor == 0 || float64(len(m.recent)) <= options.OverloadFactor*perSecond:
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = now
	case now.Sub(m.since) >= options.OverloadTime:
		m.overloads++
	}
}
