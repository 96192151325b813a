package consensus

import "hollylever/fleetconfig"

// Terms are the stated times.
type LeaseTiming = fleetconfig.LeaseTiming
