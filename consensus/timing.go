package consensus

import "hollylever/fleetconfig"

// LeaseTiming is the stated length of a lease and the bounds that follow from it. All processes of a fleet have the
// same.
type LeaseTiming = fleetconfig.LeaseTiming
