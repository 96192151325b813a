package fakes

import "time"

// beat is the distance between two looks of a metronome at the clock.
const beat = 5 * time.Millisecond

// Metronome measures how late a test itself runs, as other processes use the machine: what the test measures of a program
// is late by as much.
type Metronome struct {
	stopped chan struct{}
	longest chan time.Duration
}

// StartMetronome starts one.
func StartMetronome() *Metronome {
	m := &Metronome{stopped: make(chan struct{}), longest: make(chan time.Duration, 1)}
	go m.run()
	return m
}

func (m *Metronome) run() {
	longest, last := time.Duration(0), time.Now()
	for {
		select {
		case <-m.stopped:
			m.longest <- longest
			return
		case <-time.After(beat):
			longest, last = max(longest, time.Since(last)-beat), time.Now()
		}
	}
}

// Stop ends it and returns how late the test was at the most.
func (m *Metronome) Stop() time.Duration {
	close(m.stopped)
	return <-m.longest
}
