package routing

// Bounds on what is kept of endpoints. They follow from maxEndpoints alone, so that all endpoints of any list up to
// it may drain, be removed or be ejected by hand.
const (
	maxEndpoints     = 4096                                          // names of the past; as many may be ejected, or retained
	maxEjections     = maxEndpoints                                  // by hand
	maxEjectionsFile = maxEjections * (MaxEndpointName + len(`"",`)) // bytes of the file that names them
	maxEntryBytes    = 1 << 10                                       // of one entry of a list, in the mean
	maxListBytes     = maxEndpoints * maxEntryBytes                  // of one list
)

// MaxEndpointName is how many bytes the name of an endpoint may have that is ejected by hand.
const MaxEndpointName = 512
