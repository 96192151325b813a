package transport

import "time"

// The limit of clients is the configured number, or less during a shortage of descriptors, since connections to servers
// and files need descriptors too. When the limit is reached, clients between commands are evicted for new ones.

const (
	// After a shortage of descriptors the limit is raised once per limitRecoveryInterval, each time by the configured
	// limit divided by limitRecoverySteps. The limit is restored within 4 s, and a lasting shortage costs one failed
	// accept per interval.
	limitRecoveryInterval = time.Second / 2
	limitRecoverySteps    = 8

	// evictionInterval is how often clients that take too long are looked for while a new client waits.
	evictionInterval = 50 * time.Millisecond

	// spareDivisor sets how much of the limit is kept free: clients are evicted once less than a 16th is free, so that
	// new clients don't have to wait while evicted ones close.
	spareDivisor = 16
)

// SetLimit sets the limit of clients. Clients between commands are evicted while more are connected.
func (l *Listener) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configuredLimit = max(1, limit)
	l.applyLimit()
}

// applyLimit computes the limit from the configured one and that of a shortage. The caller must hold l.mu.
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
	l.capacityChanged.Broadcast()
}

// reduceLimit lowers the limit to a tenth below the number of connected clients, but not below half of the initial
// limit. It keeps clients from taking the descriptors that connections to servers need, when there are fewer
// descriptors than the configured limit assumes.
func (l *Listener) reduceLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = min(l.limit, max(l.minLimit, len(l.clients)*9/10))
	l.shortageLimit, l.shortageAt = l.limit, time.Now()
	l.evictIdle()
}

// recoverLimit raises the limit again after a shortage, one step at a time. The caller must hold l.mu.
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

// awaitCapacity waits until the limit allows one more client. If all clients are busy, that is when the first has its
// reply and is evicted, or when one has taken too long for a command or a reply. The caller must hold l.mu.
func (l *Listener) awaitCapacity() {
	for ; len(l.clients) >= l.limit && !l.isClosed; l.evictIdle() {
		retry := time.AfterFunc(evictionInterval, l.evictOverdue)
		l.capacityChanged.Wait()
		retry.Stop()
	}
}

// evictOverdue evicts as many clients as the reserve has places, of those that have become evictable by the passage of
// time alone, and wakes awaitCapacity.
func (l *Listener) evictOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range max(1, l.limit/spareDivisor) {
		l.evictIdle()
	}
	l.capacityChanged.Broadcast()
}

// hasSpareCapacity reports whether this number of clients leaves the reserve set by spareDivisor free. The caller must
// hold l.mu.
func (l *Listener) hasSpareCapacity(clients int) bool { return clients < l.limit-l.limit/spareDivisor }

// evictIdle marks one client as closing, unless there is spare capacity: the one with the lowest rank, and among equal
// ranks the one that has been idle longest. Clients to which a reply is owed and those that are sending a command are
// spared while they make progress. Clients already closing are counted as gone. The caller must hold l.mu.
func (l *Listener) evictIdle() {
	var candidate *Client
	closing, now := 0, time.Now()
	for c := range l.clients {
		switch {
		case c.isClosing && c.isSendOverdue(now):
			closing++
			c.interruptSend()
		case c.isSendOverdue(now):
			candidate = c.evictedFirst(candidate)
		case c.pendingReplies > 0, c.hasProtectedCommand(now):
		case c.isClosing:
			if closing++; c.hasPartialCommand {
				c.requestClose() // It was allowed to complete its command while there was spare capacity.
			}
		default:
			candidate = c.evictedFirst(candidate)
		}
	}
	if candidate != nil && !l.hasSpareCapacity(len(l.clients)-closing) {
		candidate.requestClose()
		if candidate.isSendOverdue(now) {
			candidate.interruptSend()
		}
	}
}

// evictedFirst returns which of two clients is to be evicted first; the other may be nil. The caller must hold
// listener.mu.
func (c *Client) evictedFirst(other *Client) *Client {
	if other == nil || c.isEvictedBefore(other) {
		return c
	}
	return other
}

// isEvictedBefore reports whether the client is to be evicted before the other. The caller must hold listener.mu.
func (c *Client) isEvictedBefore(other *Client) bool {
	rank, otherRank := c.evictionRank(), other.evictionRank()
	return rank < otherRank || rank == otherRank && c.idleSince.Before(other.idleSince)
}

// Sweep marks clients that have been idle for too long as closing, and raises the limit after a shortage. It must be
// called several times a second.
func (l *Listener) Sweep() {
	if l.isShared {
		l.Unblock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoverLimit(time.Now())
	for c := range l.clients {
		if c.pendingReplies == 0 && !c.isClosing && !c.hasPartialCommand && !c.isLingering && time.Since(c.idleSince) > c.idleTimeout() {
			c.requestClose()
		}
	}
}

// hasProtectedCommand reports whether the client is in the middle of a command that it may complete even when its place
// is needed: it has sent a valid command before, and does not take too long. The caller must hold listener.mu.
func (c *Client) hasProtectedCommand(now time.Time) bool {
	return c.hasPartialCommand && c.validCommands > 0 && !c.partial.isOverdue(now)
}

// isSendOverdue reports whether the client takes too long to read a reply. The caller must hold listener.mu.
func (c *Client) isSendOverdue(now time.Time) bool {
	return c.sending.isOverdue(now)
}
