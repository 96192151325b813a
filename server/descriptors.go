package server

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is how many are for neither clients nor cache hosts: the runtime's and the listening sockets
	// (8), the admin endpoint's connections (13), watches at discovery, one that ends beside one that begins (4), and
	// files (7): configuration, snapshot, hosts ejected by hand.
	reservedDescriptors = 32
	// fleetDescriptors is how many more are for the fleet, where the process is in one: connections of peers (17), its
	// sockets and files (7).
	fleetDescriptors = 24
)

// divideDescriptors divides a number of descriptors among clients and cache hosts, less those that are reserved: at
// most half of all.
func divideDescriptors(total, reserved int) (clients, endpoints int) {
	total -= min(reserved, total/2)
	return total - total/2, total / 2
}

// openFileLimit is how many descriptors the system allows this process (RLIMIT_NOFILE).
func openFileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// withinSystem lowers numbers of clients and of connections to cache hosts to their shares of what the system allows:
// that may be less than limits.sockets, and may change. Guards discovery, hosts and files against clients that take
// every descriptor there is: calls to discovery would fail with "too many open files" for as long as the clients stay.
func withinSystem(clients, endpoints, reserved int) (int, int) {
	systemClients, systemEndpoints := divideDescriptors(openFileLimit(), reserved)
	return min(clients, max(1, systemClients)), min(endpoints, max(1, systemEndpoints))
}
