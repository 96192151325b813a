package transport

import "time"

// The limit of clients: the number configured, or less while descriptors are short, since servers' connections and
// files need descriptors too. Where there is no room for a client more, one between commands is asked to close.

const (
	// limitRecoveryInterval is how long after a shortage of descriptors, and after each step, the limit is raised by
	// the next step; one step is the configured limit over limitRecoverySteps. The limit is
	// back within 4 s, and a shortage that lasts costs one failed accept each interval.
	limitRecoveryInterval = time.Second / 2
	limitRecoverySteps    = 8

	// spareDivisor is the part of the limit that is kept free: clients are asked to close once less than a 16th is,
	// so that new clients don't wait while those asked to close do so.
	spareDivisor = 16
)

// SetLimit sets how many clients there may be from now on. Over that, clients between commands are asked to close.
func (l *Listener) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configuredLimit = max(1, limit)
	l.applyLimit()
}

// applyLimit sets the limit from what is configured and what is short. Under the lock.
func (l *Listener) applyLimit() {
	limit := l.configuredLimit
	if l.shortageLimit > 0 {
		limit = min(limit, l.shortageLimit)
	}
	if limit == l.limit {
		return
	}
	l.limit = limit
	for n := len(l.clients) - limit; n > 0; n-- {
		l.evictIdle()
	}
	l.roomChanged.Broadcast()
}

// reduceLimit lowers the limit to a tenth less than are connected, at least to half of the first limit. It guards
// connections to servers against clients that take every descriptor, where there are fewer than configured.
func (l *Listener) reduceLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = min(l.limit, max(l.minLimit, len(l.clients)*9/10))
	l.shortageLimit, l.shortageAt = l.limit, time.Now()
	l.evictIdle()
}

// recoverLimit raises the limit again after a shortage, a step at a time. Under the lock.
func (l *Listener) recoverLimit(now time.Time) {
	if l.shortageLimit == 0 || now.Sub(l.shortageAt) < limitRecoveryInterval {
		return
	}
	l.shortageAt = now
	if l.shortageLimit += max(1, l.configuredLimit/limitRecoverySteps); l.shortageLimit >= l.configuredLimit {
		l.shortageLimit = 0
	}
	l.applyLimit()
}

// awaitRoom waits until there is room for one client more. All clients may be busy: the first that has its reply makes
// room. Under the lock.
func (l *Listener) awaitRoom() {
	for ; len(l.clients) >= l.limit && !l.isClosed; l.evictIdle() {
		l.roomChanged.Wait()
	}
}

// hasSpareRoom reports whether so many clients leave the part of the limit free that is kept so. Under the lock.
func (l *Listener) hasSpareRoom(clients int) bool { return clients < l.limit-l.limit/spareDivisor }

// evictIdle asks one client between commands to close, unless there is spare room: the first by rank, of like ones the
// one idle longest. Clients that are closing already count as gone. Under the lock.
func (l *Listener) evictIdle() {
	var first *Client
	closing := 0
	for c := range l.clients {
		switch {
		case c.pendingReplies > 0, c.hasPartialCommand && c.validCommands > 0:
		case c.isClosing:
			if closing++; c.hasPartialCommand {
				c.requestClose() // It was let complete its command while there was room.
			}
		case first == nil, c.isEvictedBefore(first):
			first = c
		}
	}
	if first != nil && !l.hasSpareRoom(len(l.clients)-closing) {
		first.requestClose()
	}
}

// isEvictedBefore reports whether the client makes room before the other does. Under the lock.
func (c *Client) isEvictedBefore(other *Client) bool {
	rank, otherRank := c.evictionRank(), other.evictionRank()
	return rank < otherRank || rank == otherRank && c.idleSince.Before(other.idleSince)
}

// Sweep asks clients to close that have been idle too long, and raises the limit after a shortage. It is to be called
// several times a second.
func (l *Listener) Sweep() {
	if l.isShared {
		l.Unblock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoverLimit(time.Now())
	for c := range l.clients {
		if c.pendingReplies == 0 && !c.isClosing && !c.hasPartialCommand && time.Since(c.idleSince) > c.idleTimeout() {
			c.requestClose()
		}
	}
}
