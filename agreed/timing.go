package agreed

import "hollylever/joining"

// LeaseTiming is the stated length of a lease and the bounds that follow from it. All processes of a fleet have the same.
type Terms = joining.Terms
