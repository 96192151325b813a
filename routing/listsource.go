package routing

// listSource is where an endpoint list comes from.
type listSource int

const (
	// listFromDiscovery was delivered by a watch of this process.
	listFromDiscovery listSource = iota
	// listFromProcess was told to another process of this balancer, which saved it.
	listFromProcess
	// listFromConfiguration is the known list that the process was started with.
	listFromConfiguration
)

// isTold reports whether discovery told the list to a process of this balancer: what such a list drains or removes
// binds this process too, and is handed on to the next one.
func (s listSource) isTold() bool { return s != listFromConfiguration }
