package transport

import (
	"io"
	"net"
	"time"
)

const (
	lingerFor  = time.Second
	mostLinger = MostMessage

	keepSilent = 2 * time.Second // from when it connected, with no good command
	keepOnce   = 5 * time.Second // after one
	keepUsual  = time.Minute

	keepBriefly = 50 * time.Millisecond   // after one, with a quarter of the room taken
	halfFirst   = 2700 * time.Millisecond // from when it connected
	halfUsual   = 10 * time.Second
	askFor      = 500 * time.Millisecond // a client that has just come has so long to ask
)

// Client is a client's connection. It is busy while something of it is being answered.
type Client struct {
	Conn
	owner         *Listener
	busy          int
	good          int // commands that made sense
	going         bool
	awaits        bool      // its reader is to be woken with each answer
	half          bool      // a part of a command has come
	came          time.Time // when it connected
	since         time.Time // idle since
	overfullSince time.Time // more waits than the buffer holds; zero: it does not
}

// keeps is how long a client is kept between commands. Guards descriptors and memory against those that connect and
// say nothing, or ask once and stay; usual clients, which ask again, keep their connections.
func (c *Client) keeps() time.Duration {
	if c.good == 1 && len(c.owner.clients) > c.owner.most/4 {
		return keepBriefly // Guards clients who may only hold so many: those who keep them idle have none left to ask on.
	}
	return [...]time.Duration{keepSilent, keepOnce, keepUsual}[min(c.good, 2)]
}

// rank orders clients that may have to make room: silent ones, those that asked once, those that have just come and had
// no time to ask, usual ones.
func (c *Client) rank() int {
	switch {
	case c.good > 1:
		return 3
	case c.good == 1:
		return 1
	case time.Since(c.came) < askFor:
		return 2
	}
	return 0
}

// goSoon wakes the client's reader, which alone closes the connection: nothing that was read is dropped.
func (c *Client) goSoon() {
	c.going = true
	c.wake()
}

// wake ends what its reader waits for, as a time that is over. It is safe against steps of the wall clock: it is long past by any.
func (c *Client) wake() { c.SetReadDeadline(time.Unix(1, 0)) }

// whole is until when a command that has begun to come has to be whole; zero: none has. Usual clients may write slowly;
// from one that never sent a good command an end is owed soon after it came. Under the lock.
func (c *Client) whole(begun time.Time) time.Time {
	switch {
	case begun.IsZero():
		return begun
	case c.good > 0:
		return begun.Add(c.owner.HalfUsual)
	}
	return c.came.Add(c.owner.HalfFirst)
}

// Linger ends the connection after a last word to a client that may still be sending: closed at once, what it sends
// would reset the connection and take the word with it.
func (c *Client) Linger() {
	if half, ok := c.Conn.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite() // A client that has gone: the read below says so.
	}
	c.owner.mu.Lock()
	if !c.going {
		c.SetReadDeadline(time.Now().Add(lingerFor))
	}
	c.owner.mu.Unlock()
	_, _ = io.CopyN(io.Discard, c, mostLinger)
}

// Age is how long ago the client connected.
func (c *Client) Age() time.Duration { return time.Since(c.came) }

// Commands counts the commands of the client that made sense.
func (c *Client) Commands() int {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.good
}

// Begin marks the client busy with one thing more.
func (c *Client) Begin() {
	c.owner.mu.Lock()
	c.busy++
	c.owner.mu.Unlock()
}

// Good tells that a command of the client made sense.
func (c *Client) Good() {
	c.owner.mu.Lock()
	c.good++
	c.owner.mu.Unlock()
}

// End marks one thing as answered. A client that is to go does so with its last answer.
func (c *Client) End() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.busy--; c.busy == 0 {
		if c.good > 0 { // Else its time runs from when it connected: noise does not make it last.
			c.since = time.Now()
		}
		if c.going || c.owner.last {
			c.goSoon()
		}
		c.owner.room.Signal()
	}
	if c.awaits {
		c.wake()
	}
}

// Fill reads once more. begun: since when a command has begun to come, zero if none has. Spared: the connection is to go,
// nothing is being answered and nothing waits to be read. A command that has begun to come is let come, within its time,
// but where a client that never sent a good one has to make room.
func (c *Client) Fill(begun time.Time) End {
	for {
		if end := c.room(); end != Open {
			return end
		}
		c.owner.mu.Lock()
		c.half = len(c.Unread()) > 0
		if c.going && c.busy == 0 && !(c.half && (c.good > 0 || len(c.owner.clients) < c.owner.most-c.owner.most/16)) {
			if waits, ended := c.pending(); !waits && !ended {
				c.Conn.Close() // At once: a retrieval that comes between the look and this meets a closed connection.
				c.owner.mu.Unlock()
				return Spared
			}
		}
		c.SetReadDeadline(c.whole(begun))
		c.owner.mu.Unlock()
		end := c.readOn()
		if end != Stuck {
			return end
		}
		c.owner.mu.Lock()
		// Looked at anew: being asked to go is no end of the client's time, and it may have shown itself a usual one meanwhile.
		until := c.whole(begun)
		c.owner.mu.Unlock()
		if !until.IsZero() && !time.Now().Before(until) {
			return end
		}
	}
}
