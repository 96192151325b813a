package transport

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	stallTickInterval = 20 * time.Millisecond // how often the clock checks that the process runs: 50 wake-ups per second
	stallThreshold    = 2 * stallTickInterval // a longer gap between ticks is a stall; a single tick may be lost
	stallDrainWindow  = 50 * time.Millisecond // after a stall: time within which pending bytes are assumed to be read
)

// StallClock detects stalls: periods in which the process did not run because it was stopped or got no CPU time. The
// kernel accepts bytes and connections during a stall, so anything read right after it may have waited for all of it. A
// request treated as new then could be forwarded long after its client gave up. All times are monotonic. ArrivedAt is
// safe for concurrent use while Run ticks.
type StallClock struct {
	base         time.Time
	lastTick     atomic.Int64 // nanoseconds since base, as the fields below
	stallBegan   atomic.Int64 // last tick before the latest stall
	stallNoticed atomic.Int64 // first tick after the latest stall; 0 if there was none
}

// NewStallClock returns a clock; its Run must be started immediately.
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

// tick records a tick at now, in nanoseconds since base, and the stall that it reveals, if any.
func (s *StallClock) tick(now int64) {
	last := s.lastTick.Load()
	if now-last > int64(stallThreshold) {
		s.stallBegan.Store(last)
		s.stallNoticed.Store(now)
	}
	s.lastTick.Store(now)
}

// ArrivedAt returns the earliest possible arrival time of something that was read at readAt and had not arrived by
// notBefore. This is readAt itself or, right after a stall, the later of notBefore and the beginning of the stall. A
// nil clock records no stalls.
func (s *StallClock) ArrivedAt(notBefore, readAt time.Time) time.Time {
	if s == nil {
		return readAt
	}
	read := int64(readAt.Sub(s.base))
	began, noticed, lastTick := s.stallBegan.Load(), s.stallNoticed.Load(), s.lastTick.Load()
	switch {
	case read-lastTick > int64(stallThreshold): // The stall has just ended, before its first tick.
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
