// Package routing carries requests from clients to cache servers and the replies back. It connects the decisions of
// package policy with connections, clocks and timers, and takes none that package policy could take. Its own part is to
// bound the memory and the number of requests in flight, and to end attempts early enough for the reply to reach the
// client in time.
//
// # Life of a request
//
//	connection     commandReader reads the client's commands and writeReplies writes the replies until it ends
//	    |          ended by: the client's close, a command that breaks the protocol, shutdown of the listener
//	    v
//	pending reply  one for each command, in command order; it holds the command's position among the replies
//	    |          ended by: its reply, or the client's disconnect before there is one
//	    v
//	admission      exchange.admit: a request that is malformed, a duplicate, beyond a bound or too late for shutdown is
//	    |          answered at once and goes no further; one with an effect whose ID has come before waits for the
//	    |          result of the first one in place of an exchange (repeat.go)
//	    v
//	exchange       a slot in the request table and a goroutine that handles the request's events one at a time
//	    |          final reply from: an attempt's reply, a rejection or failure by the policy (deadline, no capacity),
//	    |          the beginning of a large value, expiry at shutdown (ExpireAt); none after the client's disconnect
//	    |  ^
//	    v  | attemptEnded
//	attempt        one goroutine each: connect, send, read the reply
//	    |          ended by: the server's reply, the attempt's deadline, a broken connection, cancellation (by the
//	    |          policy, another attempt's large value, the client's disconnect), the server's drain before it is sent,
//	    |          the end of the request's repeatWindow
//	    v
//	release        once the final reply is written, or cannot be, and each attempt has ended: memory, slot and the
//	               endpoints of the attempts are released
//
// # Locking
//
// Balancer.mu guards the policy and all tables of the balancer: requests, endpoints, ejections, the state of the
// endpoint list and the counters. Nothing that can block happens while it is held. An exchange's own state belongs to
// the request's goroutine alone; the policy reaches it through the request's event channel, whose buffer holds all
// events that a request can ever have, so that sending one never blocks. Its attempts share its repeatWindow, which has
// its own lock, acquired last. The file of manual ejections has its own lock
// (ejectionFile.mu), which is acquired before Balancer.mu and never while Balancer.mu is held.
package routing
