package agreed

import "hollylever/joining"

// Terms are the stated times.
type Terms = joining.Terms
