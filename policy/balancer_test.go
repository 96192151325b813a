package policy

import "testing"

// The share that the fleet agrees on goes before the number of balancers that the settings state, and is at most the whole.
func TestFleetShareOverridesFleetSize(t *testing.T) {
	w := newHarness(t, 7, 4, nil)
	if w.balancer.SetFleetShare(0.1); w.balancer.fleetSize != 10 {
		t.Error(w.balancer.fleetSize)
	}
	if w.balancer.SetFleetShare(7); w.balancer.fleetSize != 1 {
		t.Error(w.balancer.fleetSize)
	}
}
