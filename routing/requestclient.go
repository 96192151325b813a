package routing

import (
	"sync/atomic"
	"time"
)

// client is what an exchange needs to know of the client that sent its request.
type client struct {
	receivedAt    time.Time       // when the request's last byte arrived at this machine; its timeout counts from then
	repliesBefore func() int      // returns how many replies are owed to it before the request's own; nil: none ever
	repliesOwed   func() int      // returns how many replies are owed to it, with the request's own; nil: no other ever
	closedByUs    *atomic.Bool    // set before the balancer cuts its connection off with replies still owed; nil: never
	onAdmitted    func()          // called once the request is admitted
	disconnected  <-chan struct{} // closed once the client's disconnect has been read; nil if it never disconnects
	hasEnded      func() bool     // checks the connection itself; nil if there is no connection
	mayHaveEnded  func() bool     // whether an end may have been hidden for too long; nil: never
}

// hasDisconnected reports whether the client has disconnected, even if the end of its connection has not been read yet.
// After a stall of the process, both the end of the connection and the event that starts an attempt may be due, and they
// are handled in any order.
func (c client) hasDisconnected() bool { return c.hasEnded != nil && c.hasEnded() }

// isUnread reports whether the client may have disconnected for too long, unseen behind bytes that wait to be read.
func (c client) isUnread() bool { return c.mayHaveEnded != nil && c.mayHaveEnded() }

// replyPosition returns how many replies are owed to the client before the request's own.
func (c client) replyPosition() int {
	if c.repliesBefore == nil {
		return 0
	}
	return c.repliesBefore()
}

// othersWait reports whether replies to other commands of the client wait beside the request's own.
func (c client) othersWait() bool { return c.repliesOwed != nil && c.repliesOwed() > 1 }

// wasCutOff reports whether the balancer has closed the client's connection with replies still owed.
func (c client) wasCutOff() bool { return c.closedByUs != nil && c.closedByUs.Load() }
