package routing

// Bounds on what is kept of servers. They follow from maxServers alone, so that a list of any length up to it may drain, go or be taken out by
// hand as a whole.
const (
	maxServers  = 4096                                     // names once listed that are known; as many may be out by hand, or gone and kept
	maxBans     = maxServers                               // servers out by hand
	maxBansFile = maxBans * (MaxEndpointName + len(`"",`)) // bytes of the file that names them
	maxEntry    = 1 << 10                                  // bytes of one entry of a list, in the mean
	maxList     = maxServers * maxEntry                    // bytes of one list
)

// MaxServerName is how many bytes the name of a server may have that is taken out by hand.
const MaxEndpointName = 512
