package routing

// Bounds on the endpoint data kept in memory and on disk. All follow from maxEndpoints, so that every endpoint of a
// list of that length may be draining, removed or ejected by hand.
const (
	maxEndpoints     = 4096                                          // previously listed names; the same bound applies to ejected and to retained ones
	maxEjections     = maxEndpoints                                  // by hand
	maxEjectionsFile = maxEjections * (MaxEndpointName + len(`"",`)) // size in bytes of the file that names them
	maxEntryBytes    = 1 << 10                                       // average size of a list entry
	maxListBytes     = maxEndpoints * maxEntryBytes                  // size of an endpoint list
)

// MaxEndpointName is the maximum length in bytes of the name of an endpoint that is ejected by hand.
const MaxEndpointName = 512
