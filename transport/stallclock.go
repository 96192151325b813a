package transport

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	stallTickInterval = 20 * time.Millisecond // how often the clock checks that the process runs: 50 wake-ups a second
	stallThreshold    = 2 * stallTickInterval // a tick so late tells of a stall: one tick may be lost
	stallDrainWindow  = 50 * time.Millisecond // after a stall: what waited through it is read within so long
)

// StallClock records the spans in which the process did not run, because it was stopped or got no processor. The
// kernel takes in bytes and connections meanwhile: what is read right after a stall may have waited through all of it,
// and a request taken for new then could be sent on long after its client gave up. All times are monotonic; the fields
// are atomic, so any goroutine may ask while Run ticks.
type StallClock struct {
	base         time.Time
	lastTick     atomic.Int64 // this and the others: nanoseconds since base
	stallBegan   atomic.Int64 // of the last stall: the last tick before it
	stallNoticed atomic.Int64 // of the last stall: the first tick after it; 0: there was none
}

// NewStallClock returns a clock whose Run is to be started at once.
func NewStallClock() *StallClock { return &StallClock{base: time.Now()} }

// Run ticks until the context ends.
func (s *StallClock) Run(ctx context.Context) {
	ticker := time.NewTicker(stallTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(int64(time.Since(s.base)))
		}
	}
}

// tick records a tick at now, in nanoseconds since base, and the stall that it shows.
func (s *StallClock) tick(now int64) {
	last := s.lastTick.Load()
	if now-last > int64(stallThreshold) {
		s.stallBegan.Store(last)
		s.stallNoticed.Store(now)
	}
	s.lastTick.Store(now)
}

// ArrivedAt returns the earliest time at which something may have arrived that was read at readAt and had not arrived
// at notBefore: readAt itself, or, right after a stall, the beginning of the stall. A nil clock knows of no stalls.
func (s *StallClock) ArrivedAt(notBefore, readAt time.Time) time.Time {
	if s == nil {
		return readAt
	}
	read := int64(readAt.Sub(s.base))
	began, noticed, lastTick := s.stallBegan.Load(), s.stallNoticed.Load(), s.lastTick.Load()
	switch {
	case read-lastTick > int64(stallThreshold): // The stall has just ended, and no tick has come yet.
		began = lastTick
	case noticed == 0 || read <= began || read-noticed >= int64(stallDrainWindow):
		return readAt
	}
	if begin := s.base.Add(time.Duration(began)); begin.After(notBefore) {
		return begin
	}
	if notBefore.After(readAt) {
		return readAt
	}
	return notBefore
}
