package consensus

import "hollylever/fleetconfig"

// LeaseTiming holds the lease duration and the bounds that follow from it. All processes of a fleet use the same
// values.
type LeaseTiming = fleetconfig.LeaseTiming
