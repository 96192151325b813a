// Package siblings divides the resource limits of one balancer among its processes. During an upgrade there are two
// processes, sometimes three, and the limits on file descriptors, memory and attempts to endpoints that are warming up
// apply to all of them together.
//
// Each process publishes its state in its own file, which the other processes read (group.go, state.go). Pure functions
// of these states, without I/O or clock access, divide the limits (divide.go), so that all processes compute the same
// result.
//
// One rule keeps the sum of all claims within the limits even if processes are slow or crash or state is lost: a claim
// is never lowered below the current usage, and it is raised only into what the other claims leave free, by one process
// at a time.
package siblings
