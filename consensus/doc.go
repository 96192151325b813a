// Package consensus replicates one ordered history of revisions of a small configuration that many balancers act on,
// and grants the leases under which they do.
//
// A Replica is one of the few processes whose majority decides on revisions, by raft. A LeaseHolder is in every
// process: it asks the leader for a lease again and again and tells which configuration is in force here. What a
// revision tightens is in force as soon as it is heard; what it loosens waits until no process is under a lease that
// was granted without it. So no two processes under leases act on configurations that contradict each other for
// longer than a stated time.
//
// Both are deterministic state machines without I/O: the clock, chance, the network and the storage are handed in, so
// the same code runs on sockets and in a seeded run of a million steps. docs/design/agreement.md has the reasons.
package consensus
