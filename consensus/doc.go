// Package consensus replicates an ordered history of revisions of a small configuration that many load balancers act
// on, and grants the leases under which they act.
//
// A Replica is one of the few processes that decide on revisions by majority, using raft. Every process has a
// LeaseHolder, which renews its lease with the leader and provides the effective configuration. What a revision
// tightens takes effect in a process as soon as it learns of the revision. What a revision loosens takes effect only
// once no process holds a lease that was granted without that revision. Two processes with leases therefore act on
// contradictory configurations for no longer than LeaseTiming.MaxDisagreement.
//
// Replica and LeaseHolder are deterministic state machines that do no I/O of their own: the clock, the random source,
// the network and the storage are passed in. The same code runs on sockets and in simulations that are reproducible
// from their seed. docs/design/agreement.md has the reasons for the design.
package consensus
