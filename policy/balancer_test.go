package policy

import "testing"

// The share that the fleet agrees on goes before the number of balancers that the settings state, and is at most the
// whole.
func TestFleetShareOverridesFleetSize(t *testing.T) {
	h := newHarness(t, 7, 4, nil)
	if h.balancer.SetFleetShare(0.1); h.balancer.fleetSize != 10 {
		t.Errorf("a fleet of %g balancers for a share of a tenth", h.balancer.fleetSize)
	}
	if h.balancer.SetFleetShare(7); h.balancer.fleetSize != 1 {
		t.Errorf("a fleet of %g balancers for a share over the whole", h.balancer.fleetSize)
	}
}
