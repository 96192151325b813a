// Package siblings divides what one balancer may use among its processes: over an upgrade there are two of them, at
// times three, and descriptors, memory and attempts to cold servers count for all together.
//
// Each process publishes its state in a file of its own that all of them read (group.go, state.go). How the limits are
// divided is decided by pure functions of these states, without I/O or clock (divide.go), so that all processes come to
// the same result.
//
// One rule keeps the sum of all claims within the limits, whatever is late, lost or dead: a claim is lowered only to
// what is in use or above, and raised only into what the others' claims leave, by one process at a time.
package siblings
