// Package routing carries requests from clients to cache servers and their answers back. It connects the decisions of
// package policy with connections, clocks and timers. It decides nothing that package policy could: it bounds memory
// and requests in hand, and ends attempts early enough for the answer's way to the client.
//
// # A request's life
//
//	connection     commandReader reads the client's commands, replyWriter writes the answers, both until it ends
//	    |          ended by: the client's close, a command that breaks the protocol, shutdown of the listener
//	    v
//	pending reply  one for each command, in the order of the commands; it holds the place of the answer
//	    |          ended by: its answer, or the client's disconnect before there is one
//	    v
//	admission      exchange.admit: a request that is malformed, a duplicate, beyond a bound or too late for shutdown is
//	    |          answered at once and goes no further
//	    v
//	exchange       a slot in the request table and a goroutine that handles the request's events, one after the other
//	    |          final answer by: an attempt's answer, a rejection or failure of the policy (deadline, no capacity),
//	    |          a large value's beginning, expiry at shutdown (ExpireAt); none after the client's disconnect
//	    |  ^
//	    v  | attemptEnded
//	attempt        a goroutine for each: connect, send, read the answer
//	    |          ended by: the server's answer, the attempt's deadline, a broken connection, cancellation (by the
//	    |          policy, another attempt's large value, the client's disconnect), the server's drain until it is sent
//	    v
//	release        once the final answer is written, or cannot be, and each attempt has ended: memory, slot and the
//	               endpoints of the attempts are given back
//
// # Locking
//
// Balancer.mu guards the policy and all tables of the balancer: requests, endpoints, ejections, the state of the
// endpoint list and the counters. Nothing that can block happens under it. An exchange's own state belongs to the
// goroutine of the request alone; the policy reaches it through the request's channel of events, which holds all events
// that a request can ever have, so that sending one never blocks. The file of manual ejections has a lock of its own
// (ejectionFile.mu), which is taken before Balancer.mu and never while that is held.
package routing
